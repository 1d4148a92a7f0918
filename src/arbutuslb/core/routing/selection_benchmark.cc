// Measures the time to choose an upstream, by the number of endpoints in the member table.

#include "arbutuslb/bench/bench.h"
#include "arbutuslb/core/base/hash.h"
#include "arbutuslb/core/routing/endpoint_directory.h"

#include <fstream>
#include <unistd.h>

namespace arbutuslb::bench {
namespace {

using namespace core;
using namespace core::routing;

constexpr int domain_count = 7;

double resident_kilobytes() {
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024.0;
}

void fill_table(membership::member_table& table, int endpoints, const time_point now) {
  for (int i = 0; i < endpoints; ++i) {
    membership::member endpoint;
    endpoint.name = "endpoint-" + std::to_string(i);
    endpoint.id = member_id_of(endpoint.name);
    endpoint.address = {"10.0.0.1", 1, 1};
    endpoint.domain = "domain-" + std::to_string(i % domain_count);
    endpoint.service = "menu";
    endpoint.version = "v1";
    endpoint.incarnation_number = {1};
    table.merge(endpoint, now);
  }
}

void measure_choice(int endpoints, int choices) {
  const time_point now{std::chrono::hours{24}};
  const double before = resident_kilobytes();
  membership::member_table table;
  fill_table(table, endpoints, now);
  const double table_kb = resident_kilobytes() - before;
  config::configuration configuration;
  random_source random(1);
  endpoint_directory directory(member_id_of("caller"), "domain-0");
  const selection_request request{"menu", "v1", config::request_class::normal, {}};
  const double build_us = mean_microseconds(
      1, [&](int) { directory.choose(request, table, configuration, now, random); });
  const double choose_us = mean_microseconds(
      choices, [&](int) { directory.choose(request, table, configuration, now, random); });
  report("choose_upstream", {{"endpoints", std::to_string(endpoints)},
                             {"choose_us", figure(choose_us)},
                             {"bound_us", "2"},
                             {"subset_build_us", figure(build_us)},
                             {"table_bytes_per_member", figure(table_kb * 1024.0 / endpoints)}});
}

} // namespace

void run_routing_benchmarks(const run_options& options) {
  for (const int endpoints : {40, 900, 6300}) {
    measure_choice(endpoints, options.quick ? 20'000 : 500'000);
  }
}

} // namespace arbutuslb::bench
