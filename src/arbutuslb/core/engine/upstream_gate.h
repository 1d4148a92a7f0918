// The upstream's side of a call: admits requests, executes them at the local upstream and replies.
// The reply "not executed" is given only if that is certain.
//
// Every submitted request results in exactly one reply, except that a request which the duplicate
// filter rejects is dropped without a reply.
#pragma once

#include "arbutuslb/core/calls/duplicate_filter.h"
#include "arbutuslb/core/calls/poison_registry.h"
#include "arbutuslb/core/engine/context.h"
#include "arbutuslb/core/engine/events.h"
#include "arbutuslb/core/moves/evidence.h"
#include "arbutuslb/core/routing/admission.h"

#include <map>

namespace arbutuslb::core::engine {

// After the upstream has died or a connection to it has failed, requests are refused for this long.
inline constexpr std::chrono::milliseconds upstream_retry_delay{200};

// A completed execution, as evidence about the upstream's version.
struct finished_execution {
  std::string route;
  moves::execution_outcome outcome = moves::execution_outcome::good;
  duration latency{};
};

// Not thread-safe.
class upstream_gate {
public:
  upstream_gate(context& shared, calls::poison_registry& poison);

  // Submits a request. The reply is sent to `origin`; if that is this daemon, it is returned by
  // `take_local_replies`.
  void submit(member_id origin, protocol::call_request request);
  // Refuses the request if it is waiting, or cancels it at the upstream if it is running. Has no
  // effect if the request is unknown or complete.
  void cancel(const call_id& id);
  void on_answered(const upstream_answered& result);
  void on_failed(const upstream_failed& result);
  void on_tick();
  // Treats the upstream as newly started: its limit rises again from the cold limit.
  void make_cold();
  void on_configuration();

  // Returns and removes the replies to requests of this daemon, for the call router.
  std::vector<protocol::call_reply> take_local_replies() {
    return std::exchange(local_replies_, {});
  }
  std::vector<finished_execution> take_finished_executions() {
    return std::exchange(finished_executions_, {});
  }

  protocol::load_report load() const;
  double mean_in_flight() const noexcept { return mean_in_flight_; }
  bool is_idle() const noexcept { return executions_.empty(); }

private:
  struct execution {
    member_id origin;
    protocol::call_request request;
    time_point deadline;
    time_point start_time{};
    bool is_running = false;       // false while it waits for a slot
    bool is_suspect = false;       // was suspected of crashing upstreams when it was admitted
    bool is_death_counted = false; // the upstream's death was already counted
  };

  // Returns an empty string if the request may be admitted.
  std::string refusal_reason(const protocol::call_request& request);
  bool is_local_domain_withdrawn() const;
  void execute(std::uint64_t number);
  void execute_waiting();
  void refuse(member_id origin, const protocol::call_request& request, const std::string& reason);
  void refuse_waiting(const std::vector<routing::waiting_request>& requests,
                      const std::string& reason);
  void reply(member_id origin, protocol::call_reply value);
  void finish(std::uint64_t number, protocol::call_reply value);
  void on_upstream_died();
  void send_poison_report(std::uint64_t fingerprint, std::uint32_t deaths);
  // Returns true if a suspect request is being executed.
  bool is_suspect_running() const;

  context& shared_;
  calls::poison_registry& poison_;
  routing::admission<routing::adaptive_limit> admission_;
  calls::duplicate_filter duplicate_filter_;
  std::map<std::uint64_t, execution> executions_; // running and waiting, by execution number
  std::map<call_id, std::uint64_t> numbers_by_call_id_;
  std::vector<protocol::call_reply> local_replies_;
  std::vector<finished_execution> finished_executions_;
  time_point upstream_down_until_{}; // requests are refused until then
  double mean_in_flight_ = 0;        // exponential moving average
};

} // namespace arbutuslb::core::engine
