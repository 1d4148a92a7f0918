// The caller's side of a call: matches the route, chooses an upstream, sends attempts, retries
// where that is safe, and answers the caller.
//
// A non-idempotent call is sent to an upstream once; it is sent again only if the upstream's daemon
// replies that the request was not executed. Only the daemon that owns its key may start it.
#pragma once

#include "arbutuslb/core/calls/key_table.h"
#include "arbutuslb/core/calls/minted_key.h"
#include "arbutuslb/core/calls/poison_registry.h"
#include "arbutuslb/core/engine/context.h"
#include "arbutuslb/core/engine/events.h"
#include "arbutuslb/core/routing/endpoint_directory.h"
#include "arbutuslb/core/routing/retry_budget.h"

#include <map>
#include <optional>

namespace arbutuslb::core::engine {

// Path from which a caller obtains a key for a non-idempotent call.
inline constexpr const char* mint_path = "/-/key";
inline constexpr int max_attempts = 4; // per call, including the first
// Minimum time for which an upstream is avoided after its daemon has refused a request;
// `busy_backoff` applies if the upstream was at its limit. Jitter of up to the same time is added.
// Critical requests are still sent to it.
inline constexpr std::chrono::milliseconds refusal_backoff{20};
inline constexpr std::chrono::milliseconds busy_backoff{5};
// Interval at which a forwarded call is sent to its key's owner again until the owner replies
// or the deadline passes.
inline constexpr std::chrono::milliseconds keyed_resend_period{400};
// A call for which no upstream is usable is parked for at most this time; at most this many calls
// are parked at once.
inline constexpr std::chrono::milliseconds max_parked_time{250};
inline constexpr std::size_t max_parked_calls = 64;
// Deeper calls are treated as a loop and refused.
inline constexpr std::uint32_t max_call_depth = 64;

// Not thread-safe.
class call_router {
public:
  call_router(context& shared, calls::poison_registry& poison);

  void on_call(const call_received& call);
  void on_caller_disconnected(const caller_disconnected& call);
  void on_reply(const protocol::call_reply& reply);
  void on_keyed_request(const protocol::message& from, const protocol::keyed_request& request);
  void on_keyed_reply(const protocol::keyed_reply& reply);
  void on_tick();
  // Discards the statistics of the domain's endpoints, so that they count as cold.
  void reset_domain(const std::string& domain);

  // Returns and removes the requests for the local upstream, for the gate.
  std::vector<protocol::call_request> take_local_requests() {
    return std::exchange(local_requests_, {});
  }
  // Returns and removes the ids of requests for the local upstream that are to be cancelled.
  std::vector<call_id> take_local_cancels() { return std::exchange(local_cancels_, {}); }

  // Moves whose new version receives no requests from this daemon, whatever its configured share.
  std::set<config_version>& braked_moves() { return braked_moves_; }
  // Returns true if no caller is waiting for an answer.
  bool is_idle() const;
  std::size_t endpoint_count() const noexcept { return directory_.size(); }

private:
  // A recipient of the outcome of a key: a caller of this daemon, or a peer that forwarded the
  // call.
  struct waiter {
    std::uint64_t token = 0;       // of the caller, or of the peer's request
    std::optional<member_id> peer; // empty for a caller of this daemon
    std::string service;
    config::request_class priority = config::request_class::normal;
    time_point start_time;
    time_point deadline;
  };
  struct pending_call {
    std::uint64_t token = 0;      // of the caller; 0 for a keyed call
    std::uint64_t key_number = 0; // 0 for an idempotent call
    protocol::call_content content;
    std::string service;
    std::string route;
    std::string version; // of the current attempt
    config::request_class priority = config::request_class::normal;
    bool idempotent = true;
    std::uint64_t fingerprint = 0;
    time_point start_time;
    time_point deadline;
    time_point parked_until{};    // zero if the call was never parked
    int attempts = 0;             // including the current one
    std::vector<member_id> tried; // targets that the next choice avoids
    member_id target;             // of the current attempt
    incarnation target_epoch;
    time_point sent_at{}; // of the current attempt
    duration attempt_timeout{};
    bool may_have_executed = false; // an attempt ended with an unknown outcome
    // The caller was answered with an unknown outcome; a late answer is still recorded for the key.
    bool has_timed_out = false;
  };
  // A keyed call that was forwarded to the owner of its key.
  struct forwarded_call {
    std::uint64_t token = 0;
    calls::minted_key key;
    protocol::keyed_request request;
    std::string service;
    config::request_class priority = config::request_class::normal;
    time_point start_time;
    time_point deadline;
    time_point resend_at;
  };

  // Returns an empty string if the call may be accepted.
  std::string refusal_reason(const call_received& call) const;
  void mint(const call_received& call);
  void start_keyed(const call_received& call, const config::route& route);
  void forward_to_owner(const call_received& call, const config::route& route,
                        const calls::minted_key& key);
  void begin_key(std::uint64_t number, const protocol::call_content& content,
                 const config::route& route, waiter recipient);
  void dispatch(pending_call call);
  std::string choose_version(const config::service& service, const pending_call& call);
  std::optional<member_id> choose_target(pending_call& call);
  // Parks the call for a later dispatch. Finishes it with `result` if its time to be parked is over
  // or this daemon is stopping. If `parked_` is full, finishes a call of the lowest class.
  void park_or_finish(pending_call call, calls::key_result result);
  // Dispatches the service's first parked call of the highest class, if it has a parked call.
  void dispatch_parked(const std::string& service);
  void check_parked();
  void send_attempt(pending_call call, member_id target);
  // Retries a call that is idempotent or was not executed, or finishes it with `result`.
  void retry_or_finish(pending_call call, calls::key_result result);
  void finish(const pending_call& call, calls::key_result result);
  void deliver_result(const waiter& recipient, const calls::key_result& result);
  void answer(std::uint64_t token, calls::key_result result, const std::string& service,
              config::request_class priority, time_point start_time);
  void refuse(const call_received& call, const std::string& reason, int status);
  void check_pending();
  void check_forwarded();
  // Returns true if the target's daemon is dead, unknown, or has restarted since the attempt.
  bool is_target_gone(const pending_call& call) const;
  void cancel_attempt(const call_id& id, const pending_call& call);

  context& shared_;
  calls::poison_registry& poison_;
  routing::endpoint_directory directory_;
  std::map<std::string, routing::retry_budget> budgets_; // by service
  std::map<call_id, pending_call> calls_;                // by the id of the current attempt
  std::map<std::uint64_t, call_id> ids_by_token_;        // by the caller's token; no keyed calls
  std::vector<pending_call> parked_;
  std::map<std::uint64_t, forwarded_call> forwarded_; // by the token of the request to the owner
  calls::key_table keys_;                             // keys that this daemon owns
  std::map<std::uint64_t, waiter> waiters_;           // by the waiter number in `keys_`
  std::vector<protocol::call_request> local_requests_;
  std::vector<call_id> local_cancels_;
  std::set<config_version> braked_moves_;
};

} // namespace arbutuslb::core::engine
