// Tracks the state of the local upstream from its heartbeats.
//
// Heartbeats may be late, duplicated, reordered, or sent by an earlier incarnation. An incarnation
// of the upstream is identified by its instance id and start time; its sequence number increases.
#pragma once

#include "arbutuslb/core/base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace arbutuslb::core::gateway {

enum class upstream_lifecycle : std::uint8_t { ready, draining, gone };

// One incarnation of an upstream.
struct upstream_incarnation {
  std::string instance_id;
  std::int64_t started_ms = 0; // since the Unix epoch; zero if unknown
  friend bool operator==(const upstream_incarnation&, const upstream_incarnation&) = default;
};

struct heartbeat {
  std::string instance_id;
  std::int64_t started_ms = 0; // since the Unix epoch; identifies the incarnation
  std::uint64_t sequence = 0;
  std::string service;
  std::string domain; // failure domain
  std::string version;
  std::string address;
  int slots = 0; // maximum number of concurrent requests
  upstream_lifecycle state = upstream_lifecycle::ready;
  duration cold_for{}; // remaining time for which the upstream is cold; zero if warm
};

enum class heartbeat_verdict : std::uint8_t {
  accepted,
  stale,           // from an earlier incarnation, or without a higher sequence number
  already_leaving, // reports ready after the incarnation has started to depart
  foreign,         // from another address or failure domain than the local upstream's
  other_service,   // of another service than the local upstream's
  contradictory    // another version than the same incarnation has reported
};
const char* to_string(heartbeat_verdict value);

// What the settings say of the upstream beside this daemon. It holds for every incarnation.
struct local_upstream {
  std::string address; // HOST:PORT
  std::string service;
  std::string domain;
};

struct registered_upstream {
  std::string instance_id;
  std::int64_t started_ms = 0;
  std::uint64_t sequence = 0;
  std::string version;
  std::string address;
  int slots = 1;
  upstream_lifecycle state = upstream_lifecycle::ready;
  time_point cold_until{};
  time_point last_contact{};
};

class upstream_registry {
public:
  explicit upstream_registry(local_upstream local) : local_(std::move(local)) {}

  // A heartbeat that contradicts the settings is from another writer and changes nothing.
  heartbeat_verdict on_heartbeat(const heartbeat& value, time_point now);
  // The upstream deregisters; `departed` returns it from then on. Returns false if it is not the
  // registered one.
  bool on_deregistration(const std::string& instance_id, time_point now);
  // An answer of this incarnation says that it leaves. Returns false if it is not the registered
  // one or its departure is known already.
  bool on_leaving(const upstream_incarnation& upstream, time_point now);
  // Restores a departure that an earlier process of this daemon has recorded. Has no effect if this
  // process has already recorded or restored one; returns false then.
  bool restore_departure(const upstream_incarnation& departed, time_point now);
  // Returns the upstream that departed last; nothing if none has.
  const std::optional<upstream_incarnation>& departed() const noexcept { return departed_; }
  // Makes the upstream unusable until `until`; a later call replaces the time.
  void set_unusable_until(time_point until) { unusable_until_ = until; }
  // The upstream refuses connections: it is treated as down until its next heartbeat.
  void on_unreachable() { is_unreachable_ = true; }
  // The upstream has answered a request: for a time, it is not treated as down without heartbeats.
  void on_response(time_point now) { last_response_ = now; }
  // Treats the upstream as cold until `until`, whatever its heartbeats report: they may have been
  // sent before.
  void assume_cold(time_point until) { assumed_cold_until_ = until; }

  // Returns the upstream of the last accepted heartbeat; nothing before the first.
  const std::optional<registered_upstream>& upstream() const noexcept { return upstream_; }
  // Returns true if requests may be sent to the upstream.
  bool is_usable(time_point now) const;
  bool is_cold(time_point now) const {
    return upstream_ && (now < upstream_->cold_until || now < assumed_cold_until_);
  }

private:
  local_upstream local_;
  std::optional<registered_upstream> upstream_;
  // Returns the time until which the sender of the heartbeat is treated as cold.
  time_point cold_end(const heartbeat& value, time_point now) const;
  // Returns true if the heartbeat is from the departed incarnation or an earlier one.
  bool has_departed(const heartbeat& value, time_point now) const;
  void set_departure(upstream_incarnation departed, time_point now);

  std::optional<upstream_incarnation> departed_;
  time_point departed_at_{};
  time_point unusable_until_{};
  time_point assumed_cold_until_{};
  time_point last_response_{};
  bool is_unreachable_ = false;
};

} // namespace arbutuslb::core::gateway
