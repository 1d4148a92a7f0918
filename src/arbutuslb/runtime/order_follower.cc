#include "arbutuslb/runtime/order_follower.h"

#include "arbutuslb/platform/orders.h"

#include <algorithm>

namespace arbutuslb::runtime {
namespace {

// A read is repeated on another connection if it has not been answered this long after it should
// have been. A slow store answers within that time.
constexpr std::chrono::milliseconds hedge_delay{500};
constexpr std::size_t max_pending_reads = 3;
constexpr std::chrono::milliseconds initial_backoff{150};
constexpr std::chrono::milliseconds max_backoff{1200};
// Records that are written in quick succession are read together.
constexpr std::chrono::milliseconds batching_delay{120};

} // namespace

order_follower::order_follower(asio::io_context& loop, platform::store_client& store,
                               std::uint64_t seed, records_handler on_records,
                               reachability_handler on_reachability_change)
    : store_(store), random_(seed), on_records_(std::move(on_records)),
      on_reachability_change_(std::move(on_reachability_change)), timer_(loop), hedge_timer_(loop) {
}

void order_follower::start() {
  read_newest();
}

void order_follower::set_following(bool is_enabled, core::duration poll_wait) {
  is_confirmed_ = is_confirmed_ && is_following_;
  is_following_ = is_enabled;
  poll_wait_ = poll_wait;
  if (is_enabled && !is_active_ && !is_stopped_) {
    has_newest_records_ ? read_new_records() : read_newest();
  }
  if (!is_enabled && !reads_.empty() && !is_reading_newest_) {
    cancel_reads();
    is_active_ = false;
  }
}

void order_follower::stop() {
  is_stopped_ = true;
  timer_.cancel();
  cancel_reads();
}

void order_follower::cancel_reads() {
  hedge_timer_.cancel();
  for (const auto& [key, request] : std::exchange(reads_, {})) {
    store_.cancel(request);
  }
}

void order_follower::skip_to(const core::gateway::log_position& end) {
  next_ = std::max(next_, end);
  has_newest_records_ = true;
}

void order_follower::restart() {
  if (reads_.empty() || is_reading_newest_ || is_stopped_) {
    return;
  }
  cancel_reads();
  read_new_records();
}

void order_follower::read_newest() {
  is_active_ = true;
  is_reading_newest_ = true;
  send_read_newest(platform::connection_choice::any);
  schedule_hedge(hedge_delay);
}

void order_follower::send_read_newest(platform::connection_choice choice) {
  const std::uint64_t key = ++last_read_key_;
  reads_[key] = 0;
  store_.read_newest(
      platform::operator_topic,
      [this, key](platform::read_result result) {
        if (end_read(key, result)) {
          on_newest(std::move(result));
        }
      },
      choice);
}

void order_follower::read_new_records() {
  if (!is_following_) {
    is_active_ = false;
    return;
  }
  is_active_ = true;
  // The first answer, and that after a failure, must not wait for a record: it tells whether the
  // store answers, and whether a new era has begun.
  const core::duration wait = is_confirmed_ && is_reachable_ ? poll_wait_ : core::duration{};
  is_reading_newest_ = false;
  send_read(wait, platform::connection_choice::any);
  schedule_hedge(wait + hedge_delay);
}

void order_follower::send_read(core::duration wait, platform::connection_choice choice) {
  const std::uint64_t key = ++last_read_key_;
  reads_[key] = store_.read_from(
      platform::operator_topic, next_.offset, wait,
      [this, key, from = next_](platform::read_result result) {
        if (end_read(key, result)) {
          on_new_records(from, std::move(result));
        }
      },
      choice);
}

void order_follower::schedule_hedge(core::duration delay) {
  hedge_timer_.expires_after(delay);
  hedge_timer_.async_wait([this](std::error_code error) {
    if (error || is_stopped_ || reads_.empty()) {
      return;
    }
    if (reads_.size() < max_pending_reads) {
      is_reading_newest_ ? send_read_newest(platform::connection_choice::new_one)
                         : send_read(core::duration::zero(), platform::connection_choice::new_one);
    }
    schedule_hedge(hedge_delay);
  });
}

bool order_follower::end_read(std::uint64_t key, const platform::read_result& result) {
  if (reads_.erase(key) == 0) {
    return false;
  }
  if (result.status == platform::read_status::failed && !reads_.empty()) {
    report_unreachable(result.reason);
    return false;
  }
  cancel_reads();
  return true;
}

bool order_follower::check(platform::read_result& result) {
  if (result.status == platform::read_status::failed) {
    schedule_retry(result.reason);
    return false;
  }
  if (result.era == 0) {
    result.era = next_.era; // the answer states none
  }
  if (result.era < next_.era) {
    schedule_retry("answer of an earlier era");
    return false;
  }
  return true;
}

void order_follower::on_newest(platform::read_result result) {
  if (is_stopped_ || !check(result)) {
    return;
  }
  has_newest_records_ = true;
  next_ = {result.era, result.end_offset};
  deliver(std::move(result), true);
}

void order_follower::on_new_records(const core::gateway::log_position& from,
                                    platform::read_result result) {
  if (is_stopped_ || !check(result)) {
    return;
  }
  if (result.status == platform::read_status::expired || result.era != from.era) {
    has_newest_records_ = false;
    schedule(backoff_after(invalid_positions_++), &order_follower::read_newest);
    return;
  }
  invalid_positions_ = 0;
  next_ = std::max(next_, {result.era, result.next_offset});
  deliver(std::move(result), false);
}

void order_follower::deliver(platform::read_result result, bool is_complete) {
  failures_ = 0;
  is_confirmed_ = true;
  if (!is_reachable_) {
    is_reachable_ = true;
    on_reachability_change_(true, "");
  }
  const bool has_records = !result.records.empty();
  const bool is_cut = !is_complete && result.next_offset < result.end_offset;
  on_records_(std::move(result), is_complete);
  schedule(has_records && !is_complete && !is_cut ? core::duration{batching_delay}
                                                  : core::duration::zero(),
           &order_follower::read_new_records);
}

void order_follower::report_unreachable(const std::string& reason) {
  if (is_reachable_) {
    is_reachable_ = false;
    on_reachability_change_(false, reason);
  }
}

void order_follower::schedule_retry(const std::string& reason) {
  report_unreachable(reason);
  schedule(backoff_after(++failures_),
           has_newest_records_ ? &order_follower::read_new_records : &order_follower::read_newest);
}

core::duration order_follower::backoff_after(int failures) {
  if (failures == 0) {
    return core::duration::zero();
  }
  const int doublings = std::min(failures - 1, 3);
  const core::duration backoff =
      std::min<core::duration>(initial_backoff * (1 << doublings), max_backoff);
  return backoff / 2 + random_.jitter(backoff);
}

void order_follower::schedule(core::duration delay, void (order_follower::*next)()) {
  timer_.expires_after(delay);
  timer_.async_wait([this, next](std::error_code error) {
    if (!error && !is_stopped_) {
      (this->*next)();
    }
  });
}

} // namespace arbutuslb::runtime
