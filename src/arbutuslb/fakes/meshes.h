// Configurations and fleets shared by tests and benchmarks.
#pragma once

#include "arbutuslb/fakes/test_fleet.h"

namespace arbutuslb::fakes {

// A mesh of three failure domains. Routes of service `menu` are idempotent, the route of
// `pre-orders` is not.
inline const std::string sample_mesh = R"({
  "domains": [{"name": "d1", "region": "r1"}, {"name": "d2", "region": "r1"},
              {"name": "d3", "region": "r1"}],
  "services": [{"name": "menu", "versions": ["v1", "v2"], "slots": 10},
               {"name": "pre-orders", "versions": ["v1"], "slots": 10}],
  "routes": [{"name": "menu", "path_prefix": "/menu", "service": "menu"},
             {"name": "stock", "path_prefix": "/stock", "service": "menu"},
             {"name": "report", "path_prefix": "/report", "service": "menu",
              "class": "deferrable"},
             {"name": "pay", "path_prefix": "/pay", "service": "menu", "class": "critical"},
             {"name": "pre-orders", "path_prefix": "/pre-orders", "service": "pre-orders",
              "idempotent": false, "class": "critical"}]
})";

// Adds a daemon of each service to each domain, with names such as "d1-menu".
inline void add_sample_daemons(test_fleet& fleet, const std::vector<std::string>& domains,
                               const model_upstream_settings& upstream = {}) {
  for (const std::string& domain : domains) {
    fleet.add(domain + "-menu", domain, "menu", "v1", upstream);
    fleet.add(domain + "-pre-orders", domain, "pre-orders", "v1", upstream);
  }
}

// Waits for the daemons to discover each other, publishes `sample_mesh` as version 1 and waits
// until all daemons have applied it.
inline void start_sample_mesh(test_fleet& fleet) {
  const std::string via = fleet.names().front();
  fleet.run_for(std::chrono::seconds{4});
  fleet.ask(via, "publish", sample_mesh);
  fleet.run_until([&] { return fleet.all_at_version(1); }, std::chrono::seconds{3});
  fleet.run_for(std::chrono::seconds{1});
}

// Schedules calls of `path` through daemon `via` at a constant rate, from now on for `time`. Calls
// that are due while the daemon is not running are skipped.
inline void generate_calls(test_fleet& fleet, const std::string& via, const std::string& path,
                           double calls_per_second, core::duration time,
                           core::duration deadline = std::chrono::milliseconds{500}) {
  const int calls =
      static_cast<int>(calls_per_second * std::chrono::duration<double>(time).count());
  for (int i = 0; i < calls; ++i) {
    const core::duration offset{static_cast<core::duration::rep>(1e6 * i / calls_per_second)};
    fleet.at(fleet.now() + offset, [&fleet, via, path, deadline] {
      if (fleet.is_running(via)) {
        const std::string body = "b" + std::to_string(fleet.calls().size());
        fleet.call(via, path, body, deadline);
      }
    });
  }
}

// Calls in a time span, and how many of them were answered with a status below 500.
struct call_success {
  std::size_t calls = 0;
  std::size_t good = 0;
  // Returns the fraction of successful calls; 1 if there are no calls.
  double ratio() const {
    return calls == 0 ? 1.0 : static_cast<double>(good) / static_cast<double>(calls);
  }
};

// Counts the calls that began in [from, until) on paths with prefix `path`. Requests for new keys
// are not counted.
inline call_success success_ratio(const test_fleet& fleet, core::time_point from,
                                  core::time_point until, const std::string& path = "/") {
  constexpr int first_error_status = 500;
  call_success result;
  for (const auto& [token, call] : fleet.calls()) {
    if (call.began < from || call.began >= until || call.path.compare(0, path.size(), path) != 0 ||
        call.path == core::engine::mint_path) {
      continue;
    }
    ++result.calls;
    result.good += call.answer && call.answer->outcome == core::protocol::call_outcome::answered &&
                           call.answer->answer.status < first_error_status
                       ? 1
                       : 0;
  }
  return result;
}

} // namespace arbutuslb::fakes
