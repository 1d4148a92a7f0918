// Benchmarks of calls under faults: for each fault, the share of keyed first attempts that are
// served and the seeds in which a key is executed twice; for a poison request, the upstream deaths.

#include "arbutuslb/bench/bench.h"
#include "arbutuslb/fakes/meshes.h"

namespace arbutuslb::bench {
namespace {

using namespace core;
using namespace std::chrono_literals;
using fakes::test_fleet;

// A fault to inject into a fleet at the start of the measurement.
struct call_fault {
  std::string name;
  std::function<void(test_fleet&)> inject;
};

// Sends keyed calls for ten seconds, each through the daemon that issued its key, and repeats each
// through a random daemon.
void measure_at_most_once(const call_fault& fault, std::uint64_t seeds) {
  std::uint64_t first_attempts = 0;
  std::uint64_t served = 0;
  std::uint64_t not_executed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t seeds_with_repeated_key = 0;
  std::uint64_t violations = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2", "d3"});
    start_sample_mesh(fleet);
    fleet.link.max_delay = 20ms;
    fleet.link.repeat = 0.1;
    const std::vector<std::string> callers{"d1-menu", "d2-menu", "d3-menu"};
    std::vector<std::uint64_t> tokens;
    fault.inject(fleet);
    for (int i = 0; i < 200; ++i) {
      const std::string& via = callers[static_cast<std::size_t>(i) % callers.size()];
      if (fleet.is_running(via)) {
        const std::string key = fleet.mint_key(via);
        const std::string body = "order-" + std::to_string(i);
        tokens.push_back(fleet.call(via, "/pre-orders", body, 400ms, key));
        const std::string& other = callers[fleet.random().below(callers.size())];
        fleet.at(fleet.now() + fleet.random().jitter(800ms), [&fleet, other = other, body, key] {
          if (fleet.is_running(other)) {
            fleet.call(other, "/pre-orders", body, 400ms, key);
          }
        });
      }
      fleet.run_for(50ms);
    }
    fleet.run_for(3s);
    for (const std::uint64_t token : tokens) {
      const std::optional<engine::answer_caller>& answer = fleet.call_of(token).answer;
      ++first_attempts;
      served += answer && answer->outcome == protocol::call_outcome::answered ? 1 : 0;
      not_executed += answer && answer->outcome == protocol::call_outcome::not_executed ? 1 : 0;
      unknown += !answer || answer->outcome == protocol::call_outcome::unknown ? 1 : 0;
    }
    seeds_with_repeated_key += fleet.most_executions_of_a_key() > 1 ? 1 : 0;
    violations += fleet.violations().size();
  }
  report("at_most_once",
         {{"fault", fault.name},
          {"first_attempts", std::to_string(first_attempts)},
          {"served", figure(static_cast<double>(served) / static_cast<double>(first_attempts))},
          {"not_run", std::to_string(not_executed)},
          {"unknown", std::to_string(unknown)},
          {"seeds_with_a_key_run_twice", std::to_string(seeds_with_repeated_key)},
          {"violations", std::to_string(violations)},
          {"seeds", std::to_string(seeds)}});
}

void measure_poison_request(std::uint64_t seeds) {
  int most_deaths = 0;
  double worst_share = 1.0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    test_fleet fleet(seed);
    for (int i = 0; i < 6; ++i) {
      fleet.add("m" + std::to_string(i), "d1", "menu", "v1");
    }
    start_sample_mesh(fleet);
    const time_point begin = fleet.now();
    fakes::generate_calls(fleet, "m0", "/menu", 200, 20s);
    for (int i = 0; i < 60; ++i) {
      fleet.at(begin + 300ms * i,
               [&fleet, i] { fleet.call("m" + std::to_string(i % 6), "/menu", "crash", 400ms); });
      fleet.at(begin + 300ms * i + 250ms, [&fleet] {
        for (const std::string& name : fleet.names()) {
          if (!fleet.upstream(name).is_listening) {
            fleet.restart_upstream(name);
          }
        }
      });
    }
    fleet.run_for(21s);
    most_deaths = std::max(most_deaths, fleet.upstream_deaths());
    worst_share = std::min(worst_share, fakes::success_ratio(fleet, begin, fleet.now()).ratio());
  }
  report("poison_request", {{"sent", "60"},
                            {"most_upstream_deaths", std::to_string(most_deaths)},
                            {"bound", "2"},
                            {"worst_good_share_of_all_calls", figure(worst_share)},
                            {"seeds", std::to_string(seeds)}});
}

} // namespace

void run_call_benchmarks(const run_options& options) {
  const std::uint64_t seeds = options.quick ? 3 : 30;
  const std::vector<call_fault> faults{
      {"none", [](test_fleet&) {}},
      {"log_out", [](test_fleet& fleet) { fleet.log.is_down = true; }},
      {"domain_cut_off",
       [](test_fleet& fleet) {
         fleet.cut("d3", "d1");
         fleet.cut("d3", "d2");
         fleet.cut_log("d3");
       }},
      {"connections_break", [](test_fleet& fleet) { fleet.link.stream_loss = 0.02; }},
      {"homes_restart",
       [](test_fleet& fleet) {
         for (int i = 1; i < 10; ++i) {
           fleet.at(fleet.now() + 1s * i, [&fleet] { fleet.restart("d1-menu"); });
         }
       }},
      {"upstream_daemons_restart",
       [](test_fleet& fleet) {
         for (int i = 1; i < 10; ++i) {
           fleet.at(fleet.now() + 1s * i, [&fleet] { fleet.restart("d2-pre-orders"); });
         }
       }},
      {"home_frozen",
       [](test_fleet& fleet) {
         fleet.at(fleet.now() + 2s, [&fleet] { fleet.freeze("d1-menu"); });
         fleet.at(fleet.now() + 5s, [&fleet] { fleet.thaw("d1-menu"); });
       }},
  };
  for (const call_fault& fault : faults) {
    measure_at_most_once(fault, seeds);
  }
  measure_poison_request(seeds);
}

} // namespace arbutuslb::bench
