#include "arbutuslb/bench/bench.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>
#include <thread>

namespace arbutuslb::bench {

void report(const std::string& name,
            const std::vector<std::pair<std::string, std::string>>& fields) {
  std::cout << "event=bench name=" << name;
  for (const auto& [key, value] : fields) {
    std::cout << ' ' << key << '=' << value;
  }
  std::cout << " cores=" << std::thread::hardware_concurrency() << std::endl;
}

std::string figure(double value) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.4g", value);
  return text;
}

double quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  const std::size_t index = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

} // namespace arbutuslb::bench

int main(int argc, char** argv) {
  using namespace arbutuslb::bench;
  const std::map<std::string, void (*)(const run_options&)> benchmarks{
      {"config", run_config_benchmarks},
      {"routing", run_routing_benchmarks},
      {"service", run_service_benchmarks},
      {"moves", run_move_benchmarks},
      {"calls", run_call_benchmarks},
      {"fleet", run_fleet_benchmarks},
      {"organisations", run_organisation_benchmarks}};
  run_options options;
  std::vector<std::string> selected;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--quick") {
      options.quick = true;
    } else if (benchmarks.contains(argument)) {
      selected.push_back(argument);
    } else {
      std::cerr << "usage: arbutuslb_bench [--quick] "
                   "[config|routing|service|moves|calls|fleet|organisations]\n";
      return 2;
    }
  }
  for (const auto& [name, run] : benchmarks) {
    if (selected.empty() || std::find(selected.begin(), selected.end(), name) != selected.end()) {
      run(options);
    }
  }
  return 0;
}
