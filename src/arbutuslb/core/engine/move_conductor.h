// Conducts moves: collects evidence about the local upstream and judges the moves that are assigned
// to this daemon.
//
// Rendezvous hashing over the fleet assigns two judges to every move. Both evaluate the same
// evidence. Their records are idempotent, and the first verdict in the log takes effect. A judge
// that finds a fault brakes the move at once: daemons pass the brake on to random members and stop
// sending traffic to the new version before the verdict is in the log.
#pragma once

#include "arbutuslb/core/engine/command_writer.h"
#include "arbutuslb/core/engine/upstream_gate.h"
#include "arbutuslb/core/moves/judge.h"

namespace arbutuslb::core::engine {

inline constexpr std::size_t judges_per_move = 2;
inline constexpr std::chrono::milliseconds evidence_period{700};
// How often all evidence cells are reported instead of the changed ones only, for judges that were
// assigned recently or missed a report.
inline constexpr std::chrono::seconds full_evidence_period{5};
inline constexpr std::chrono::milliseconds judging_period{500};
// How long a judge retries to append one judgement to the log. A judgement that it reaches again
// after that time is submitted anew.
inline constexpr std::chrono::seconds judgement_write_timeout{5};

// Not thread-safe.
class move_conductor {
public:
  move_conductor(context& shared, command_writer& writer, std::set<config_version>& braked_moves);

  void on_executions(const std::vector<finished_execution>& runs);
  void on_tick(const upstream_gate& gate, std::size_t poison_requests);
  void on_evidence(const protocol::message& from, const protocol::evidence_report& report);
  void on_brake(const protocol::message& from, const protocol::brake& value);
  void on_configuration();
  void on_explain_query(const protocol::message& from, const protocol::explain_query& query);

  // Returns the members that judge the move.
  std::vector<member_id> judges_of(config_version move_id);
  // Returns the status of the move as known to this daemon, as text for operators.
  std::string explain(config_version move_id) const;

private:
  struct judged_move {
    moves::evidence_pool pool;
    int share_permille = 0;
    time_point share_since; // when this daemon first saw the present share
    moves::judgement last;
    bool is_late_logged = false;
  };

  // Returns the running move of the local upstream's service, or null.
  const config::move* local_move() const;
  void send_evidence(const upstream_gate& gate);
  void judge(const config::move& value, std::size_t poison_requests);
  void apply_judgement(const config::move& value, const moves::judgement& judgement);
  void brake_move(config_version move_id, const std::string& reason, member_id except);
  void write_judgement(const std::string& command_id, config::command body);

  context& shared_;
  command_writer& writer_;
  std::set<config_version>& braked_moves_;
  std::map<config_version, std::string> brake_reasons_; // by move
  config_version counted_move_id_ = 0; // the move that `counter_` counts for; 0 if none
  moves::evidence_counter counter_;
  std::map<config_version, judged_move> judged_moves_; // by move
  time_point next_evidence_{};
  time_point next_full_evidence_{};
  time_point next_judging_{};
  time_point next_checkpoint_{};
};

} // namespace arbutuslb::core::engine
