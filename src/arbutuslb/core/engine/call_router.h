// The caller's side of a call: route, choose, send, retry what may be retried, answer.
//
// A call that is not idempotent leaves for an upstream at most once; after that only a "not run"
// from the upstream's daemon lets it be sent again. Its key names the daemon that may start it.
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

// Path at which a caller gets a key for a non-idempotent call.
inline constexpr const char* mint_path = "/-/key";
inline constexpr int max_attempts = 4;
inline constexpr std::chrono::milliseconds refusal_pause{20};
inline constexpr std::chrono::milliseconds busy_pause{5};
inline constexpr std::chrono::milliseconds keyed_resend_period{400};
// A call for which no upstream has room waits this long for one, and this many wait at once.
inline constexpr std::chrono::milliseconds max_parked_time{250};
inline constexpr std::size_t max_parked_calls = 64;
// Calls deeper than this are taken to be a loop.
inline constexpr std::uint32_t max_depth = 64;

// Not thread-safe.
class call_router {
public:
  call_router(context& shared, calls::poison_registry& poison);

  void on_call(const call_received& call);
  void on_abandoned(const caller_disconnected& call);
  void on_reply(const protocol::call_reply& reply);
  void on_keyed_request(const protocol::message& from, const protocol::keyed_request& request);
  void on_keyed_reply(const protocol::keyed_reply& reply);
  void on_tick();
  // The endpoints of this failure domain start anew as cold.
  void reset_domain(const std::string& domain);

  // Calls to this daemon's own upstream; taken by the gate.
  std::vector<protocol::call_request> take_local_requests() {
    return std::exchange(local_requests_, {});
  }
  // Calls to this daemon's own upstream whose callers went away.
  std::vector<call_id> take_local_cancels() { return std::exchange(local_cancels_, {}); }

  // Moves whose new version gets nothing here, whatever the configuration says.
  std::set<config_version>& braked_moves() { return braked_moves_; }
  // True if no caller waits for an answer.
  bool is_idle() const;
  std::size_t known_endpoints() const noexcept { return directory_.size(); }

private:
  // Who waits for the outcome of a key: a caller of this daemon, or a peer.
  struct waiter {
    std::uint64_t token = 0;
    std::optional<member_id> peer;
    std::string service;
    config::request_class priority = config::request_class::normal;
    time_point began;
    time_point deadline;
  };
  struct pending_call {
    std::uint64_t token = 0;      // of the caller; 0 for a keyed call
    std::uint64_t key_number = 0; // 0 for an idempotent call
    protocol::call_content content;
    std::string service;
    std::string route;
    std::string version; // of the present attempt
    config::request_class priority = config::request_class::normal;
    bool idempotent = true;
    std::uint64_t fingerprint = 0;
    time_point began;
    time_point deadline;
    time_point parked_until{};
    int attempts = 0;
    std::vector<member_id> tried;
    member_id target;
    incarnation target_epoch;
    time_point sent{};
    duration attempt_time{};
    bool may_have_executed = false; // an earlier attempt ended without a known outcome
    bool gave_up = false; // the caller was told "unknown"; a late answer still counts for the key
  };
  // A keyed call on its way to its home.
  struct forwarded_call {
    std::uint64_t token = 0;
    calls::minted_key owner;
    protocol::keyed_request request;
    std::string service;
    config::request_class priority = config::request_class::normal;
    time_point began;
    time_point deadline;
    time_point resend_at;
  };

  std::string refusal_reason(const call_received& call) const;
  void mint(const call_received& call);
  void start_keyed(const call_received& call, const config::route& route);
  void forward_to_home(const call_received& call, const config::route& route,
                       const calls::minted_key& key);
  void begin_key(std::uint64_t number, const protocol::call_content& content,
                 const config::route& route, waiter who);
  void dispatch(pending_call call);
  std::string choose_version(const config::service& service, const pending_call& call);
  std::optional<member_id> choose_target(pending_call& call);
  // Keeps the call until an upstream has room, or finishes it.
  void park_or_finish(pending_call call, calls::key_result result);
  void dispatch_parked(const std::string& service);
  void check_parked();
  void send_attempt(pending_call call, member_id target);
  // Sends an idempotent or not-run call again, or finishes it.
  void retry_or_finish(pending_call call, calls::key_result result);
  void finish(const pending_call& call, calls::key_result result);
  void tell(const waiter& who, const calls::key_result& result);
  void answer(std::uint64_t token, calls::key_result result, const std::string& service,
              config::request_class priority, time_point began);
  void refuse(const call_received& call, const std::string& reason, int status);
  void check_pending();
  void check_forwarded();
  bool is_target_gone(const pending_call& call) const;
  void cancel_attempt(const call_id& id, const pending_call& call);

  context& shared_;
  calls::poison_registry& poison_;
  routing::endpoint_directory directory_;
  std::map<std::string, routing::retry_budget> budgets_; // by service
  std::map<call_id, pending_call> calls_;
  std::map<std::uint64_t, call_id> ids_by_token_;
  std::vector<pending_call> parked_;
  std::map<std::uint64_t, forwarded_call> forwarded_;
  calls::key_table keys_;
  std::map<std::uint64_t, waiter> waiters_;
  std::vector<protocol::call_request> local_requests_;
  std::vector<call_id> local_cancels_;
  std::set<config_version> braked_moves_;
};

} // namespace arbutuslb::core::engine
