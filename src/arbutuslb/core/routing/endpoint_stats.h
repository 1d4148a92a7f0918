// Statistics of one upstream as one daemon sees it: the results of that daemon's calls, and the
// load that the upstream's daemon advertises in its replies.
#pragma once

#include "arbutuslb/core/base/ids.h"
#include "arbutuslb/core/base/time.h"

#include <algorithm>

namespace arbutuslb::core::routing {

// Concurrency limit assumed for an upstream that has not advertised one yet.
inline constexpr double assumed_cold_limit = 2.0;
// Age from which the advertised number of requests in flight is ignored.
inline constexpr std::chrono::seconds max_advertised_load_age{2};

// A regular value type; all operations are O(1).
class endpoint_stats {
public:
  void on_sent() { ++outstanding_; }

  void on_answer(duration latency) {
    remove_outstanding();
    latency_us_ += (static_cast<double>(latency.count()) - latency_us_) * latency_smoothing;
    consecutive_failures_ = 0;
    consecutive_refusals_ = 0;
  }

  // The upstream is at its limit: avoids it for `backoff`.
  void on_busy(time_point now, duration backoff) {
    remove_outstanding();
    refusing_until_ = std::max(refusing_until_, now + backoff);
  }

  // The upstream's daemon refused for another reason than its limit: avoids the upstream for
  // `backoff`, doubled with each consecutive refusal.
  void on_refused(time_point now, duration backoff) {
    const int doublings = std::min(consecutive_refusals_, max_doublings);
    ++consecutive_refusals_;
    on_busy(now, backoff * (1 << doublings));
  }

  // The answer shows a fault of the upstream. From `failures_before_ejection` consecutive failures
  // on, each failure ejects the upstream for twice as long as the one before.
  void on_failed(time_point now) {
    remove_outstanding();
    ++consecutive_failures_;
    if (consecutive_failures_ >= failures_before_ejection) {
      const int doublings =
          std::min(consecutive_failures_ - failures_before_ejection, max_doublings);
      ejected_until_ = now + base_ejection_time * (1 << doublings);
    }
  }

  // The upstream did not answer. Ejects it at once; each further failure doubles the time.
  void on_no_answer(time_point now) {
    consecutive_failures_ = std::max(consecutive_failures_, failures_before_ejection - 1);
    on_failed(now);
    unresponsive_until_ = ejected_until_;
  }

  // The call ended without a result that says anything about the upstream.
  void on_cancelled() { remove_outstanding(); }

  // Stores the limit and the number of requests in flight that the upstream's daemon advertised.
  void on_load(double limit, std::uint32_t in_flight, time_point now) {
    advertised_limit_ = limit;
    advertised_in_flight_ = in_flight;
    advertised_at_ = now;
  }

  bool is_refusing(time_point now) const { return now < refusing_until_; }
  bool is_unresponsive(time_point now) const { return now < unresponsive_until_; }
  bool is_ejected(time_point now) const { return now < ejected_until_; }
  double limit(time_point now) const {
    return is_load_fresh(now) ? std::max(1.0, advertised_limit_) : assumed_limit();
  }
  int outstanding() const noexcept { return outstanding_; }

  // Returns the larger of this daemon's outstanding requests and the advertised requests in flight.
  double load(time_point now) const {
    const double advertised = is_load_fresh(now) ? advertised_in_flight_ : 0.0;
    return std::max(static_cast<double>(outstanding_), advertised);
  }

  // Returns the expected wait of one more request in microseconds. Lower is better.
  double cost(time_point now) const {
    return (load(now) + 1.0) / limit(now) * std::max(1.0, latency_us_);
  }

  bool has_capacity(time_point now) const { return load(now) < limit(now); }

private:
  static constexpr double latency_smoothing = 0.1; // weight of a new sample
  static constexpr int failures_before_ejection = 3;
  static constexpr int max_doublings = 4;
  static constexpr std::chrono::milliseconds base_ejection_time{500};

  void remove_outstanding() { outstanding_ = std::max(0, outstanding_ - 1); }
  bool is_load_fresh(time_point now) const {
    return advertised_at_ != time_point{} && now - advertised_at_ < max_advertised_load_age;
  }
  double assumed_limit() const {
    return advertised_at_ == time_point{} ? assumed_cold_limit : std::max(1.0, advertised_limit_);
  }

  int outstanding_ = 0;
  int consecutive_failures_ = 0;
  int consecutive_refusals_ = 0;
  double latency_us_ = 0; // moving average; 0 before the first answer
  double advertised_limit_ = 0;
  double advertised_in_flight_ = 0;
  time_point advertised_at_{}; // time_point{} if nothing was advertised yet
  time_point refusing_until_{};
  time_point ejected_until_{};
  time_point unresponsive_until_{};
};

} // namespace arbutuslb::core::routing
