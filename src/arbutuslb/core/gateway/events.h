// The input and the output of `gateway_core::handle`.
#pragma once

#include "arbutuslb/core/engine/actions.h"
#include "arbutuslb/core/gateway/calls.h"
#include "arbutuslb/core/gateway/operator_state.h"
#include "arbutuslb/core/gateway/peer_report.h"
#include "arbutuslb/core/gateway/upstream_registry.h"

#include <optional>
#include <variant>
#include <vector>

namespace arbutuslb::core::gateway {

// --- events ---

// Time has passed. Expected about every `tick_period`.
struct tick {};
inline constexpr std::chrono::milliseconds tick_period{20};

// A caller's request was read whole. Answered by one `answer_caller`.
struct call_received {
  std::uint64_t token = 0;
  call content;
};
// The caller has left; its request is no longer answered.
struct caller_disconnected {
  std::uint64_t token = 0;
};
// A peer sent a request for the upstream beside this daemon. Answered by one `answer_peer`.
struct run_requested {
  std::uint64_t token = 0;
  run_request content;
};
struct peer_disconnected {
  std::uint64_t token = 0;
};
// The end of what `send_to_peer` or `send_to_upstream` began.
struct attempt_completed {
  std::uint64_t attempt = 0;
  run_result result;
  bool is_unreachable = false; // no connection came about
};
struct heartbeat_received {
  std::uint64_t token = 0;
  heartbeat content;
};
struct deregistration_received {
  std::uint64_t token = 0;
  std::string instance_id;
};
// Operators' records, in order of their offsets. `end_offset`: of the log when they were read.
struct operator_records_received {
  std::vector<operator_record> records;
  std::uint64_t end_offset = 0;
  bool is_complete = false; // holds the newest record of every key
};
// Reports that came in one datagram from `from`; they may be of other daemons.
struct reports_received {
  std::string from; // address of the sender
  std::vector<aged_report> reports;
};
// The store answered, or did not, when it was asked.
struct store_reachability_changed {
  bool is_store_reachable = false;
};
// Daemons that registered themselves in the store; the own address may be among them.
struct peers_discovered {
  std::vector<std::string> hosts;
  // The upstream beside this daemon that last left, as this daemon recorded it.
  std::optional<upstream_incarnation> departed;
};
// The end of `record_departure`.
struct departure_recorded {
  upstream_incarnation departed;
  bool is_recorded = false;
};
// What the store holds of the outcomes of rollouts.
struct outcomes_read {
  struct outcome {
    std::string service;
    std::string target_version;
    rollout_phase phase = rollout_phase::running;
  };
  std::vector<outcome> outcomes;
  std::uint64_t end_offset = 0;
};
// The end of `record_outcome`.
struct outcome_recorded {
  std::string service;
  bool is_recorded = false; // false: refused, conflicting or unknown; the outcomes are read again
};
struct stop_requested {};

using event = std::variant<tick, call_received, caller_disconnected, run_requested,
                           peer_disconnected, attempt_completed, heartbeat_received,
                           deregistration_received, operator_records_received, reports_received,
                           store_reachability_changed, peers_discovered, departure_recorded,
                           outcomes_read, outcome_recorded, stop_requested>;

// --- actions ---

struct answer_caller {
  std::uint64_t token = 0;
  http_response answer;
};
struct answer_peer {
  std::uint64_t token = 0;
  run_result result;
};
// Sends a request to the daemon at `host`. Answered by one `attempt_completed`.
struct send_to_peer {
  std::uint64_t attempt = 0;
  std::string host;
  run_request request;
};
// Sends a request to the upstream beside this daemon. Answered by one `attempt_completed`.
struct send_to_upstream {
  std::uint64_t attempt = 0;
  std::string address;
  run_request request;
};
// Breaks the sending off. No `attempt_completed` follows.
struct cancel_attempt {
  std::uint64_t attempt = 0;
};
struct acknowledge_heartbeat {
  std::uint64_t token = 0;
  bool is_accepted = false;
  std::string reason;
};
struct send_reports {
  std::string host;
  std::vector<aged_report> reports;
};
// Begins or ends reading the operators' log as it grows.
struct follow_operator_log {
  bool is_enabled = false;
};
// Reads the operators' records that this daemon lacks from a peer.
struct fetch_operator_records {
  std::string host;
  std::uint64_t from_offset = 0;
};
// Registers this daemon in the store and reads who else is there.
struct discover_peers {};
// Writes durably that the upstream beside this daemon leaves. Answered by one `departure_recorded`.
struct record_departure {
  upstream_incarnation departed;
};
struct read_outcomes {};
// Writes what became of a rollout, if nothing was written since `expected_end`.
struct record_outcome {
  std::string service;
  std::string target_version;
  rollout_phase phase = rollout_phase::running;
  std::uint64_t expected_end = 0;
};
struct exit_process {};

using action =
    std::variant<answer_caller, answer_peer, send_to_peer, send_to_upstream, cancel_attempt,
                 acknowledge_heartbeat, send_reports, follow_operator_log, fetch_operator_records,
                 discover_peers, record_departure, read_outcomes, record_outcome,
                 engine::write_event, exit_process>;

} // namespace arbutuslb::core::gateway
