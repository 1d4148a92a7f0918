// The cost of applying a record and of taking a snapshot, by the number of services.

#include "arbutuslb/bench/bench.h"
#include "arbutuslb/core/config/configuration.h"

namespace arbutuslb::bench {
namespace {

using namespace core::config;

constexpr int routes_per_service = 3;
// The required number of services.
constexpr int required_services = 160;

std::string publish_record(int service, int change) {
  const std::string name = "service-" + std::to_string(service);
  record value;
  value.command_id = "c-" + std::to_string(service) + "-" + std::to_string(change);
  value.operator_name = "bench";
  publish_command publish;
  core::config::service item;
  item.name = name;
  item.versions = {"v1", "v2"};
  item.active = "v1";
  item.slots = 10 + change % 2;
  publish.services.push_back(item);
  for (int i = 0; i < routes_per_service; ++i) {
    route published_route;
    published_route.name = name + "-" + std::to_string(i);
    published_route.path_prefix = "/" + name + "/" + std::to_string(i);
    published_route.service = name;
    publish.routes.push_back(published_route);
  }
  value.body = publish;
  return serialize(value);
}

void measure(int services, int record_count) {
  configuration state;
  for (int i = 0; i < services; ++i) {
    state.apply(state.version() + 1, publish_record(i, 0));
  }
  std::vector<std::string> records;
  for (int i = 0; i < record_count; ++i) {
    records.push_back(publish_record(i % services, i + 1));
  }
  const double apply_us = mean_microseconds(record_count, [&](int i) {
    state.apply(state.version() + 1, records[static_cast<std::size_t>(i)]);
  });
  std::size_t bytes = 0;
  const double snapshot_us = mean_microseconds(20, [&](int) { bytes = state.snapshot().size(); });
  const std::string snapshot = state.snapshot();
  const double load_us =
      mean_microseconds(20, [&](int) { configuration::from_snapshot(snapshot); });
  const double match_us = mean_microseconds(
      2000, [&](int i) { state.match_route("/service-" + std::to_string(i % services) + "/1/x"); });
  report("config_fold", {{"services", std::to_string(services)},
                         {"fold_us", figure(apply_us)},
                         {"bound_us", "50"},
                         {"snapshot_bytes", std::to_string(bytes)},
                         {"snapshot_us", figure(snapshot_us)},
                         {"load_us", figure(load_us)},
                         {"match_route_us", figure(match_us)},
                         {"record_bytes", std::to_string(records[0].size())}});
}

} // namespace

void run_config_benchmarks(const run_options& options) {
  for (const int services : {4, 40, required_services}) {
    measure(services, options.quick ? 200 : 2000);
  }
}

} // namespace arbutuslb::bench
