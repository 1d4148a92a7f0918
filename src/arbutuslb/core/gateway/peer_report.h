// The state of a daemon and its upstream, sent to peers in a datagram.
//
// A report replaces all earlier reports of the same process, so reports may be lost, duplicated or
// reordered.
#pragma once

#include "arbutuslb/core/base/ids.h"
#include "arbutuslb/core/base/time.h"
#include "arbutuslb/core/calls/poison_registry.h"
#include "arbutuslb/core/duties/usage_ledger.h"
#include "arbutuslb/core/gateway/log_position.h"
#include "arbutuslb/core/protocol/messages.h"

#include <optional>
#include <string>
#include <vector>

namespace arbutuslb::core::gateway {

// The mean latency of an upstream for the requests of one route.
struct route_latency {
  std::uint32_t route_hash = 0; // hash of the route's name
  duration mean{};
  friend bool operator==(const route_latency&, const route_latency&) = default;
};

enum class rollout_phase : std::uint8_t { running, rolled_back, completed };

// The progress of a rollout as known by the sender. Reports can be merged in any order: the share
// and the phase by maximum, except that a phase that is in the store overrides one that is not, or
// that was in an earlier era.
struct rollout_progress {
  std::uint64_t id = 0;   // derived from the position of the operator record
  int share_permille = 0; // share of the requests that are sent to the new version
  rollout_phase phase = rollout_phase::running;
  std::optional<std::uint64_t> recorded_era; // era of the store in which the phase is recorded
  duration age{};                            // since a daemon first read the order

  // The age, which always rises, does not make two states different.
  friend bool operator==(const rollout_progress& one, const rollout_progress& other) {
    return one.id == other.id && one.share_permille == other.share_permille &&
           one.phase == other.phase && one.recorded_era == other.recorded_era;
  }
};

struct peer_report {
  std::string name; // name of the instance
  std::string host; // address of the daemon
  std::string domain;
  std::uint64_t process_epoch = 0; // start of the daemon in microseconds since the Unix epoch
  std::uint64_t sequence = 0;      // increases with each report of the process
  bool is_stopping = false;
  bool reply_requested = false; // the sender has discovered the receiver and requests its report
  std::string service;          // service, instance id and version of the upstream
  std::string instance_id;
  std::string version;
  std::string settled_version;          // of the service, as known by the sender; empty if unknown
  std::int64_t upstream_started_ms = 0; // since the Unix epoch
  bool is_usable = false;               // the upstream accepts requests
  int limit = 0;                        // maximum number of concurrent requests
  int in_flight = 0;
  int waiting = 0;         // requests queued for a slot
  int failed_permille = 0; // share of recent requests that failed
  double rate_limit = 0;   // of the upstream, in requests per second; zero if there is none
  duration mean_latency{};
  std::vector<route_latency> routes;
  // Position after the newest operator record; zero if the sender has no configuration.
  log_position operator_log_end;
  bool is_store_reachable = true; // the store answered the last request, or is due for a retry
  int capacity_weight = 0;        // capacity relative to the weakest instance; used to assign roles
  std::vector<rollout_progress> rollouts;
  std::vector<protocol::evidence_report> evidence;
  std::vector<calls::suspicion> suspicions; // that the sender knows (crash_containment.h)
  // Time of day at the sender when it sent the report, as its own clock has it; zero if not stated.
  time_point clock{};
};

// A report, and the time since the sending daemon received it; zero if it describes that daemon
// itself.
struct aged_report {
  peer_report content;
  duration age{};
};

// States that a daemon was in contact `age` ago, without repeating its report.
struct peer_presence {
  std::string host;
  duration age{};
};

// The content of one datagram.
struct report_bundle {
  std::vector<aged_report> reports;
  std::vector<peer_presence> presences;
  std::vector<duties::usage_report> usage = {}; // counters of the sender
};

} // namespace arbutuslb::core::gateway
