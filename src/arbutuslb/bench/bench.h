// The benchmarks' runner: each benchmark is a function that prints lines of key=value pairs.
//
//   arbutuslb_bench [--quick] [NAME...]
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace arbutuslb::bench {

struct run_options {
  bool quick = false;
};

// Prints `event=bench name=NAME key=value ... command="..." cores=N`.
void report(const std::string& name, const std::vector<std::pair<std::string, std::string>>& facts);

// Formats a figure with at most four significant decimals.
std::string figure(double value);

// Returns the value below which `part` of the values lie. 0 for no values.
double quantile(std::vector<double> values, double part);

// Runs `body` `count` times and returns the mean time of one run in microseconds.
template <typename Body>
double mean_microseconds(int count, Body body) {
  const std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
  for (int i = 0; i < count; ++i) {
    body(i);
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - began;
  return elapsed.count() / count;
}

void run_config_benchmarks(const run_options& options);
void run_routing_benchmarks(const run_options& options);
void run_service_benchmarks(const run_options& options);
void run_move_benchmarks(const run_options& options);
void run_call_benchmarks(const run_options& options);
void run_fleet_benchmarks(const run_options& options);

} // namespace arbutuslb::bench
