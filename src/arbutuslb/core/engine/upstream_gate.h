// The side beside the upstream: admits calls, runs them, answers, and says "not run" only when it
// knows.
//
// Every call that is offered ends in exactly one reply, unless it is a repeat of a message that was
// taken before, which is dropped in silence.
#pragma once

#include "arbutuslb/core/calls/duplicate_filter.h"
#include "arbutuslb/core/calls/poison_registry.h"
#include "arbutuslb/core/engine/context.h"
#include "arbutuslb/core/engine/events.h"
#include "arbutuslb/core/moves/evidence.h"
#include "arbutuslb/core/routing/admission.h"

#include <map>

namespace arbutuslb::core::engine {

// After a connection to the upstream failed, no other is tried for this long.
inline constexpr std::chrono::milliseconds upstream_retry_pause{200};

// A run that ended, for the evidence about the upstream's version.
struct finished_execution {
  std::string route;
  moves::execution_outcome outcome = moves::execution_outcome::good;
  duration latency{};
};

// Not thread-safe.
class upstream_gate {
public:
  upstream_gate(context& shared, calls::poison_registry& poison);

  // Offers a call. `origin` is who is to get the reply; the own id means this daemon itself.
  void submit(member_id origin, protocol::call_request request);
  void cancel(const call_id& id);
  void on_answered(const upstream_answered& result);
  void on_failed(const upstream_failed& result);
  void on_tick();
  // Treats the upstream as freshly started.
  void make_cold();
  void on_configuration();

  // Replies to calls of this daemon's own; taken by the call router.
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
    time_point started{};
    bool is_running = false;
    bool is_suspect = false;
    bool saw_death = false; // its upstream's death has been counted
  };

  std::string refusal_reason(const protocol::call_request& request);
  bool is_own_domain_withdrawn() const;
  void run(std::uint64_t number);
  void run_waiting();
  void refuse(member_id origin, const protocol::call_request& request, const std::string& reason);
  void refuse_waiting(const std::vector<routing::waiting_request>& requests,
                      const std::string& reason);
  void reply(member_id origin, protocol::call_reply value);
  void finish(std::uint64_t number, protocol::call_reply value);
  void on_upstream_died();
  void tell_poison(std::uint64_t fingerprint, std::uint32_t deaths);
  bool is_suspect_running() const;

  context& shared_;
  calls::poison_registry& poison_;
  routing::admission<routing::adaptive_limit> admission_;
  calls::duplicate_filter seen_;
  std::map<std::uint64_t, execution> executions_;
  std::map<call_id, std::uint64_t> numbers_;
  std::vector<protocol::call_reply> local_replies_;
  std::vector<finished_execution> finished_executions_;
  time_point upstream_down_until_{};
  double mean_in_flight_ = 0;
};

} // namespace arbutuslb::core::engine
