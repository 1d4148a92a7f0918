#include "arbutuslb/runtime/order_follower.h"

#include "arbutuslb/platform/orders.h"

#include <algorithm>

namespace arbutuslb::runtime {
namespace {

constexpr std::chrono::seconds long_poll_wait{20};
constexpr std::chrono::milliseconds initial_backoff{150};
constexpr std::chrono::milliseconds max_backoff{1200};
// Records that are written in quick succession are read together.
constexpr std::chrono::milliseconds batching_delay{120};

} // namespace

order_follower::order_follower(asio::io_context& loop, platform::store_client& store,
                               std::uint64_t seed, records_handler on_records,
                               reachability_handler on_reachability_change)
    : store_(store), random_(seed), on_records_(std::move(on_records)),
      on_reachability_change_(std::move(on_reachability_change)), timer_(loop) {}

void order_follower::start() {
  read_newest();
}

void order_follower::set_following(bool is_enabled) {
  is_following_ = is_enabled;
  if (is_enabled && !is_active_ && !is_stopped_) {
    has_newest_records_ ? read_new_records() : read_newest();
  }
  if (!is_enabled && long_poll_ != 0) {
    store_.cancel(std::exchange(long_poll_, 0));
    is_active_ = false;
  }
}

void order_follower::stop() {
  is_stopped_ = true;
  timer_.cancel();
  store_.cancel(long_poll_);
}

void order_follower::skip_to(std::uint64_t end_offset) {
  next_offset_ = std::max(next_offset_, end_offset);
  has_newest_records_ = true;
}

void order_follower::restart() {
  if (long_poll_ == 0 || is_stopped_) {
    return;
  }
  store_.cancel(std::exchange(long_poll_, 0));
  read_new_records();
}

void order_follower::read_newest() {
  is_active_ = true;
  store_.read_newest(platform::operator_topic, [this](platform::read_result result) {
    on_read_result(std::move(result), true);
  });
}

void order_follower::read_new_records() {
  if (!is_following_) {
    is_active_ = false;
    return;
  }
  is_active_ = true;
  long_poll_ = store_.read_from(platform::operator_topic, next_offset_, long_poll_wait,
                                [this](platform::read_result result) {
                                  long_poll_ = 0;
                                  on_read_result(std::move(result), false);
                                });
}

void order_follower::on_read_result(platform::read_result result, bool is_complete) {
  if (is_stopped_) {
    return;
  }
  if (result.status == platform::read_status::expired) {
    read_newest();
    return;
  }
  if (result.status == platform::read_status::failed) {
    schedule_retry(result.reason);
    return;
  }
  failures_ = 0;
  if (!is_reachable_) {
    is_reachable_ = true;
    on_reachability_change_(true, "");
  }
  has_newest_records_ = has_newest_records_ || is_complete;
  const bool has_records = !result.records.empty();
  for (const platform::store_record& record : result.records) {
    next_offset_ = std::max(next_offset_, record.offset + 1);
  }
  if (is_complete) {
    next_offset_ = std::max(next_offset_, result.end_offset);
  }
  on_records_(std::move(result), is_complete);
  schedule(has_records && !is_complete ? core::duration{batching_delay} : core::duration::zero(),
           &order_follower::read_new_records);
}

void order_follower::schedule_retry(const std::string& reason) {
  if (is_reachable_) {
    is_reachable_ = false;
    on_reachability_change_(false, reason);
  }
  const int doublings = std::min(failures_++, 3);
  const core::duration backoff =
      std::min<core::duration>(initial_backoff * (1 << doublings), max_backoff);
  schedule(backoff / 2 + random_.jitter(backoff),
           has_newest_records_ ? &order_follower::read_new_records : &order_follower::read_newest);
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
