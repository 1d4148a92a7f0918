// What a daemon tells its peers about itself and its upstream, as one datagram.
//
// A report replaces every earlier one of the same process, so reports may be lost, repeated or
// reordered.
#pragma once

#include "arbutuslb/core/base/ids.h"
#include "arbutuslb/core/base/time.h"
#include "arbutuslb/core/protocol/messages.h"

#include <string>
#include <vector>

namespace arbutuslb::core::gateway {

// The mean time that the upstream takes for the requests of one route.
struct route_latency {
  std::uint32_t route_hash = 0;
  duration mean{};
  friend bool operator==(const route_latency&, const route_latency&) = default;
};

enum class rollout_phase : std::uint8_t { running, rolled_back, completed };

// How far a rollout is, as its sender knows. Of two the one with the later phase, then the higher
// share, is in force, so merging needs no order.
struct rollout_progress {
  std::uint64_t id = 0;
  int share_permille = 0;
  rollout_phase phase = rollout_phase::running;
  friend bool operator==(const rollout_progress&, const rollout_progress&) = default;
};

struct peer_report {
  std::string name; // of the instance
  std::string host; // the address at which the peer is reached
  std::string domain;
  std::uint64_t process_epoch = 0; // start of the process, microseconds since the epoch
  std::uint64_t sequence = 0;
  bool is_stopping = false;
  bool reply_requested = false; // the sender has just started and asks for the receiver's report
  std::string service;
  std::string instance_id;
  std::string version;
  std::int64_t upstream_started_ms = 0;
  bool is_usable = false; // the upstream takes requests
  int limit = 0;          // requests at once
  int in_flight = 0;
  int waiting = 0;
  int failed_permille = 0; // of the upstream's last answers
  double cold_rate = 0;    // requests a second; zero if warm
  duration mean_latency{};
  std::vector<route_latency> routes;
  std::uint64_t operator_log_end =
      0;                          // offset after the last operators' record that the sender holds
  bool is_store_reachable = true; // the store answered when it was last asked
  int capacity_weight = 0;        // what the instance can carry, against the weakest; for duties
  std::vector<rollout_progress> rollouts;
  std::vector<protocol::evidence_report> evidence;
};

// A report with the time since it was heard; zero for the sender's own.
struct aged_report {
  peer_report content;
  duration age{};
};

} // namespace arbutuslb::core::gateway
