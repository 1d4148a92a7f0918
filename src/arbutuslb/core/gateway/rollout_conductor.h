// Moves a service's traffic to a new version step by step, and takes it back at a fault.
//
// Every daemon hears the evidence of all upstreams; the holder of the duty judges it, raises the
// share, and records the outcome in the store, where the first record stands. The share and the
// phase spread on reports and only advance, so a daemon that takes the duty over goes on from the
// furthest state that anyone knows.
#pragma once

#include "arbutuslb/core/gateway/gateway_context.h"
#include "arbutuslb/core/moves/evidence.h"

namespace arbutuslb::core::gateway {

// Not thread-safe.
class rollout_conductor {
public:
  explicit rollout_conductor(gateway_context& shared) : shared_(shared) {}

  // Takes in what operators ordered.
  void on_operator_records();
  void on_report(const peer_report& report);
  void on_outcomes(const outcomes_read& known);
  void on_recorded(const outcome_recorded& result);
  void on_tick();

  // The rollout of a service; null if none was ordered.
  struct rollout {
    std::uint64_t id = 0;
    rollout_spec order;
    time_point started{};
    time_point step_started_at{};
    int share_permille = 0;
    rollout_phase phase = rollout_phase::running;
    time_point phase_since{};
    bool is_recorded = false;
    bool is_recording = false;
    time_point record_after{};
    double share_credit = 0;
    moves::evidence_pool evidence;
  };
  const rollout* find(std::string_view service) const;

  // Decides for one request whether it goes to the new version. `false` if no rollout runs.
  bool takes_new_version(std::string_view service);
  // True if requests may be sent to this version of the service now.
  bool allows(std::string_view service, const std::string& version, bool wants_new) const;

  std::vector<rollout_progress> progress() const;
  // The name of the duty to judge the rollouts of a service.
  static std::string duty_of(const std::string& service) { return "rollout " + service; }
  // The version label under which evidence of an upstream's version is counted.
  static std::string label_of(const rollout& value, const std::string& version);

private:
  // Returns true if that is news.
  bool advance(rollout& value, int share_permille, rollout_phase phase);
  void judge(rollout& value);
  void record(rollout& value);

  gateway_context& shared_;
  std::map<std::string, rollout, std::less<>> rollouts_; // by service
  std::vector<outcomes_read::outcome> outcomes_;         // as last read from the store
  std::uint64_t outcomes_end_ = 0;
  bool outcomes_known_ = false;
  time_point judged_at_{};
  time_point marked_at_{};
};

} // namespace arbutuslb::core::gateway
