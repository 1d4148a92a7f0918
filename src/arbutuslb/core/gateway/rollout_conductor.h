// Moves a service's traffic to a new version in steps, and rolls it back when the version fails.
//
// The daemon that is assigned the role for a service evaluates the evidence of the upstreams,
// raises the share, and records the outcome in the store, where the first record is final. The
// share and the phase spread in reports and only advance, so a daemon that takes over the role
// continues from the most advanced state that any daemon has reported. The recorded outcome
// overrides what the daemons have concluded.
#pragma once

#include "arbutuslb/core/gateway/gateway_context.h"
#include "arbutuslb/core/moves/evidence.h"

namespace arbutuslb::core::gateway {

// Not thread-safe.
class rollout_conductor {
public:
  explicit rollout_conductor(gateway_context& shared) : shared_(shared) {}

  // Applies the rollouts in the operator records.
  void on_operator_records();
  void on_report(const peer_report& report);
  void on_outcomes(const outcomes_read& stored);
  void on_recorded(const outcome_recorded& result);
  void on_tick();

  struct rollout {
    log_position position; // of the operator record
    std::uint64_t id = 0;  // derived from the position
    // The id before the record was written again in a later era; peers may still report it.
    std::uint64_t previous_id = 0;
    std::uint64_t number = 0; // among the rollouts of this process; the same for both ids
    rollout_spec order;
    std::string previous_version; // settled when the order was read; empty if unknown
    time_point started{};         // when a daemon first read the order
    time_point last_step_at{};
    int share_permille = 0;
    rollout_phase phase = rollout_phase::running;
    time_point phase_changed_at{};
    std::optional<std::uint64_t> recorded_era; // era in which the outcome is in the store
    bool is_recording = false;
    time_point next_record_at{}; // the outcome is not recorded earlier
    double share_credit = 0;     // permille accumulated for the next request to the new version
    std::string wait_reason;     // why the share does not rise, as last logged
    time_point wait_logged_at{};
    moves::evidence_pool evidence;

    bool has_id(std::uint64_t value) const { return value == id || value == previous_id; }
  };
  // Returns the rollout of a service; null if none was requested.
  const rollout* find(std::string_view service) const;

  // Decides whether the next request is sent to the new version. Returns false if there is no
  // rollout or it was rolled back.
  bool assign_to_new_version(std::string_view service);
  // Returns true if a request may be sent to this version of the service now: to the target of its
  // rollout by its share, otherwise to the settled version only. `is_for_new_version` is the result
  // of `assign_to_new_version` for the request.
  bool allows(std::string_view service, const std::string& version, bool is_for_new_version) const;

  // Returns the version of the service that was completed last, or that was in use before the first
  // rollout; empty if that is not known yet.
  std::string settled_version(std::string_view service) const;
  std::vector<rollout_progress> progress() const;
  // Returns the name of the role that evaluates the rollouts of a service.
  static std::string role_name(const std::string& service) { return "rollout " + service; }
  // Returns the label under which evidence of an upstream's version is counted.
  static std::string label_of(const rollout& value, const std::string& version);

private:
  // Applies a later phase or a higher share. Returns true if the state changed.
  bool advance(rollout& value, int share_permille, rollout_phase phase);
  // Takes over a phase that is recorded in this era of the store, if none of a later one is known.
  void take_over_recorded(rollout& value, rollout_phase phase, std::uint64_t era);
  void note_step(const rollout& value);
  // Derives the settled version of the service from a change of the phase.
  void settle(const rollout& value);
  // Finds the settled versions that are not known yet, and forgets those without upstreams.
  void update_settled_versions();
  void update_settled_version(const std::string& service);
  // Returns the version that has probably been settled before this process started.
  std::string guess_settled_version(const std::string& service) const;
  bool is_settled(std::string_view service, const std::string& version) const;
  // Returns true if requests that the rollout does not move may be sent to this version.
  bool is_old(const rollout& value, const std::string& version) const;
  void evaluate(rollout& value);
  // Logs why the share does not rise if the reason has changed, once a second at most.
  void note_wait(rollout& value, const std::string& reason);
  void write_outcome(rollout& value);
  bool is_recorded(const rollout& value) const { return value.recorded_era == era_; }
  // What was read and recorded in an earlier era no longer counts.
  void advance_era(std::uint64_t era);

  gateway_context& shared_;
  std::map<std::string, rollout, std::less<>> rollouts_;    // by service
  std::map<std::string, std::string, std::less<>> settled_; // by service
  std::uint64_t last_number_ = 0;
  std::uint64_t era_ = 0; // of the store
  // End of the outcomes when last read; empty if they are to be read before the next record.
  std::optional<log_position> outcomes_end_;
  time_point evaluated_at_{};
  time_point last_checkpoint_at_{};
};

} // namespace arbutuslb::core::gateway
