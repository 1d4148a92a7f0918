// Events that `gateway_core::handle` takes, and actions that it returns.
#pragma once

#include "arbutuslb/core/duties/usage_duty.h"
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

// Advances the time. Expected about every `tick_period`.
struct tick {
  // Time for which the process has been suspended since its start; the clock of the core does not
  // count it.
  duration suspended{};
};
inline constexpr std::chrono::milliseconds tick_period{20};

// A caller's request has been read completely. Answered by one `answer_caller`.
struct call_received {
  std::uint64_t token = 0;
  call content;
};
// The caller has disconnected; its request is not answered.
struct caller_disconnected {
  std::uint64_t token = 0;
};
// A peer has sent a request for the local upstream. Answered by one `answer_peer`.
struct run_requested {
  std::uint64_t token = 0;
  run_request content;
};
// The peer has cancelled its request or disconnected; the request is not answered.
struct peer_disconnected {
  std::uint64_t token = 0;
};
// The request of an attempt that `send_to_upstream` started has been written to its connection.
// Precedes `attempt_completed`, or does not occur.
struct attempt_written {
  std::uint64_t attempt = 0;
};
// Completes an attempt that `send_to_peer` or `send_to_upstream` started.
struct attempt_completed {
  std::uint64_t attempt = 0;
  run_result result;
  bool is_unreachable = false; // no connection could be established
  bool is_silent = false;      // no answer came in time; the connection did not break
  bool is_broken = false;      // the upstream's connection broke before its answer was complete
};
enum class probe_outcome : std::uint8_t {
  reachable,
  refused, // no process listens at the upstream's address
  unknown
};
// Completes `probe_upstream`.
struct upstream_probed {
  probe_outcome outcome = probe_outcome::unknown;
};
struct heartbeat_received {
  std::uint64_t token = 0;
  heartbeat content;
};
struct deregistration_received {
  std::uint64_t token = 0;
  std::string instance_id;
};
// Operator records in order of their positions.
struct operator_records_received {
  std::vector<operator_record> records;
  log_position end;         // of the operators' log when the records were read
  bool is_complete = false; // the records include the newest one of every key
};
// Reports received in one datagram; they may describe other daemons than the sender.
struct reports_received {
  std::string from; // address of the sending daemon
  report_bundle content;
};
// The result of the last request to the store: whether the store answered.
struct store_reachability_changed {
  bool is_store_reachable = false;
};
// Daemons registered in the store. The list may include this daemon.
struct peers_discovered {
  std::vector<std::string> hosts;
  // The local upstream that departed last, as recorded by this daemon; empty if none is recorded.
  std::optional<upstream_incarnation> departed;
  std::uint64_t era = 0;                    // of the store when it was read
  std::vector<calls::suspicion> suspicions; // recorded by all daemons
};
// Completes `record_departure`.
struct departure_recorded {
  upstream_incarnation departed;
  bool is_recorded = false;
  std::uint64_t era = 0; // of the store when it accepted the record
};
// Completes `record_suspicions`.
struct suspicions_recorded {
  bool is_recorded = false;
  std::uint64_t era = 0; // of the store when it accepted the record
};
// The outcomes of rollouts that are recorded in the store.
struct outcomes_read {
  struct outcome {
    std::string service;
    std::string target_version;
    rollout_phase phase = rollout_phase::running;
  };
  std::vector<outcome> outcomes;
  log_position end; // of the outcomes' log when they were read
};
// Completes `record_outcome`.
struct outcome_recorded {
  std::string service;
  // False if the store refused the record, found a conflict, or did not answer; the outcomes are
  // then read again.
  bool is_recorded = false;
  std::uint64_t era = 0; // of the store when it accepted the record
};
// Completes `duties::read_usage_log`; without a state if the log could not be read.
struct usage_log_read {
  std::optional<duties::usage_log_state> state;
  duration suspended{}; // as in `tick`
};
// Completes `duties::append_usage_record`.
struct usage_appended {
  duties::append_outcome outcome = duties::append_outcome::unknown;
  std::uint64_t era = 0; // of the store when it answered
  duration suspended{};  // as in `tick`
};
// Completes `duties::post_usage`.
struct usage_posted {
  duties::post_outcome outcome = duties::post_outcome::unknown;
};
struct stop_requested {};

// After `stop_reading_callers`, every request that had begun to arrive has been received.
struct callers_drained {};

using event =
    std::variant<tick, call_received, caller_disconnected, run_requested, peer_disconnected,
                 attempt_written, attempt_completed, upstream_probed, heartbeat_received,
                 deregistration_received, operator_records_received, reports_received,
                 store_reachability_changed, peers_discovered, departure_recorded,
                 suspicions_recorded, outcomes_read, outcome_recorded, usage_log_read,
                 usage_appended, usage_posted, stop_requested, callers_drained>;

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
// Sends a request to the local upstream. Answered by one `attempt_completed`.
struct send_to_upstream {
  std::uint64_t attempt = 0;
  std::string address;
  run_request request;
};
// Tries to connect to the local upstream. Answered by one `upstream_probed`.
struct probe_upstream {};
// Cancels an attempt. No `attempt_completed` follows.
struct cancel_attempt {
  std::uint64_t attempt = 0;
};
// Answers a heartbeat or a deregistration.
struct acknowledge_heartbeat {
  std::uint64_t token = 0;
  bool is_accepted = false; // false only for a heartbeat from a foreign address
  std::string reason;
};
struct send_reports {
  std::string host;
  report_bundle content;
};
// Starts or stops following the operators' log.
struct follow_operator_log {
  bool is_enabled = false;
  duration poll_wait{}; // time that a read waits for a record
};
// Fetches the operator records from `from` on from a peer.
struct fetch_operator_records {
  std::string host;
  log_position from;
};
// Registers this daemon in the store, unless that has succeeded in this era of the store, and reads
// the list of registered daemons.
struct discover_peers {
  std::uint64_t era = 0;
};
// Records durably that the local upstream departs. Answered by one `departure_recorded`.
struct record_departure {
  upstream_incarnation departed;
};
// Records durably which requests were in execution when upstreams died. Replaces the earlier record
// of this daemon. Answered by one `suspicions_recorded`.
struct record_suspicions {
  std::vector<calls::suspicion> suspicions;
};
// Reads the outcomes of rollouts from the store. Answered by one `outcomes_read`.
struct read_outcomes {};
// Records the outcome of a rollout, if the outcomes' log still ends at the offset of
// `expected_end`. Answered by one `outcome_recorded`.
struct record_outcome {
  std::string service;
  std::string target_version;
  rollout_phase phase = rollout_phase::running;
  log_position expected_end;
};
// Reads no further requests of callers, except those that have begun to arrive, and those on
// connections that are owed an answer. `callers_drained` follows when none is arriving.
struct stop_reading_callers {};
// Exits once every answer has been written, at the latest at `exits_by`.
struct exit_process {
  time_point exits_by{};
};

using action =
    std::variant<answer_caller, answer_peer, send_to_peer, send_to_upstream, probe_upstream,
                 cancel_attempt, acknowledge_heartbeat, send_reports, follow_operator_log,
                 fetch_operator_records, discover_peers, record_departure, record_suspicions,
                 read_outcomes, record_outcome, duties::read_usage_log, duties::append_usage_record,
                 duties::post_usage, engine::write_event, stop_reading_callers, exit_process>;

} // namespace arbutuslb::core::gateway
