// Tests of requests that kill each upstream that executes them: how many upstreams one of them ends
// in a day, and that no other request is refused for it.

#include "arbutuslb/core/gateway/gateway_test_mesh.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace {

constexpr const char* host = "shop.example";
constexpr const char* crashing = "/menu/crash";
// Upstreams that one request may end in a day.
constexpr int max_deaths = 3;

// Two domains, each with four upstreams of `menu` and one of `orders`; all are warm.
struct wide_mesh {
  explicit wide_mesh(std::uint64_t seed = 1) : fleet(seed) {
    for (const char* domain : {"a", "b"}) {
      for (const char* service : {"menu", "menu", "menu", "menu", "orders"}) {
        daemons.push_back(fleet.add(domain, service));
      }
    }
    fleet.publish(configuration(1));
    fleet.run_for(4s);
    fleet.crashing_targets[crashing] = 30ms;
  }
  // Sends a request to the daemons in turn, each `period`, beside ordinary requests.
  void repeat(const std::string& target, int times, arbutuslb::core::duration period) {
    for (int i = 0; i < times; ++i) {
      fleet.call(daemons[next_++ % daemons.size()], host, target);
      send_ordinary(period);
    }
  }
  // Sends ordinary requests for some time, 100 a second.
  void send_ordinary(arbutuslb::core::duration time) {
    for (arbutuslb::core::duration elapsed{}; elapsed < time; elapsed += 10ms) {
      const std::size_t daemon = daemons[sent.size() % daemons.size()];
      sent.push_back(fleet.call(daemon, host, "/menu/" + std::to_string(sent.size())));
      fleet.run_for(10ms);
    }
  }
  int deaths_by(const std::string& target) const {
    return static_cast<int>(std::count_if(fleet.deaths.begin(), fleet.deaths.end(),
                                          [&](const auto& item) { return item.target == target; }));
  }

  gateway_fleet fleet;
  std::vector<std::size_t> daemons;
  std::vector<std::uint64_t> sent; // tokens of the ordinary requests

private:
  std::size_t next_ = 0;
};

} // namespace

Test(containment,
     a_crashing_request_that_is_sent_to_every_daemon_ends_a_bounded_number_of_upstreams) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    wide_mesh mesh(seed);
    mesh.repeat(crashing, 40, 300ms);
    cr_assert_leq(mesh.deaths_by(crashing), max_deaths, "seed %d: %d upstreams",
                  static_cast<int>(seed), mesh.deaths_by(crashing));
  }
}
