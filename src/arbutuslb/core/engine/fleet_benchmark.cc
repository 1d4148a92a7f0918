// Measures configuration convergence, control traffic and mass restarts for several fleet sizes, on
// daemon cores with a simulated clock. Messages count with their encoded size.

#include "arbutuslb/bench/bench.h"
#include "arbutuslb/fakes/meshes.h"
#include "arbutuslb/runtime/wire/codec.h"

namespace arbutuslb::bench {
namespace {

using namespace core;
using namespace std::chrono_literals;
using fakes::test_fleet;

constexpr int domain_count = 3;

constexpr std::uint16_t seed_daemons = 6;

void add_daemons(test_fleet& fleet, int count) {
  fleet.seed_count = seed_daemons;
  for (int i = 0; i < count; ++i) {
    const std::string domain = "d" + std::to_string(1 + i % domain_count);
    fleet.add(domain + "-" + std::to_string(i), domain, i % 2 == 0 ? "menu" : "pre-orders", "v1");
  }
}

bool membership_converged(test_fleet& fleet, std::size_t count) {
  for (const std::string& name : fleet.names()) {
    if (fleet.is_running(name) && fleet.daemon(name).members().present().size() != count) {
      return false;
    }
  }
  return true;
}

double seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

struct byte_rates {
  double mean = 0;
  double maximum = 0;
};

// Runs the fleet for `time` and returns the mean and maximum, over the daemons, of the bytes sent
// and received per second.
byte_rates measure_bytes(test_fleet& fleet, duration time) {
  std::map<std::string, std::uint64_t> before;
  for (const std::string& name : fleet.names()) {
    before[name] = fleet.bytes_of(name);
  }
  fleet.run_for(time);
  byte_rates rates;
  for (const std::string& name : fleet.names()) {
    const double rate = static_cast<double>(fleet.bytes_of(name) - before[name]) / seconds(time);
    rates.mean += rate / static_cast<double>(before.size());
    rates.maximum = std::max(rates.maximum, rate);
  }
  return rates;
}

void benchmark_convergence(int daemons, int changes) {
  test_fleet fleet(1);
  fleet.size_of = [](const protocol::message& value) {
    return runtime::wire::encode(value).size();
  };
  fleet.link.datagram_loss = 0.001;
  add_daemons(fleet, daemons);
  const std::size_t count = static_cast<std::size_t>(daemons);
  const time_point started = fleet.now();
  fleet.run_until([&] { return membership_converged(fleet, count); }, 60s);
  const double join_seconds = seconds(fleet.now() - started);
  fleet.ask(fleet.names().front(), "publish", fakes::sample_mesh);
  fleet.run_for(10s);
  const byte_rates idle = measure_bytes(fleet, 20s);
  std::vector<double> convergence_ms;
  for (int i = 0; i < changes; ++i) {
    const time_point submitted = fleet.now();
    const operators::report accepted = fleet.ask(fleet.names()[fleet.random().below(count)],
                                                 i % 2 == 0 ? "withdraw d3" : "return d3");
    const std::map<std::string, std::string> facts(accepted.facts.begin(), accepted.facts.end());
    const std::uint64_t version = std::stoull(facts.at("version"));
    fleet.run_until([&] { return fleet.all_at_version(version); }, 10s);
    convergence_ms.push_back(1000 * seconds(fleet.now() - submitted));
    fleet.run_for(500ms);
  }
  const byte_rates busy = measure_bytes(fleet, 1s);
  report("fleet_convergence", {{"daemons", std::to_string(daemons)},
                               {"convergence_ms_p50", figure(quantile(convergence_ms, 0.5))},
                               {"convergence_ms_p99", figure(quantile(convergence_ms, 0.99))},
                               {"convergence_ms_max", figure(quantile(convergence_ms, 1.0))},
                               {"bound_ms", "3000"},
                               {"changes", std::to_string(changes)},
                               {"join_s", figure(join_seconds)},
                               {"idle_bytes_per_s_mean", figure(idle.mean)},
                               {"idle_bytes_per_s_max", figure(idle.maximum)},
                               {"after_change_bytes_per_s_max", figure(busy.maximum)},
                               {"bound_bytes_per_s", "15000"},
                               {"seed", "1"}});
}

// Kills half of all daemons, restarts them together and measures the recovery.
void benchmark_mass_restart(int daemons) {
  test_fleet fleet(1);
  fleet.size_of = [](const protocol::message& value) {
    return runtime::wire::encode(value).size();
  };
  add_daemons(fleet, daemons);
  const std::size_t count = static_cast<std::size_t>(daemons);
  fleet.run_until([&] { return membership_converged(fleet, count); }, 60s);
  fleet.ask(fleet.names().front(), "publish", fakes::sample_mesh);
  fleet.run_for(5s);
  const std::vector<std::string> names = fleet.names();
  std::string survivor;
  const time_point killed_at = fleet.now();
  for (std::size_t i = 0; i < names.size(); ++i) {
    if ((i / 2) % 2 == 1) {
      fleet.kill(names[i]);
    } else if (fleet.daemon(names[i]).self().service == "pre-orders") {
      survivor = names[i];
    }
  }
  fakes::generate_calls(fleet, survivor, "/menu", 50, 30s);
  fleet.run_for(15s);
  for (const std::string& name : names) {
    if (!fleet.is_running(name)) {
      fleet.restart(name);
    }
  }
  const time_point restarted_at = fleet.now();
  const byte_rates first = measure_bytes(fleet, 5s);
  fleet.run_until([&] { return membership_converged(fleet, count) && fleet.all_at_version(1); },
                  60s);
  const double recovery_seconds = seconds(fleet.now() - restarted_at);
  fleet.run_for(12s);
  report("herd_half_dies_and_returns",
         {{"daemons", std::to_string(daemons)},
          {"full_knowledge_s", figure(recovery_seconds)},
          {"survivor_good_share",
           figure(fakes::success_ratio(fleet, killed_at, killed_at + 29s).ratio())},
          {"first_5s_bytes_per_s_mean", figure(first.mean)},
          {"first_5s_bytes_per_s_max", figure(first.maximum)},
          {"seed", "1"}});
}

} // namespace

void run_fleet_benchmarks(const run_options& options) {
  const std::vector<int> sizes =
      options.quick ? std::vector<int>{12, 36} : std::vector<int>{24, 72, 216};
  for (const int daemons : sizes) {
    benchmark_convergence(daemons, options.quick ? 5 : 30);
  }
  for (const int daemons : sizes) {
    benchmark_mass_restart(daemons);
  }
}

} // namespace arbutuslb::bench
