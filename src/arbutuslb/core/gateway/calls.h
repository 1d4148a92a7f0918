// Value types for a request that daemons forward, and for its result.
#pragma once

#include "arbutuslb/core/base/http_message.h"
#include "arbutuslb/core/base/time.h"
#include "arbutuslb/core/calls/poison_registry.h"

#include <cstdint>
#include <optional>
#include <string>

namespace arbutuslb::core::gateway {

// A request as received from a caller. `message` is forwarded unchanged; its headers exclude
// hop-by-hop headers, the caller's credential and headers that the daemons set themselves.
struct call {
  std::string attempt_id; // set by the caller, unique for each of its attempts
  std::string host;
  http_request message;
  duration time_left{}; // until the caller's deadline; zero if the caller stated none
  // Key of an organisation that the caller presented; empty if none. Never leaves the daemon that
  // received the request.
  std::string credential;
};

// A request that a daemon sends to the daemon of the chosen upstream.
struct run_request {
  call content;
  std::string instance_id;    // the chosen upstream
  std::string caller_service; // service of the instance that received the request
  std::string organisation;   // of the caller, as found by its key; empty if none
  std::string route;
  int rank = 0; // priority, 0 is the most urgent
  bool is_idempotent = false;
  duration time_left{};            // until the deadline of the request
  duration target_time_left{};     // until the route's target latency has passed
  int rollout_share_permille = -1; // share of the rollout when the version was chosen; -1: none
  bool is_retry = false;           // an earlier attempt may have reached an upstream
  // Limit that the upstream stated in the newest answer that the sender has received from it.
  std::optional<double> stated_rate_limit;
  // What the sender knows of the request; without a fingerprint if it is no suspect.
  calls::suspicion suspicion;
};

enum class run_outcome : std::uint8_t {
  answered,     // with a complete answer of the upstream
  not_executed, // sent to no upstream, or refused by the upstream without being read
  unknown       // may have been executed
};

// What an upstream states about itself in an answer.
struct upstream_notice {
  // Requests per second that the upstream takes from all daemons together.
  std::optional<double> rate_limit;
  bool is_leaving = false;
  friend bool operator==(const upstream_notice&, const upstream_notice&) = default;
};

struct run_result {
  run_outcome outcome = run_outcome::unknown;
  http_response answer;          // set if `answered`
  std::string reason;            // set for the other outcomes
  bool reached_upstream = false; // an upstream received the request, and may have refused it
  duration retry_after{}; // for `not_executed`: time until capacity is expected; zero if unknown
  int in_flight = -1;     // requests in flight at the upstream; -1 if unknown
  int waiting = 0;        // requests queued for the upstream
  // Set if the upstream has answered or refused the request.
  std::optional<upstream_notice> notice;
  // What the gate knows of the request; without a fingerprint if it is no suspect.
  calls::suspicion suspicion;
  // A suspect was refused because a copy of it, or another isolated suspect, was still in
  // execution. It must not be sent to another gate.
  bool is_behind_suspect = false;
};

} // namespace arbutuslb::core::gateway
