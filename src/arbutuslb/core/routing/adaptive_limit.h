// Adaptive concurrency limit of an upstream, derived from its answers.
//
// A cold upstream starts with a small limit. While the limit is in use, each round of good answers
// raises it by `growth_per_round`; a round is as many answers as the limit. The limit falls when
// answers report overload or are slow compared with the route's warm latency, an average that
// follows faster answers quickly and slower ones slowly. Other failed answers do not change it. If
// enough recent answers are very slow or report overload, the upstream is treated as cold again,
// even if it did not report a restart.
//
//   adaptive_limit limit(10);
//   if (in_flight < limit.max_in_flight()) { ... }
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
  // Returns the limit rounded down, but at least 1.
  int max_in_flight() const noexcept { return std::max(1, static_cast<int>(limit_)); }
  int slots() const noexcept { return slots_; }
  void set_slots(int slots) {
    slots_ = slots;
    limit_ = std::min(limit_, static_cast<double>(slots_));
  }

  // Resets the limit to that of an upstream that has just started.
  void make_cold() {
    limit_ = cold_limit();
    answers_since_decrease_ = 0;
    slow_answer_share_ = 0;
  }

  // `in_flight` is the number of requests in execution, including the one answered.
  void on_answer(std::uint64_t route, duration latency, answer_kind kind, int in_flight) {
    ++answers_since_decrease_;
    if (kind == answer_kind::failed) {
      return;
    }
    const double ratio =
        kind == answer_kind::overloaded ? very_slow_ratio : update_warm_latency(route, latency);
    slow_answer_share_ +=
        (ratio >= very_slow_ratio ? 1.0 - slow_answer_share_ : -slow_answer_share_) /
        slow_share_window;
    if (slow_answer_share_ >= max_slow_answer_share) {
      make_cold();
    } else if (ratio >= slow_ratio) {
      shrink();
    } else {
      grow(in_flight);
    }
  }

private:
  static constexpr double cold_limit_fraction = 0.2; // of the slots
  // An answer whose latency is this multiple of the warm latency lowers the limit.
  static constexpr double slow_ratio = 2.0;
  // An answer whose latency is this multiple of the warm latency counts as evidence of a cold
  // upstream. So does an answer that reports overload.
  static constexpr double very_slow_ratio = 3.0;
  static constexpr double slow_share_window = 8.0; // answers in the moving average
  // The upstream is cold once the moving average of very slow answers reaches this share.
  static constexpr double max_slow_answer_share = 0.5;
  // Applied at most once per round.
  static constexpr double shrink_factor = 0.8;
  // Increase of the limit per round of good answers.
  static constexpr double growth_per_round = 0.5;
  // The limit grows only while at least this fraction of it is in flight.
  static constexpr double min_utilization_to_grow = 0.7;
  // Weight of a new sample in the warm latency if it is faster (fall) or slower (rise).
  static constexpr double warm_latency_fall_rate = 0.2;
  static constexpr double warm_latency_rise_rate = 0.002;

  double cold_limit() const { return std::max(1.0, slots_ * cold_limit_fraction); }

  // Returns `latency` as a multiple of the route's warm latency and then adds it to that average.
  double update_warm_latency(std::uint64_t route, duration latency) {
    const double sample = std::max(1.0, static_cast<double>(latency.count()));
    const auto [found, is_first] = warm_latency_.try_emplace(route, sample);
    if (is_first) {
      return 1.0;
    }
    const double ratio = sample / found->second;
    found->second += (sample - found->second) *
                     (sample < found->second ? warm_latency_fall_rate : warm_latency_rise_rate);
    return ratio;
  }

  void shrink() {
    if (answers_since_decrease_ < limit_) {
      return;
    }
    answers_since_decrease_ = 0;
    limit_ = std::max(1.0, limit_ * shrink_factor);
  }

  void grow(int in_flight) {
    if (in_flight < max_in_flight() * min_utilization_to_grow) {
      return;
    }
    limit_ = std::min(static_cast<double>(slots_), limit_ + growth_per_round / limit_);
  }

  int slots_;
  double limit_;
  double answers_since_decrease_ = 0;
  double slow_answer_share_ = 0;                           // of very slow answers, a moving average
  std::unordered_map<std::uint64_t, double> warm_latency_; // by route, in microseconds
};

// Baseline for benchmarks: allows all configured slots from the first request on.
class fixed_limit {
public:
  explicit fixed_limit(int slots) : slots_(slots) {}
  double value() const noexcept { return slots_; }
  int max_in_flight() const noexcept { return slots_; }
  int slots() const noexcept { return slots_; }
  void set_slots(int slots) { slots_ = slots; }
  void make_cold() {}
  void on_answer(std::uint64_t, duration, answer_kind, int) {}

private:
  int slots_;
};

} // namespace arbutuslb::core::routing
