#include "arbutuslb/core/gateway/upstream_registry.h"

#include <algorithm>

namespace arbutuslb::core::gateway {
namespace {

// Heartbeats are sent about every 1.5 s and may be late. An upstream that has neither sent a
// heartbeat nor answered a request within these times is treated as down.
constexpr std::chrono::milliseconds heartbeat_timeout{4500};
constexpr std::chrono::milliseconds response_timeout{3000};
// An upstream is treated as cold for this long after its reported cold time: the report is rounded
// down, and a busy process reads its clock at another moment than it sends a request.
constexpr std::chrono::milliseconds cold_time_margin{100};
// Maximum delay of a heartbeat. For an upstream that deregistered before its first heartbeat the
// start time is unknown: a heartbeat with its id is attributed to the departed incarnation for this
// time, and to a later one afterwards.
constexpr std::chrono::seconds max_heartbeat_delay{30};

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
  case heartbeat_verdict::other_service:
    return "other_service";
  case heartbeat_verdict::contradictory:
    return "contradictory";
  }
  return "unknown";
}

heartbeat_verdict upstream_registry::on_heartbeat(const heartbeat& value, time_point now) {
  if (value.address != local_.address || value.domain != local_.domain) {
    return heartbeat_verdict::foreign;
  }
  if (value.service != local_.service) {
    return heartbeat_verdict::other_service;
  }
  if (upstream_) {
    const bool is_same_start =
        upstream_->instance_id == value.instance_id && upstream_->started_ms == value.started_ms;
    if (value.started_ms < upstream_->started_ms ||
        (is_same_start && value.sequence <= upstream_->sequence)) {
      return heartbeat_verdict::stale;
    }
    if (is_same_start && value.version != upstream_->version) {
      return heartbeat_verdict::contradictory;
    }
    if (is_same_start && upstream_->state != upstream_lifecycle::ready &&
        value.state == upstream_lifecycle::ready) {
      return heartbeat_verdict::already_leaving;
    }
  }
  if (value.state == upstream_lifecycle::ready && has_departed(value, now)) {
    return heartbeat_verdict::already_leaving;
  }
  registered_upstream updated;
  updated.instance_id = value.instance_id;
  updated.started_ms = value.started_ms;
  updated.sequence = value.sequence;
  updated.version = value.version;
  updated.address = value.address;
  updated.slots = std::max(1, value.slots);
  updated.state = value.state;
  updated.cold_until = cold_end(value, now);
  updated.last_contact = now;
  upstream_ = std::move(updated);
  is_unreachable_ = false;
  if (upstream_->state != upstream_lifecycle::ready) {
    set_departure({upstream_->instance_id, upstream_->started_ms}, now);
  }
  return heartbeat_verdict::accepted;
}

time_point upstream_registry::cold_end(const heartbeat& value, time_point now) const {
  const time_point reported_end = now + value.cold_for + cold_time_margin;
  if (value.cold_for > duration::zero()) {
    return reported_end;
  }
  const bool was_cold = upstream_ && now < upstream_->cold_until &&
                        upstream_->instance_id == value.instance_id &&
                        upstream_->started_ms == value.started_ms;
  return was_cold ? std::min(upstream_->cold_until, reported_end) : time_point{};
}

bool upstream_registry::has_departed(const heartbeat& value, time_point now) const {
  if (!departed_ || departed_->instance_id != value.instance_id) {
    return false;
  }
  return departed_->started_ms == 0 ? now - departed_at_ < max_heartbeat_delay
                                    : value.started_ms <= departed_->started_ms;
}

void upstream_registry::set_departure(upstream_incarnation departed, time_point now) {
  departed_ = std::move(departed);
  departed_at_ = now;
}

bool upstream_registry::on_deregistration(const std::string& instance_id, time_point now) {
  const bool is_registered = upstream_ && upstream_->instance_id == instance_id;
  set_departure({instance_id, is_registered ? upstream_->started_ms : 0}, now);
  if (is_registered) {
    upstream_->state = upstream_lifecycle::gone;
    upstream_->last_contact = now;
  }
  return is_registered;
}

bool upstream_registry::on_leaving(const upstream_incarnation& upstream, time_point now) {
  const bool is_ready = upstream_ && upstream_->instance_id == upstream.instance_id &&
                        upstream_->started_ms == upstream.started_ms &&
                        upstream_->state == upstream_lifecycle::ready;
  if (is_ready) {
    upstream_->state = upstream_lifecycle::draining;
    set_departure(upstream, now);
  }
  return is_ready;
}

bool upstream_registry::restore_departure(const upstream_incarnation& departed, time_point now) {
  if (departed_) {
    return false;
  }
  set_departure(departed, now);
  const bool is_registered =
      upstream_ && upstream_->instance_id == departed.instance_id &&
      (departed.started_ms == 0 || upstream_->started_ms <= departed.started_ms);
  if (is_registered) {
    upstream_->state = upstream_lifecycle::gone;
  }
  return true;
}

bool upstream_registry::is_usable(time_point now) const {
  if (now < unusable_until_ || !upstream_ || upstream_->state != upstream_lifecycle::ready ||
      is_unreachable_) {
    return false;
  }
  return now - upstream_->last_contact < heartbeat_timeout ||
         now - last_response_ < response_timeout;
}

} // namespace arbutuslb::core::gateway
