// What one daemon's own calls show of an upstream, and what the upstream's daemon says on replies.
#pragma once

#include "arbutuslb/core/base/ids.h"
#include "arbutuslb/core/base/time.h"

#include <algorithm>

namespace arbutuslb::core::routing {

// The limit assumed of an upstream that has not yet said what it bears.
inline constexpr double assumed_cold_limit = 2.0;
// How long an advertised load counts.
inline constexpr std::chrono::seconds advertised_load_age{2};

// A regular value type; all operations are O(1).
class endpoint_stats {
public:
  void on_sent() { ++outstanding_; }

  void on_answer(duration latency) {
    finish();
    latency_us_ += (static_cast<double>(latency.count()) - latency_us_) * latency_rate;
    failures_ = 0;
    refusals_ = 0;
  }

  // The upstream is at its limit: leave it alone for a moment.
  void on_busy(time_point now, duration pause) {
    finish();
    refusing_until_ = std::max(refusing_until_, now + pause);
  }

  // The upstream's daemon refused for another reason than its limit: leave it alone for longer with
  // each refusal in a row.
  void on_refused(time_point now, duration pause) {
    const int doublings = std::min(refusals_, max_doublings);
    ++refusals_;
    on_busy(now, pause * (1 << doublings));
  }

  // An answer that shows a fault of the upstream.
  void on_failed(time_point now) {
    finish();
    ++failures_;
    if (failures_ >= failures_before_ejection) {
      const int doublings = std::min(failures_ - failures_before_ejection, max_doublings);
      ejected_until_ = now + first_ejection * (1 << doublings);
    }
  }

  // No answer at all. A silent endpoint is left alone at once, and for longer each time.
  void on_no_answer(time_point now) {
    failures_ = std::max(failures_, failures_before_ejection - 1);
    on_failed(now);
    silent_until_ = ejected_until_;
  }

  // The call ended without telling anything about the upstream.
  void on_cancelled() { finish(); }

  void on_load(double limit, std::uint32_t in_flight, time_point now) {
    advertised_limit_ = limit;
    advertised_in_flight_ = in_flight;
    advertised_at_ = now;
  }

  bool is_refusing(time_point now) const { return now < refusing_until_; }
  bool is_silent(time_point now) const { return now < silent_until_; }
  bool is_ejected(time_point now) const { return now < ejected_until_; }
  double limit(time_point now) const {
    return is_load_fresh(now) ? std::max(1.0, advertised_limit_) : assumed_limit();
  }
  int outstanding() const noexcept { return outstanding_; }

  // The larger of what this daemon has outstanding and what the upstream said it runs.
  double load(time_point now) const {
    const double advertised = is_load_fresh(now) ? advertised_in_flight_ : 0.0;
    return std::max(static_cast<double>(outstanding_), advertised);
  }

  // Expected wait of one more request, in microseconds: lower is better.
  double cost(time_point now) const {
    return (load(now) + 1.0) / limit(now) * std::max(1.0, latency_us_);
  }

  bool has_spare(time_point now) const { return load(now) < limit(now); }

private:
  static constexpr double latency_rate = 0.1;
  static constexpr int failures_before_ejection = 3;
  static constexpr int max_doublings = 4;
  static constexpr std::chrono::milliseconds first_ejection{500};

  void finish() { outstanding_ = std::max(0, outstanding_ - 1); }
  bool is_load_fresh(time_point now) const {
    return advertised_at_ != time_point{} && now - advertised_at_ < advertised_load_age;
  }
  double assumed_limit() const {
    return advertised_at_ == time_point{} ? assumed_cold_limit : std::max(1.0, advertised_limit_);
  }

  int outstanding_ = 0;
  int failures_ = 0; // in a row
  int refusals_ = 0; // in a row
  double latency_us_ = 0;
  double advertised_limit_ = 0;
  double advertised_in_flight_ = 0;
  time_point advertised_at_{};
  time_point refusing_until_{};
  time_point ejected_until_{};
  time_point silent_until_{};
};

} // namespace arbutuslb::core::routing
