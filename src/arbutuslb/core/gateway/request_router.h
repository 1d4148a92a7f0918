// Handles requests of local callers: matches a route, selects an upstream, sends the request,
// retries it where allowed, and answers the caller.
//
// A request that is not idempotent is executed at most once: it is retried only after a daemon or
// an upstream has confirmed that it was not executed. A 503 that the router generates guarantees
// that the request was not executed. If a retry brings no answer, the caller receives the answer
// that the retry was to improve on. An unknown outcome is answered with 502, or with 504 after the
// deadline.
//
// An idempotent request whose attempt takes long (hedge_policy.h) is sent to a second upstream, and
// the first answer counts. The earlier attempt continues until then: nothing that runs is given up
// before something better is known.
#pragma once

#include "arbutuslb/core/gateway/gateway_context.h"
#include "arbutuslb/core/gateway/rollout_conductor.h"
#include "arbutuslb/core/gateway/weighted_split.h"
#include "arbutuslb/core/routing/retry_budget.h"

#include <memory>

namespace arbutuslb::core::gateway {

// Maximum number of daemons that one request is sent to.
inline constexpr int max_attempts = 4;

// Not thread-safe.
class request_router {
public:
  request_router(gateway_context& shared, rollout_conductor& rollouts);

  void on_call(call_received received);
  void on_caller_disconnected(std::uint64_t token);
  // Returns false if the attempt does not belong to the router.
  bool on_attempt_completed(const attempt_completed& end);
  void on_tick();
  // Cancels all attempts and answers all requests.
  void end_all(const std::string& reason);

  struct local_request {
    std::uint64_t attempt = 0;
    run_request request;
  };
  // Returns and clears the new requests for the local upstream.
  std::vector<local_request> take_local_requests() { return std::exchange(local_requests_, {}); }
  // Returns and clears the attempts at the local upstream that are to be cancelled.
  std::vector<std::uint64_t> take_local_cancellations() {
    return std::exchange(local_cancellations_, {});
  }

  bool is_idle() const { return pending_.empty(); }

private:
  // An attempt that has not completed.
  struct open_attempt {
    std::uint64_t id = 0;
    std::string host;
    upstream_incarnation upstream; // of that host
    time_point sent_at{};
  };
  struct pending_call {
    std::uint64_t token = 0;
    call content;
    std::shared_ptr<const mesh_configuration> configuration; // owns `route`
    const route_policy* route = nullptr;
    std::string service;
    std::string organisation; // of the caller; empty if none
    int rank = 0;             // of the organisation, or else of the route
    bool uses_new_version = false;
    int rollout_share_permille = -1;
    time_point received_at{};
    time_point deadline{};
    open_attempt current; // or the last one, if it has completed
    // Attempt that was sent before the current one and has not completed either.
    std::optional<open_attempt> overdue;
    bool is_hedged = false;         // `overdue` was not late yet when the current one was sent
    std::vector<std::string> tried; // hosts of all attempts
    int attempts = 0;               // including the current one
    int upstreams_reached = 0;      // attempts that an upstream received or may have received
    bool may_have_executed = false;
    run_result last_result; // result of the last completed attempt
    // As known when it was sent; without a fingerprint if the request is no suspect.
    calls::suspicion suspicion;
    bool has_ended_with_death = false; // the last execution ended, since its upstream died
    // Newest answer of an upstream that a retry was to improve on.
    std::optional<http_response> failed_answer;
  };

  // Returns until when the request must have been answered: its deadline, or earlier if this daemon
  // stops before.
  time_point latest_answer(const pending_call& pending) const;
  // Returns true if the request cannot be expected to complete before this daemon exits.
  bool outlasts_stop(const pending_call& pending) const;
  // Sets the organisation and the rank by the key that the caller presented. Returns false if the
  // route requires a key and the configuration does not have it.
  static bool identify_caller(pending_call& pending);
  void dispatch(pending_call pending);
  // Answers a request that crashes its upstreams.
  void refuse_suspect(const pending_call& pending);
  // The returned query refers to `pending`, which must outlive it.
  upstream_query query_for(const pending_call& pending) const;
  // Returns the host for the next attempt; nothing if there is none. Falls back from the new
  // version to the old one while a rollout is running.
  std::optional<std::string> choose_host(pending_call& pending);
  void send(pending_call pending, const std::string& host);
  // Stores the request until its attempts complete.
  void keep(pending_call pending);
  // Removes and returns the request of the attempt; nothing if there is none.
  std::optional<pending_call> take(std::uint64_t attempt);
  void retry_or_finish(pending_call pending);
  bool is_retry_allowed(const pending_call& pending);
  // Why a second attempt is sent while the first one goes on.
  enum class second_attempt : std::uint8_t {
    none,
    hedge,  // the first has taken longer than nearly all others
    overdue // the first will be late, or its peer is silent
  };
  // Returns whether the attempt has taken so long that a second one elsewhere is worthwhile.
  second_attempt needs_second_attempt(const pending_call& pending, bool has_peer_contact) const;
  bool is_hedge_due(const pending_call& pending) const;
  // Sends a second attempt of an overdue request if the retry budget and an upstream allow it.
  void send_second_attempt(std::uint64_t attempt, second_attempt reason);
  void update_mean_size(const pending_call& pending);
  void finish(const pending_call& pending);
  void finish_with_status(const pending_call& pending, int status, const std::string& reason,
                          duration retry_after);
  void answer_without_body(std::uint64_t token, int status, duration retry_after);
  void cancel(const open_attempt& attempt);
  // Cancels the attempts of the request that have not completed.
  void cancel_all(const pending_call& pending);
  // Cancels the attempts of the request and answers it.
  void give_up(std::uint64_t attempt, const std::string& reason);
  duration retry_after_of(const pending_call& pending);
  // Counts and logs that the request is sent to another upstream after one that may have executed
  // it.
  void log_repetition(const pending_call& pending, const std::string& host,
                      const std::string& reason);
  void log_completion(const pending_call& pending, int status, const std::string& reason);

  gateway_context& shared_;
  rollout_conductor& rollouts_;
  std::map<std::string, weighted_split> splits_;         // by route
  std::map<std::string, double> mean_sizes_;             // request and answer in bytes, by route
  std::map<std::string, routing::retry_budget> budgets_; // by service
  std::map<std::string, routing::hedge_policy> hedges_;  // by route
  std::map<std::uint64_t, pending_call> pending_;        // by current attempt
  std::map<std::uint64_t, std::uint64_t> overdue_;       // current attempt, by overdue one
  std::map<std::uint64_t, std::uint64_t> attempts_by_token_; // by the caller's token
  std::vector<local_request> local_requests_;
  std::vector<std::uint64_t> local_cancellations_;
};

} // namespace arbutuslb::core::gateway
