#include "arbutuslb/core/gateway/slot_limit.h"

#include <algorithm>

namespace arbutuslb::core::gateway {
namespace {

// An answer proves for this long that the upstream handles that concurrency.
constexpr std::chrono::seconds proof_lifetime{3};
// After a change the limit is raised by one after this time; the time doubles with each reduction,
// since each attempt to raise the limit may cost a request.
constexpr std::chrono::seconds first_probe_delay{2};
constexpr std::chrono::seconds max_probe_delay{32};
// Answers that are kept to count what was executed beside a request.
constexpr std::size_t max_answers = 128;

} // namespace

void slot_limit::set_stated(int slots) {
  if (slots != stated_) {
    stated_ = std::max(1, slots);
    reset();
  }
}

void slot_limit::reset() {
  value_ = stated_;
  last_answered_start_ = {};
  answered_.clear();
  answered_at_.assign(static_cast<std::size_t>(stated_) + 1, time_point{});
  changed_at_ = {};
  probe_delay_ = first_probe_delay;
}

int slot_limit::executing_at(time_point time) const {
  return static_cast<int>(
      std::count_if(answered_.begin(), answered_.end(), [time](const execution_time& item) {
        return item.started <= time && time < item.answered;
      }));
}

void slot_limit::on_answer(time_point started_at, time_point now) {
  last_answered_start_ = std::max(last_answered_start_, started_at);
  answered_.push_back({started_at, now});
  if (answered_.size() > max_answers) {
    answered_.pop_front();
  }
  const int concurrency = std::min(executing_at(started_at), stated_);
  answered_at_[static_cast<std::size_t>(concurrency)] = now;
  if (value_ < stated_ && concurrency >= value_ && now - changed_at_ >= probe_delay_) {
    ++value_;
    changed_at_ = now;
  }
}

void slot_limit::on_silence(time_point started_at, time_point now) {
  const int concurrency = executing_at(started_at) + 1;
  if (last_answered_start_ <= started_at || concurrency > value_) {
    return;
  }
  const auto is_recent = [now](time_point at) {
    return at != time_point{} && now - at < proof_lifetime;
  };
  if (std::any_of(answered_at_.begin() + concurrency, answered_at_.end(), is_recent)) {
    return;
  }
  value_ = std::max(1, concurrency - 1);
  changed_at_ = now;
  probe_delay_ = std::min<duration>(2 * probe_delay_, max_probe_delay);
}

} // namespace arbutuslb::core::gateway
