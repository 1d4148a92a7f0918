#include "arbutuslb/core/gateway/run_queue.h"

#include <algorithm>

namespace arbutuslb::core::gateway {
namespace {

// Weight of the newest latency in the moving average.
constexpr double latency_weight = 0.1;

} // namespace

std::size_t run_queue::recent_starts(time_point now) const {
  const auto is_recent = [now](time_point start) { return now - start < rate_window; };
  return static_cast<std::size_t>(std::count_if(starts_.begin(), starts_.end(), is_recent));
}

bool run_queue::can_start(time_point now) const {
  if (in_flight_ >= limit_) {
    return false;
  }
  if (rate_ <= 0) {
    return true;
  }
  return static_cast<double>(recent_starts(now)) + 1.0 <= std::max(1.0, rate_);
}

void run_queue::record_start(time_point now) {
  ++in_flight_;
  while (!starts_.empty() && now - starts_.front() >= rate_window) {
    starts_.pop_front();
  }
  starts_.push_back(now);
}

admission_verdict run_queue::submit(const queued_run& request, time_point now) {
  const auto is_not_less_urgent = [&](const queued_run& other) {
    return other.rank <= request.rank;
  };
  const bool is_first = std::none_of(waiting_.begin(), waiting_.end(), is_not_less_urgent);
  if (is_first && can_start(now)) {
    record_start(now);
    return admission_verdict::run;
  }
  if (now + expected_wait(request.rank, now) > request.start_by) {
    return admission_verdict::refused;
  }
  const auto is_after = [&](const queued_run& other) { return other.rank > request.rank; };
  waiting_.insert(std::find_if(waiting_.begin(), waiting_.end(), is_after), request);
  return admission_verdict::queued;
}

duration run_queue::expected_wait(int rank, time_point now) const {
  const auto is_ahead = [rank](const queued_run& other) { return other.rank <= rank; };
  const auto ahead = static_cast<double>(std::count_if(waiting_.begin(), waiting_.end(), is_ahead));
  if (ahead == 0 && can_start(now)) {
    return duration::zero();
  }
  const double mean = static_cast<double>(mean_latency_.count());
  // Assumes that slots become free evenly over the mean latency.
  double wait = mean * (ahead + 1.0) / static_cast<double>(std::max(1, limit_));
  if (rate_ > 0) {
    constexpr double microseconds = 1e6;
    wait = std::max(wait, microseconds * (ahead + 1.0) / std::max(1.0, rate_));
  }
  return duration{static_cast<duration::rep>(wait)};
}

void run_queue::release(std::optional<duration> latency) {
  --in_flight_;
  if (latency) {
    const double sample = static_cast<double>(latency->count());
    const double mean = static_cast<double>(mean_latency_.count());
    mean_latency_ = duration{static_cast<duration::rep>(mean + latency_weight * (sample - mean))};
  }
}

std::optional<std::uint64_t> run_queue::next(time_point now) {
  if (waiting_.empty() || !can_start(now)) {
    return std::nullopt;
  }
  const std::uint64_t token = waiting_.front().token;
  waiting_.pop_front();
  record_start(now);
  return token;
}

std::vector<std::uint64_t> run_queue::take_expired(time_point now) {
  std::vector<std::uint64_t> expired;
  const auto collect = [&](const queued_run& item) {
    if (now <= item.start_by) {
      return false;
    }
    expired.push_back(item.token);
    return true;
  };
  std::erase_if(waiting_, collect);
  return expired;
}

std::vector<std::uint64_t> run_queue::take_all() {
  std::vector<std::uint64_t> tokens;
  for (const queued_run& item : waiting_) {
    tokens.push_back(item.token);
  }
  waiting_.clear();
  return tokens;
}

bool run_queue::remove(std::uint64_t token) {
  const auto has_token = [token](const queued_run& item) { return item.token == token; };
  return std::erase_if(waiting_, has_token) > 0;
}

} // namespace arbutuslb::core::gateway
