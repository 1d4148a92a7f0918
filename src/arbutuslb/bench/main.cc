#include "arbutuslb/bench/bench.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>
#include <thread>

namespace arbutuslb::bench {

void report(const std::string& name,
            const std::vector<std::pair<std::string, std::string>>& facts) {
  std::cout << "event=bench name=" << name;
  for (const auto& [key, value] : facts) {
    std::cout << ' ' << key << '=' << value;
  }
  std::cout << " cores=" << std::thread::hardware_concurrency() << std::endl;
}

std::string figure(double value) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.4g", value);
  return text;
}

double quantile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  const std::size_t index = static_cast<std::size_t>(part * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

} // namespace arbutuslb::bench

int main(int argc, char** argv) {
  using namespace arbutuslb::bench;
  const std::map<std::string, void (*)(const run_options&)> all{
      {"config", run_config_benchmarks},   {"routing", run_routing_benchmarks},
      {"service", run_service_benchmarks}, {"moves", run_move_benchmarks},
      {"calls", run_call_benchmarks},      {"fleet", run_fleet_benchmarks}};
  run_options options;
  std::vector<std::string> chosen;
  for (int i = 1; i < argc; ++i) {
    const std::string word = argv[i];
    if (word == "--quick") {
      options.quick = true;
    } else if (all.contains(word)) {
      chosen.push_back(word);
    } else {
      std::cerr << "usage: arbutuslb_bench [--quick] [config|routing|service|moves|calls|fleet]\n";
      return 2;
    }
  }
  for (const auto& [name, run] : all) {
    if (chosen.empty() || std::find(chosen.begin(), chosen.end(), name) != chosen.end()) {
      run(options);
    }
  }
  return 0;
}
