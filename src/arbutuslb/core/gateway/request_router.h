// The caller's side of a request: route, choose an upstream, send, send again where that is
// allowed, answer.
//
// A request that is not idempotent is given to an upstream at most once: it is sent again only
// after somebody who knows said that it has not run. An answer of 503 promises exactly that; an
// outcome that is not known is answered 502, or 504 when the time is up.
#pragma once

#include "arbutuslb/core/gateway/gateway_context.h"
#include "arbutuslb/core/gateway/rollout_conductor.h"
#include "arbutuslb/core/gateway/weighted_split.h"
#include "arbutuslb/core/routing/retry_budget.h"

#include <memory>

namespace arbutuslb::core::gateway {

// Daemons that one request is offered to at most.
inline constexpr int max_offers = 4;

// Not thread-safe.
class request_router {
public:
  request_router(gateway_context& shared, rollout_conductor& rollouts);

  void on_call(call_received received);
  void on_caller_left(std::uint64_t token);
  // Returns false if the sending is not the router's.
  bool on_sending_ended(const attempt_completed& end);
  void on_tick();

  // Requests to this daemon's own upstream, and those of them whose callers have left.
  struct local_request {
    std::uint64_t attempt = 0;
    run_request request;
  };
  std::vector<local_request> take_local_requests() { return std::exchange(local_requests_, {}); }
  std::vector<std::uint64_t> take_local_cancels() { return std::exchange(local_cancels_, {}); }

  bool is_idle() const { return pending_.empty(); }

private:
  struct pending_call {
    std::uint64_t token = 0;
    call content;
    std::shared_ptr<const mesh_configuration> configuration; // owns `route`
    const route_policy* route = nullptr;
    std::string service;
    bool wants_new_version = false;
    int rollout_share_permille = -1;
    time_point began{};
    time_point answer_by{};
    std::uint64_t attempt = 0;
    std::string host; // of the present sending
    time_point sent{};
    std::vector<std::string> tried;
    int offers = 0;            // daemons that it was offered to
    int upstreams_reached = 0; // at which it arrived
    bool may_have_executed = false;
    run_result last; // of the sending before
  };

  void dispatch(pending_call value);
  // The query refers to `value`.
  upstream_query query_for(const pending_call& value) const;
  std::optional<std::string> choose_host(pending_call& value);
  // Another upstream could take the request now.
  bool has_alternative(const pending_call& value);
  void send(pending_call value, const std::string& host);
  void continue_after(pending_call value);
  bool may_send_again(const pending_call& value);
  // The upstream has had the request for so long that another is worth asking.
  bool is_overdue(const pending_call& value) const;
  void note_size(const pending_call& value);
  void finish(const pending_call& value);
  void finish_with(const pending_call& value, int status, const std::string& reason,
                   duration retry_after);
  void answer_plain(std::uint64_t token, int status, duration retry_after);
  void cancel(const pending_call& value);
  void stop_waiting(std::uint64_t attempt);
  duration retry_after_of(const pending_call& value);
  void log_end(const pending_call& value, int status, const std::string& reason);

  gateway_context& shared_;
  rollout_conductor& rollouts_;
  std::map<std::string, weighted_split> splits_;         // by route
  std::map<std::string, double> mean_sizes_;             // bytes with the answer, by route
  std::map<std::string, routing::retry_budget> budgets_; // by service
  std::map<std::uint64_t, pending_call> pending_;        // by sending
  std::map<std::uint64_t, std::uint64_t> attempts_;      // by the caller's token
  std::vector<local_request> local_requests_;
  std::vector<std::uint64_t> local_cancels_;
};

} // namespace arbutuslb::core::gateway
