// Cost of finding the organisation that holds a key, as the number of keys grows.

#include "arbutuslb/bench/bench.h"
#include "arbutuslb/core/gateway/organisation_table.h"

namespace arbutuslb::bench {
namespace {

std::string key_at(int index) {
  return "key-of-an-organisation-" + std::to_string(index);
}

void measure_find(int keys, int finds) {
  core::gateway::organisation_table table;
  for (int i = 0; i < keys; ++i) {
    table.add({"organisation-" + std::to_string(i), std::nullopt}, {key_at(i)});
  }
  std::size_t found = 0;
  const auto find = [&](const std::string& key) { found += table.find(key) != nullptr ? 1 : 0; };
  const double known_us =
      mean_microseconds(finds, [&](int i) { find(key_at(static_cast<int>(i % keys))); });
  const double unknown_us = mean_microseconds(finds, [&](int i) { find(key_at(keys + i)); });
  report("find_organisation", {{"keys", std::to_string(keys)},
                               {"known_us", figure(known_us)},
                               {"unknown_us", figure(unknown_us)},
                               {"found", std::to_string(found)}});
}

} // namespace

void run_organisation_benchmarks(const run_options& options) {
  for (const int keys : {10, 1'000, 10'000}) {
    measure_find(keys, options.quick ? 50'000 : 1'000'000);
  }
}

} // namespace arbutuslb::bench
