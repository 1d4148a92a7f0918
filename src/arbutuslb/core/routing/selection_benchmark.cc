// Cost of choosing an upstream, by the number of endpoints known.

#include "arbutuslb/bench/bench.h"
#include "arbutuslb/core/base/hash.h"
#include "arbutuslb/core/routing/endpoint_directory.h"

#include <fstream>
#include <unistd.h>

namespace arbutuslb::bench {
namespace {

using namespace core;
using namespace core::routing;

constexpr int domains = 7;

double resident_kilobytes() {
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024.0;
}

void fill(membership::member_table& table, int endpoints, const time_point now) {
  for (int i = 0; i < endpoints; ++i) {
    membership::member each;
    each.name = "endpoint-" + std::to_string(i);
    each.id = member_id_of(each.name);
    each.address = {"10.0.0.1", 1, 1};
    each.domain = "domain-" + std::to_string(i % domains);
    each.service = "menu";
    each.version = "v1";
    each.incarnation_number = {1};
    table.merge(each, now);
  }
}

void run_with(int endpoints, int choices) {
  const time_point now{std::chrono::hours{24}};
  const double before = resident_kilobytes();
  membership::member_table table;
  fill(table, endpoints, now);
  const double table_kb = resident_kilobytes() - before;
  config::configuration configuration;
  random_source random(1);
  endpoint_directory directory(member_id_of("caller"), "domain-0");
  const choice_request request{"menu", "v1", config::request_class::normal, {}};
  const double first_us = mean_microseconds(
      1, [&](int) { directory.choose(request, table, configuration, now, random); });
  const double choose_us = mean_microseconds(
      choices, [&](int) { directory.choose(request, table, configuration, now, random); });
  report("choose_upstream", {{"endpoints", std::to_string(endpoints)},
                             {"choose_us", figure(choose_us)},
                             {"bound_us", "2"},
                             {"subset_build_us", figure(first_us)},
                             {"table_bytes_per_member", figure(table_kb * 1024.0 / endpoints)}});
}

} // namespace

void run_routing_benchmarks(const run_options& options) {
  for (const int endpoints : {40, 900, 6300}) {
    run_with(endpoints, options.quick ? 20'000 : 500'000);
  }
}

} // namespace arbutuslb::bench
