// What is known of the upstream beside this daemon, from its heartbeats.
//
// Heartbeats come late, twice, out of order, and from incarnations that have ended. A start of the
// upstream is named by its instance id and its start time; within one start the sequence rises.
#pragma once

#include "arbutuslb/core/base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace arbutuslb::core::gateway {

enum class upstream_lifecycle : std::uint8_t { ready, draining, gone };

// One start of an upstream. `started_ms` is zero where it is not known.
struct upstream_incarnation {
  std::string instance_id;
  std::int64_t started_ms = 0; // since the epoch
};

struct heartbeat {
  std::string instance_id;
  std::int64_t started_ms = 0; // since the epoch; names the incarnation
  std::uint64_t sequence = 0;
  std::string service;
  std::string version;
  std::string address;
  int slots = 0; // requests that the upstream runs at once
  upstream_lifecycle state = upstream_lifecycle::ready;
  duration cold_for{}; // how long the upstream stays slow
};

enum class heartbeat_verdict : std::uint8_t {
  accepted,
  stale,           // of an earlier incarnation, or an earlier sequence
  already_leaving, // says ready after it said that it leaves
  foreign,         // of another address
};
const char* to_string(heartbeat_verdict value);

struct known_upstream {
  std::string instance_id;
  std::int64_t started_ms = 0;
  std::uint64_t sequence = 0;
  std::string service;
  std::string version;
  std::string address;
  int slots = 1;
  upstream_lifecycle state = upstream_lifecycle::ready;
  time_point cold_until{};
  time_point heard_at{};
};

class upstream_registry {
public:
  explicit upstream_registry(std::string own_address) : own_address_(std::move(own_address)) {}

  heartbeat_verdict on_heartbeat(const heartbeat& value, time_point now);
  // The upstream ends. Returns false if it is not the known one; the id is remembered all the same.
  bool on_deregistration(const std::string& instance_id, time_point now);
  // An earlier process of this daemon acknowledged that this upstream leaves.
  void restore_departure(const upstream_incarnation& departed, time_point now);
  // The upstream that last began to leave; nothing if none has.
  const std::optional<upstream_incarnation>& departed() const noexcept { return departed_; }
  // The upstream is not usable before `until`; a later call replaces the time.
  void close_until(time_point until) { closed_until_ = until; }
  // The upstream refuses connections: it is held to be down until its next heartbeat.
  void on_unreachable() { is_unreachable_ = true; }
  void on_response(time_point now) { last_response_ = now; }
  // The upstream may be cold without having said so, until its next heartbeat.
  void assume_cold(time_point until);

  const std::optional<known_upstream>& known() const noexcept { return known_; }
  // True if requests may be sent to it.
  bool is_usable(time_point now) const;
  bool is_cold(time_point now) const { return known_ && now < known_->cold_until; }

private:
  std::string own_address_;
  std::optional<known_upstream> known_;
  bool has_departed(const heartbeat& value, time_point now) const;
  void note_departure(upstream_incarnation departed, time_point now);

  std::optional<upstream_incarnation> departed_;
  time_point departed_at_{};
  time_point closed_until_{};
  time_point last_response_{};
  bool is_unreachable_ = false;
};

} // namespace arbutuslb::core::gateway
