// Final admission control for the local upstream: every request to it passes through the gate.
//
// The gate enforces these rules without agreement with other daemons:
// - The upstream has at most as many requests in flight as it has slots, or fewer if it has fallen
//   silent beside that many (slot_limit.h).
// - A cold upstream receives requests at no more than its rate limit, and one that states a limit
//   in its answers at no more than that.
// - A request is accepted only if the upstream is the instance that the request was sent to.
// - A request that has crashed upstreams runs alone among its kind, or is refused
//   (crash_containment.h).
// - No request is accepted without a configuration, while the daemon is stopping, after the
//   upstream has started to depart, while its failure domain is withdrawn, or after its version was
//   rolled back.
#pragma once

#include "arbutuslb/core/gateway/gateway_context.h"
#include "arbutuslb/core/gateway/rollout_conductor.h"
#include "arbutuslb/core/gateway/rollout_evidence.h"
#include "arbutuslb/core/gateway/run_queue.h"
#include "arbutuslb/core/gateway/slot_limit.h"
#include "arbutuslb/core/gateway/stated_rate_limit.h"

namespace arbutuslb::core::gateway {

// Not thread-safe.
class upstream_gate {
public:
  upstream_gate(gateway_context& shared, const rollout_conductor& rollouts);

  // Requests of peers, answered by `answer_peer`.
  void on_peer_request(const run_requested& request);
  void on_peer_disconnected(std::uint64_t token);
  // Requests of local callers, answered through `take_local_results`.
  void on_local_request(std::uint64_t attempt, run_request request);
  void cancel_local(std::uint64_t attempt);
  struct local_result {
    std::uint64_t attempt = 0;
    run_result result;
  };
  std::vector<local_result> take_local_results() { return std::exchange(local_results_, {}); }

  void on_attempt_written(const attempt_written& written);
  // Returns false if the attempt does not belong to the gate.
  bool on_attempt_completed(const attempt_completed& end);
  void on_upstream_probed(const upstream_probed& value);
  void on_heartbeat(const heartbeat_received& value);
  void on_deregistration(const deregistration_received& value);
  void on_departure_recorded(const departure_recorded& value);
  // The registry has taken over the departure that an earlier process recorded.
  void on_departure_restored(std::uint64_t era);
  // The operator records have changed.
  void on_operator_records();
  void on_tick();

  bool is_idle() const { return executions_.empty() && interrupted_.empty(); }
  // Returns true if the upstream has announced its departure and waits for the acknowledgement.
  bool owes_acknowledgement() const { return !departure_tokens_.empty(); }
  // Answers all requests of peers: those that wait as not executed, the others as unknown.
  void end_all(const std::string& reason);
  // Sets the fields of the report that describe the upstream.
  void describe(peer_report& report);
  // Returns the evidence for the running rollout of the local service; nothing if none is running.
  std::optional<protocol::evidence_report> report_evidence();
  // Returns true if the evidence shows faults that were not there at the last call.
  bool take_has_evidence_of_faults() { return evidence_.take_has_faults(); }

private:
  // A queued or running request.
  struct execution {
    bool is_local = false;
    std::uint64_t reply_token = 0; // token of the peer's request, or the local attempt
    run_request request;
    std::uint64_t attempt = 0;            // attempt at the upstream; 0 while queued
    std::int64_t upstream_started_ms = 0; // incarnation of the upstream that it was sent to
    time_point received_at{};
    time_point started{};
    time_point start_by{};      // latest useful start
    calls::suspicion suspicion; // as known when it was started
    upstream_incarnation upstream() const { return {request.instance_id, upstream_started_ms}; }
    duration counted_late_at{};     // elapsed time at which it was counted as late; zero: never
    bool is_counted = false;        // as usage
    bool is_abandoned = false;      // the requester has disconnected; the result is not sent
    bool is_behind_suspect = false; // in `held_suspects_`
  };

  // Starts, queues or refuses the request.
  void accept(bool is_local, std::uint64_t reply_token, run_request request);
  // Returns why the request cannot be accepted; empty if it can.
  std::string refusal_reason(const run_request& request) const;
  // Returns why the upstream must not execute the request; empty if it may. May change while the
  // request waits.
  std::string mismatch_reason(const run_request& request) const;
  time_point latest_start(const run_request& request) const;
  void start(std::uint64_t token);
  void start_queued();
  void reply(const execution& ended, run_result result);
  void refuse(const execution& refused, const std::string& reason, duration retry_after);
  void refuse_queued(const std::string& reason);
  void abandon(bool is_local, std::uint64_t reply_token);
  // Acknowledges a heartbeat or deregistration that announces a departure: once the departure is
  // recorded durably, so that the next process of this daemon reads it, or after a timeout.
  void acknowledge_after_recording(std::uint64_t token);
  // Starts to record the departure, or acknowledges it, whichever is due.
  void advance_departure();
  // Returns false if the departure was recorded in an earlier era only: the store may have lost it.
  bool is_departure_recorded() const;
  void send_acknowledgements(const std::string& reason);
  // Counts the execution as usage of its organisation, once.
  void count_usage(execution& value);
  // Counts executions that the upstream would have refused by now.
  void count_running_usage();
  void record_completion(execution& ended, const attempt_completed& end);
  // Counts an execution that has ended as evidence for the running rollout.
  void record_evidence(const execution& ended, execution_end end);
  // Counts the executions that have become late.
  void record_late_executions();
  execution_sample sample_of(const execution& value) const;
  // Logs an execution without an answer while a rollout is running.
  void log_unanswered(const execution& ended, const std::string& reason);
  // Takes over the limit or the departure that the upstream states.
  void record_notice(const execution& ended, const upstream_notice& notice);
  // Takes note of a request that the upstream has not answered.
  void record_silence(const execution& ended);
  // Keeps a request whose connection broke until it is known whether the upstream has died.
  void hold_interrupted(execution ended, run_result result);
  // Finds out whether the upstream still accepts connections.
  void probe();
  bool has_unfinished() const;
  // Attributes the death of an upstream to the requests that it was executing.
  void on_upstream_died(const upstream_incarnation& died);
  // The upstream may go on with the execution, or may have died with it.
  void remember_unfinished(execution item);
  // Returns what this daemon or the sender of the request knows of it.
  calls::suspicion suspicion_of(const run_request& request);
  // Sets the fingerprint of the execution's request.
  static void identify(execution& item);
  // Clears the suspicion of a request that the upstream has answered.
  void clear_suspicion(const execution& answered);
  // Submits the request to the queue: starts, queues or refuses it.
  void submit(std::uint64_t token);
  // Removes a request that is not running, and refuses it.
  void withdraw(std::uint64_t token, const std::string& reason, duration retry_after);
  // Removes a request that is not running.
  void forget_execution(std::uint64_t token);
  // Keeps a suspect out of the queue until it may be executed.
  void hold_suspect(std::uint64_t token);
  // Returns true if the upstream is executing another copy of this suspect.
  bool is_copy_running(std::uint64_t token) const;
  // Returns true if the request is a suspect that may not be executed beside those that are
  // running.
  bool must_wait(std::uint64_t token);
  // Submits the held suspects that need not wait any more.
  void start_suspects();
  void update_limits();
  // Returns the rate limit that follows from the cold time of the upstream, in requests per second;
  // zero if there is none, because the upstream is not cold or its service is not configured.
  double cold_rate() const;
  // Returns the lower of the cold rate and the limit that the upstream states; zero if there is
  // neither.
  double rate_limit() const;
  duration route_mean(const std::string& route) const;

  gateway_context& shared_;
  const rollout_conductor& rollouts_;
  run_queue queue_;
  slot_limit limit_;
  stated_rate_limit stated_limit_;
  std::map<std::uint64_t, execution> executions_; // by token
  std::map<std::uint64_t, std::uint64_t> tokens_by_attempt_;
  std::map<std::uint64_t, std::uint64_t> tokens_by_peer_;  // by the token of the peer's request
  std::map<std::uint64_t, std::uint64_t> tokens_by_local_; // by the local attempt
  std::vector<local_result> local_results_;
  struct interruption {
    execution ended;
    run_result result;
  };
  std::vector<interruption> interrupted_; // until the probe of the upstream is over
  bool is_probing_ = false;
  std::optional<upstream_incarnation> died_; // the upstream that was last found dead
  // Executions that were cancelled or interrupted a short time ago.
  struct unfinished_execution {
    execution content;
    time_point since{};
  };
  std::deque<unfinished_execution> unfinished_; // oldest first
  std::optional<std::uint64_t> isolated_token_; // isolated suspect that is queued or running
  std::vector<std::uint64_t> held_suspects_;    // tokens, in order of arrival
  std::map<std::string, double> route_means_;   // mean latency in microseconds, by route
  // The departure of the upstream that is being recorded.
  std::vector<std::uint64_t> departure_tokens_; // heartbeats and deregistrations to acknowledge
  time_point departure_started_{};
  time_point next_departure_record_{};
  // Delay before a departure is submitted again; it doubles with each refusal in a row.
  static constexpr std::chrono::milliseconds first_departure_retry_delay{200};
  duration departure_retry_delay_ = first_departure_retry_delay;
  bool is_recording_departure_ = false;
  std::optional<std::uint64_t> departure_era_; // era of the store that has the departure
  upstream_notice last_notice_;                // in the newest answer of the upstream
  double failed_share_ = 0;                    // moving average of failed requests, 0 to 1
  bool was_withdrawn_ = false;
  // Evidence for the running rollout.
  rollout_evidence evidence_;
  double mean_in_flight_ = 0;
};

} // namespace arbutuslb::core::gateway
