#include "arbutuslb/runtime/order_follower.h"

#include "arbutuslb/platform/orders.h"

#include <algorithm>

namespace arbutuslb::runtime {
namespace {

constexpr std::chrono::seconds long_read{20};
constexpr std::chrono::milliseconds first_pause{150};
constexpr std::chrono::milliseconds longest_pause{1200};
// Records that follow each other closely are read together.
constexpr std::chrono::milliseconds gathering_pause{120};

} // namespace

order_follower::order_follower(asio::io_context& loop, platform::store_client& store,
                               std::uint64_t seed, records_handler on_records,
                               contact_handler on_contact)
    : store_(store), random_(seed), on_records_(std::move(on_records)),
      on_contact_(std::move(on_contact)), timer_(loop) {}

void order_follower::start() {
  read_newest();
}

void order_follower::set_following(bool is_enabled) {
  is_following_ = is_enabled;
  if (is_enabled && !is_busy_ && !is_stopped_) {
    has_all_ ? read_on() : read_newest();
  }
  if (!is_enabled && pending_ != 0) {
    store_.cancel(std::exchange(pending_, 0));
    is_busy_ = false;
  }
}

void order_follower::stop() {
  is_stopped_ = true;
  timer_.cancel();
  store_.cancel(pending_);
}

void order_follower::skip_to(std::uint64_t end_offset) {
  next_offset_ = std::max(next_offset_, end_offset);
  has_all_ = true;
}

void order_follower::restart() {
  if (pending_ == 0 || is_stopped_) {
    return;
  }
  store_.cancel(std::exchange(pending_, 0));
  read_on();
}

void order_follower::read_newest() {
  is_busy_ = true;
  store_.read_newest(platform::orders_topic,
                     [this](platform::read_result result) { on_end(std::move(result), true); });
}

void order_follower::read_on() {
  if (!is_following_) {
    is_busy_ = false;
    return;
  }
  is_busy_ = true;
  pending_ = store_.read_from(platform::orders_topic, next_offset_, long_read,
                              [this](platform::read_result result) {
                                pending_ = 0;
                                on_end(std::move(result), false);
                              });
}

void order_follower::on_end(platform::read_result result, bool is_complete) {
  if (is_stopped_) {
    return;
  }
  if (result.status == platform::read_status::expired) {
    read_newest();
    return;
  }
  if (result.status == platform::read_status::failed) {
    try_again(result.reason);
    return;
  }
  failures_ = 0;
  if (!is_in_contact_) {
    is_in_contact_ = true;
    on_contact_(true, "");
  }
  has_all_ = has_all_ || is_complete;
  const bool has_records = !result.records.empty();
  for (const platform::store_record& record : result.records) {
    next_offset_ = std::max(next_offset_, record.offset + 1);
  }
  if (is_complete) {
    next_offset_ = std::max(next_offset_, result.end_offset);
  }
  on_records_(std::move(result), is_complete);
  pause(has_records && !is_complete ? core::duration{gathering_pause} : core::duration::zero(),
        &order_follower::read_on);
}

void order_follower::try_again(const std::string& reason) {
  if (is_in_contact_) {
    is_in_contact_ = false;
    on_contact_(false, reason);
  }
  const int doublings = std::min(failures_++, 3);
  const core::duration longest =
      std::min<core::duration>(first_pause * (1 << doublings), longest_pause);
  pause(longest / 2 + random_.jitter(longest),
        has_all_ ? &order_follower::read_on : &order_follower::read_newest);
}

void order_follower::pause(core::duration time, void (order_follower::*next)()) {
  timer_.expires_after(time);
  timer_.async_wait([this, next](std::error_code error) {
    if (!error && !is_stopped_) {
      (this->*next)();
    }
  });
}

} // namespace arbutuslb::runtime
