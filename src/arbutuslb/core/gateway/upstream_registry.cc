#include "arbutuslb/core/gateway/upstream_registry.h"

#include <algorithm>

namespace arbutuslb::core::gateway {
namespace {

// Heartbeats come about every 1.5 s and may be late; an upstream that has been silent for longer
// and has not answered a request is held to be down.
constexpr std::chrono::milliseconds heartbeat_patience{4500};
constexpr std::chrono::milliseconds response_patience{3000};
// A heartbeat may come this late. An upstream that said goodbye before it was known is told from a
// later start under the same id by this time alone.
constexpr std::chrono::seconds latest_heartbeat{30};

} // namespace

const char* to_string(heartbeat_verdict value) {
  switch (value) {
  case heartbeat_verdict::accepted:
    return "accepted";
  case heartbeat_verdict::stale:
    return "stale";
  case heartbeat_verdict::already_leaving:
    return "already_leaving";
  case heartbeat_verdict::foreign:
    return "foreign";
  }
  return "unknown";
}

heartbeat_verdict upstream_registry::on_heartbeat(const heartbeat& value, time_point now) {
  if (value.address != own_address_) {
    return heartbeat_verdict::foreign;
  }
  if (known_) {
    const bool is_same_start =
        known_->instance_id == value.instance_id && known_->started_ms == value.started_ms;
    if (value.started_ms < known_->started_ms ||
        (is_same_start && value.sequence <= known_->sequence)) {
      return heartbeat_verdict::stale;
    }
    if (is_same_start && known_->state != upstream_lifecycle::ready &&
        value.state == upstream_lifecycle::ready) {
      return heartbeat_verdict::already_leaving;
    }
  }
  if (value.state == upstream_lifecycle::ready && has_departed(value, now)) {
    return heartbeat_verdict::already_leaving;
  }
  known_upstream fresh;
  fresh.instance_id = value.instance_id;
  fresh.started_ms = value.started_ms;
  fresh.sequence = value.sequence;
  fresh.service = value.service;
  fresh.version = value.version;
  fresh.address = value.address;
  fresh.slots = std::max(1, value.slots);
  fresh.state = value.state;
  fresh.cold_until = value.cold_for > duration::zero() ? now + value.cold_for : time_point{};
  fresh.heard_at = now;
  known_ = std::move(fresh);
  is_unreachable_ = false;
  if (known_->state != upstream_lifecycle::ready) {
    note_departure({known_->instance_id, known_->started_ms}, now);
  }
  return heartbeat_verdict::accepted;
}

bool upstream_registry::has_departed(const heartbeat& value, time_point now) const {
  if (!departed_ || departed_->instance_id != value.instance_id) {
    return false;
  }
  return departed_->started_ms == 0 ? now - departed_at_ < latest_heartbeat
                                    : value.started_ms <= departed_->started_ms;
}

void upstream_registry::note_departure(upstream_incarnation departed, time_point now) {
  departed_ = std::move(departed);
  departed_at_ = now;
}

bool upstream_registry::on_deregistration(const std::string& instance_id, time_point now) {
  const bool is_known = known_ && known_->instance_id == instance_id;
  note_departure({instance_id, is_known ? known_->started_ms : 0}, now);
  if (is_known) {
    known_->state = upstream_lifecycle::gone;
    known_->heard_at = now;
  }
  return is_known;
}

void upstream_registry::restore_departure(const upstream_incarnation& departed, time_point now) {
  if (departed_) {
    return; // this process has seen a later one
  }
  note_departure(departed, now);
  const bool is_known = known_ && known_->instance_id == departed.instance_id &&
                        (departed.started_ms == 0 || known_->started_ms <= departed.started_ms);
  if (is_known) {
    known_->state = upstream_lifecycle::gone;
  }
}

void upstream_registry::assume_cold(time_point until) {
  if (known_) {
    known_->cold_until = std::max(known_->cold_until, until);
  }
}

bool upstream_registry::is_usable(time_point now) const {
  if (now < closed_until_ || !known_ || known_->state != upstream_lifecycle::ready ||
      is_unreachable_) {
    return false;
  }
  return now - known_->heard_at < heartbeat_patience || now - last_response_ < response_patience;
}

} // namespace arbutuslb::core::gateway
