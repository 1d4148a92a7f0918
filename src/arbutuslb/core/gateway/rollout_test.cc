// Tests of rollouts on a simulated fleet: how many requests a faulty version gets, and that a sound
// one is completed in time.

#include "arbutuslb/core/gateway/gateway_test_mesh.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace {

// A rollout of `menu` to v2 on daemons 1 and 5, under 100 requests a second.
struct rollout_play {
  explicit rollout_play(std::uint64_t seed = 1) : fixture(seed) {
    for (const std::size_t at : {std::size_t{1}, std::size_t{5}}) {
      fixture.fleet.upstream(at).version = "v2";
      fixture.fleet.restart(at);
    }
    fixture.fleet.run_for(3s);
  }

  void run() {
    fixture.fleet.order("rollout/menu", gateway::rollout_spec{"menu", "v2", time_allowed});
    const std::size_t before = fixture.fleet.runs.size();
    for (arbutuslb::core::duration elapsed{}; elapsed < time_allowed; elapsed += 10ms) {
      const std::size_t daemon = sent_++ % 8;
      fixture.fleet.call(daemon, "shop.example", "/menu/1");
      fixture.fleet.run_for(10ms);
    }
    total = fixture.fleet.runs.size() - before;
    for (const auto& [attempt, version] : fixture.fleet.run_versions) {
      exposed += version == "v2" ? 1 : 0;
    }
  }
  bool has_outcome(gateway::rollout_phase phase) const {
    const auto found = fixture.fleet.outcomes.find("menu");
    return found != fixture.fleet.outcomes.end() && found->second == phase;
  }
  long count_log(const std::string& event) const {
    return std::count_if(fixture.fleet.log.begin(), fixture.fleet.log.end(),
                         [&](const auto& item) { return item.name == event; });
  }

  mesh_fixture fixture;
  arbutuslb::core::duration time_allowed = 16s;
  std::size_t exposed = 0; // executions by v2
  std::size_t total = 0;   // executions from the order on

private:
  std::size_t sent_ = 0;
};

} // namespace

Test(rollout, the_reasons_of_a_wait_are_logged) {
  rollout_play play;
  play.run();
  cr_assert_geq(play.count_log("rollout_waits"), 5);  // one for each step
  cr_assert_leq(play.count_log("rollout_waits"), 30); // no more than one a second and step
}
