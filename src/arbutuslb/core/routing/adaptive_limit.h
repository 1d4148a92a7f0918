// How many requests an upstream runs at once, learnt from its answers.
//
// A cold upstream starts with a small limit. The limit rises by one for each limit's worth of good
// answers while it is in use, and falls when answers are slow against the route's warm latency or
// fail for overload. Latency far from the warm one makes the upstream cold again, whether or not
// it said so.
//
//   adaptive_limit limit(10);
//   if (in_flight < limit.whole()) { ... }
//   limit.on_answer(route_hash, latency, answer_kind::good, in_flight);
#pragma once

#include "arbutuslb/core/base/time.h"

#include <algorithm>
#include <unordered_map>

namespace arbutuslb::core::routing {

enum class answer_kind : std::uint8_t { good, failed, overloaded };

// Not thread-safe. Every operation is O(1).
class adaptive_limit {
public:
  explicit adaptive_limit(int slots) : slots_(slots), limit_(cold_limit()) {}

  double value() const noexcept { return limit_; }
  int whole() const noexcept { return std::max(1, static_cast<int>(limit_)); }
  int slots() const noexcept { return slots_; }
  void set_slots(int slots) {
    slots_ = slots;
    limit_ = std::min(limit_, static_cast<double>(slots_));
  }

  // Treats the upstream as freshly started.
  void make_cold() {
    limit_ = cold_limit();
    answers_since_change_ = 0;
    slow_share_ = 0;
  }

  void on_answer(std::uint64_t route, duration latency, answer_kind kind, int in_flight) {
    ++answers_since_change_;
    if (kind == answer_kind::failed) {
      return;
    }
    const double ratio = kind == answer_kind::overloaded ? far_ratio : note_latency(route, latency);
    slow_share_ += (ratio >= far_ratio ? 1.0 - slow_share_ : -slow_share_) / slow_window;
    if (slow_share_ >= cold_slow_share) {
      make_cold();
    } else if (ratio >= slow_ratio) {
      shrink();
    } else {
      grow(in_flight);
    }
  }

private:
  static constexpr double cold_fraction = 0.2;
  static constexpr double slow_ratio = 2.0;
  static constexpr double far_ratio = 3.0;
  static constexpr double slow_window = 8.0;
  static constexpr double cold_slow_share = 0.5;
  static constexpr double shrink_factor = 0.8;
  static constexpr double growth = 0.5; // for each limit's worth of good answers
  static constexpr double in_use_fraction = 0.7;
  static constexpr double fall_rate = 0.2;
  static constexpr double rise_rate = 0.002;

  double cold_limit() const { return std::max(1.0, slots_ * cold_fraction); }

  // Returns the latency as a multiple of the route's warm latency, and learns from it: the warm
  // latency follows faster answers quickly and slower ones slowly.
  double note_latency(std::uint64_t route, duration latency) {
    const double sample = std::max(1.0, static_cast<double>(latency.count()));
    const auto [found, is_first] = warm_latency_.try_emplace(route, sample);
    if (is_first) {
      return 1.0;
    }
    const double ratio = sample / found->second;
    found->second += (sample - found->second) * (sample < found->second ? fall_rate : rise_rate);
    return ratio;
  }

  void shrink() {
    if (answers_since_change_ < limit_) {
      return;
    }
    answers_since_change_ = 0;
    limit_ = std::max(1.0, limit_ * shrink_factor);
  }

  void grow(int in_flight) {
    if (in_flight < whole() * in_use_fraction) {
      return;
    }
    limit_ = std::min(static_cast<double>(slots_), limit_ + growth / limit_);
  }

  int slots_;
  double limit_;
  double answers_since_change_ = 0;
  double slow_share_ = 0;                                  // of the last answers
  std::unordered_map<std::uint64_t, double> warm_latency_; // microseconds by route
};

// The baseline that benchmarks compare with: the configured slots from the first request on.
class fixed_limit {
public:
  explicit fixed_limit(int slots) : slots_(slots) {}
  double value() const noexcept { return slots_; }
  int whole() const noexcept { return slots_; }
  int slots() const noexcept { return slots_; }
  void set_slots(int slots) { slots_ = slots; }
  void make_cold() {}
  void on_answer(std::uint64_t, duration, answer_kind, int) {}

private:
  int slots_;
};

} // namespace arbutuslb::core::routing
