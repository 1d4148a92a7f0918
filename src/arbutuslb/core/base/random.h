// A seeded random number generator. Given its seed and its events, the core is deterministic.
#pragma once

#include "arbutuslb/core/base/time.h"

#include <algorithm>
#include <cstddef>
#include <random>
#include <vector>

namespace arbutuslb::core {

class random_source {
public:
  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  // Returns a number from 0 to `bound` - 1. `bound` must be positive.
  std::size_t below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(engine_);
  }

  // Returns a number in [0, 1).
  double fraction() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

  // Returns a duration in [0, limit).
  duration jitter(duration limit) {
    return duration{static_cast<duration::rep>(fraction() * static_cast<double>(limit.count()))};
  }

  // Returns 64 random bits.
  std::uint64_t bits() { return engine_(); }

  // Returns up to `count` distinct elements of `values` in random order. O(values).
  template <typename Value>
  std::vector<Value> sample(std::vector<Value> values, std::size_t count) {
    const std::size_t taken = std::min(count, values.size());
    for (std::size_t i = 0; i < taken; ++i) {
      std::swap(values[i], values[i + below(values.size() - i)]);
    }
    values.resize(taken);
    return values;
  }

  template <typename Value>
  void shuffle(std::vector<Value>& values) {
    std::shuffle(values.begin(), values.end(), engine_);
  }

private:
  std::mt19937_64 engine_;
};

} // namespace arbutuslb::core
