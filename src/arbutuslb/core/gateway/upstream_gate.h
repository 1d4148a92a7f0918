// The only way to the upstream beside this daemon, and so what enforces its limits.
//
// The gate alone keeps, without agreement: the upstream's slots, the rate that it bears while cold,
// no new work once it leaves or its failure domain is withdrawn, and the identity of the process
// that is to run a request.
#pragma once

#include "arbutuslb/core/gateway/gateway_context.h"
#include "arbutuslb/core/gateway/rollout_conductor.h"
#include "arbutuslb/core/gateway/run_queue.h"

namespace arbutuslb::core::gateway {

// Not thread-safe.
class upstream_gate {
public:
  upstream_gate(gateway_context& shared, const rollout_conductor& rollouts);

  // Requests of peers, answered by `answer_peer`.
  void on_peer_request(const run_requested& request);
  void on_peer_left(std::uint64_t token);
  // Requests of this daemon's own callers, answered through `take_local_results`.
  void on_local_request(std::uint64_t attempt, run_request request);
  void cancel_local(std::uint64_t attempt);
  struct local_result {
    std::uint64_t attempt = 0;
    run_result result;
  };
  std::vector<local_result> take_local_results() { return std::exchange(local_results_, {}); }

  // Returns false if the sending is not the gate's.
  bool on_sending_ended(const attempt_completed& end);
  void on_heartbeat(const heartbeat_received& value);
  void on_deregistration(const deregistration_received& value);
  void on_departure_recorded(const departure_recorded& value);
  // Orders have changed.
  void on_operator_records();
  void on_tick();

  bool is_idle() const { return runs_.empty(); }
  // Fills in what concerns the upstream.
  void describe(peer_report& report);
  // The evidence of the running rollout of the own service; nothing if none runs.
  std::optional<protocol::evidence_report> rollout_evidence();

private:
  struct run {
    bool is_local = false;
    std::uint64_t reply_token = 0; // of the peer's request, or the local sending
    run_request request;
    std::uint64_t attempt = 0; // 0 while it waits
    time_point arrived{};
    time_point started{};
    bool is_abandoned = false; // nobody waits for the answer
  };

  void accept(bool is_local, std::uint64_t reply_token, run_request request);
  std::string refusal_reason(const run_request& request) const;
  time_point latest_start(const run_request& request) const;
  void start(std::uint64_t token);
  void start_waiting();
  void reply(const run& ended, run_result result);
  void refuse(const run& refused, const std::string& reason, duration retry_after);
  void refuse_waiting(const std::string& reason);
  void abandon(bool is_local, std::uint64_t reply_token);
  // Acknowledges the heartbeat once the departure outlives this process.
  void acknowledge_departure(std::uint64_t token);
  void pursue_departure();
  void release_acknowledgements(const std::string& reason);
  void note_end(const run& ended, const attempt_completed& end);
  void update_limits();
  // Requests a second that the upstream bears while it is cold; zero if it is not cold.
  double cold_rate() const;
  duration route_mean(const std::string& route) const;

  gateway_context& shared_;
  const rollout_conductor& rollouts_;
  run_queue queue_;
  std::map<std::uint64_t, run> runs_; // by token
  std::map<std::uint64_t, std::uint64_t> tokens_by_attempt_;
  std::map<std::uint64_t, std::uint64_t> tokens_by_peer_;  // by the peer's token
  std::map<std::uint64_t, std::uint64_t> tokens_by_local_; // by the local sending
  std::vector<local_result> local_results_;
  std::map<std::string, double> route_means_; // microseconds
  // The departure of the upstream that is being made durable.
  std::vector<std::uint64_t> departure_tokens_; // heartbeats that wait for it
  time_point departure_since_{};
  time_point next_departure_record_{};
  bool is_recording_departure_ = false;
  bool is_departure_recorded_ = false;
  double failed_share_ = 0;
  bool was_withdrawn_ = false;
  // Evidence of the running rollout.
  std::uint64_t evidence_id_ = 0;
  moves::evidence_counter evidence_;
  double mean_in_flight_ = 0;
};

} // namespace arbutuslb::core::gateway
