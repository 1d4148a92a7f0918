// Decides when a request that may be repeated is sent to a second upstream as well, so that one
// slow upstream does not make its answer late.
//
// A second attempt is worthwhile once the first has taken longer than nearly all others of its
// route. The extra work is limited to a share of the route's requests.
//
//   hedge_policy policy({0.02, 0.95});
//   policy.on_request();
//   policy.on_answer(latency);
//   if (policy.is_due(elapsed) && policy.take()) { ... send a second attempt ... }
//
// Serves the load of upstreams that are slow at times, while the service as a whole has room.
#pragma once

#include "arbutuslb/core/base/time.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <optional>

namespace arbutuslb::core::routing {

struct hedge_settings {
  double extra_share = 0; // second attempts as a fraction of the requests; zero: none
  double quantile = 0.95; // of the latency, after which a second attempt is due
};

// Distribution of recent latencies in buckets that grow by a tenth each. Not thread-safe.
class latency_distribution {
public:
  void add(duration latency) {
    ++counts_[bucket_of(latency)];
    if (++total_ >= decay_after) {
      total_ = 0;
      for (std::uint32_t& count : counts_) {
        count /= 2;
        total_ += count;
      }
    }
  }
  // Returns the upper end of the bucket that contains the quantile; nothing until there are enough
  // samples. O(buckets).
  std::optional<duration> quantile(double fraction) const {
    if (total_ < min_samples) {
      return std::nullopt;
    }
    const double wanted = fraction * static_cast<double>(total_);
    double below = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < counts_.size(); ++bucket) {
      below += counts_[bucket];
      if (below >= wanted) {
        break;
      }
    }
    return duration{static_cast<duration::rep>(
        first_bucket_us * std::pow(growth, static_cast<double>(bucket) + 1.0))};
  }

private:
  static constexpr std::uint32_t min_samples = 100;
  // The older half of the samples loses half of its weight after this many.
  static constexpr std::uint32_t decay_after = 2000;
  static constexpr double first_bucket_us = 1000;
  static constexpr double growth = 1.1;
  static constexpr std::size_t bucket_count = 112; // up to 40 s

  static std::size_t bucket_of(duration latency) {
    const double ratio = static_cast<double>(latency.count()) / first_bucket_us;
    const double bucket = ratio <= 1 ? 0 : std::floor(std::log(ratio) / std::log(growth));
    return std::min(bucket_count - 1, static_cast<std::size_t>(bucket));
  }

  std::array<std::uint32_t, bucket_count> counts_{};
  std::uint32_t total_ = 0;
};

// For the requests of one route. Not thread-safe.
class hedge_policy {
public:
  explicit hedge_policy(const hedge_settings& settings) : settings_(settings) {}

  void on_request() { tokens_ = std::min(max_tokens, tokens_ + settings_.extra_share); }
  // Latency of an attempt that was answered.
  void on_answer(duration latency) { latencies_.add(latency); }

  bool is_due(duration elapsed) const {
    if (settings_.extra_share <= 0 || tokens_ < 1.0) {
      return false;
    }
    const std::optional<duration> limit = latencies_.quantile(settings_.quantile);
    return limit && elapsed >= *limit;
  }
  // Uses up the allowance for one second attempt. Returns false if there is none.
  bool take() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

private:
  // Second attempts that may follow each other after a time without any.
  static constexpr double max_tokens = 5.0;

  hedge_settings settings_;
  latency_distribution latencies_;
  double tokens_ = 0;
};

} // namespace arbutuslb::core::routing
