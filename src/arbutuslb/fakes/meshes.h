// Configurations and fleets that tests and benchmarks share.
#pragma once

#include "arbutuslb/fakes/test_fleet.h"

namespace arbutuslb::fakes {

// Menu is idempotent, pre-orders are not; three failure domains.
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

// Adds one daemon of each service to each domain: names such as "d1-menu".
inline void add_sample_daemons(test_fleet& fleet, const std::vector<std::string>& domains,
                               const model_upstream_settings& upstream = {}) {
  for (const std::string& domain : domains) {
    fleet.add(domain + "-menu", domain, "menu", "v1", upstream);
    fleet.add(domain + "-pre-orders", domain, "pre-orders", "v1", upstream);
  }
}

// Lets the daemons find each other, publishes `sample_mesh` and waits until it is in force.
inline void start_sample_mesh(test_fleet& fleet) {
  const std::string via = fleet.names().front();
  fleet.run_for(std::chrono::seconds{4});
  fleet.ask(via, "publish", sample_mesh);
  fleet.run_until([&] { return fleet.all_at_version(1); }, std::chrono::seconds{3});
  fleet.run_for(std::chrono::seconds{1});
}

// Calls `path` at a steady rate through `via` from now on for `time`.
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

// The part of the calls begun in a time span that were answered well within their deadline.
struct call_success {
  std::size_t calls = 0;
  std::size_t good = 0;
  double ratio() const {
    return calls == 0 ? 1.0 : static_cast<double>(good) / static_cast<double>(calls);
  }
};

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
