// Runs the benchmarks. Each benchmark is a function that prints lines of key=value pairs.
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
  bool quick = false; // runs fewer or shorter measurements
};

// Prints `event=bench name=NAME key=value ... cores=N`.
void report(const std::string& name,
            const std::vector<std::pair<std::string, std::string>>& fields);

// Formats a value with up to four significant digits.
std::string figure(double value);

// Returns the quantile `fraction` of `values`, or 0 if there are no values.
double quantile(std::vector<double> values, double fraction);

// Calls `body` `count` times, with the index of the call, and returns the mean time of a call in
// microseconds.
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
void run_organisation_benchmarks(const run_options& options);
void run_routing_benchmarks(const run_options& options);
void run_service_benchmarks(const run_options& options);
void run_move_benchmarks(const run_options& options);
void run_call_benchmarks(const run_options& options);
void run_fleet_benchmarks(const run_options& options);

} // namespace arbutuslb::bench
