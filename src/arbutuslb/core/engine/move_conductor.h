// Conducts moves: counts evidence beside the upstream, and judges where this daemon is a judge.
//
// Every move has two judges by rendezvous hash over the fleet. Both judge the same evidence; what
// they write is idempotent, and the first verdict in the order of the log stands. A fault brakes
// the move at once, before its verdict is in the log.
#pragma once

#include "arbutuslb/core/engine/command_writer.h"
#include "arbutuslb/core/engine/upstream_gate.h"
#include "arbutuslb/core/moves/judge.h"

namespace arbutuslb::core::engine {

inline constexpr std::size_t judges_per_move = 2;
inline constexpr std::chrono::milliseconds evidence_period{700};
// How often all cells are reported, not only those that changed, for a judge that is new or missed
// one.
inline constexpr std::chrono::seconds full_evidence_period{5};
inline constexpr std::chrono::milliseconds judging_period{500};
// How long a judge tries to write one judgement before it judges again.
inline constexpr std::chrono::seconds judgement_patience{5};

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

  std::vector<member_id> judges_of(config_version move_id);
  // Where the move stands, as far as this daemon knows.
  std::string explain(config_version move_id) const;

private:
  struct judged_move {
    moves::evidence_pool pool;
    int share_permille = 0;
    time_point share_since;
    moves::judgement last;
    bool told_late = false;
  };

  const config::move* own_move() const;
  void send_evidence(const upstream_gate& gate);
  void judge(const config::move& value, std::size_t poison_requests);
  void act_on(const config::move& value, const moves::judgement& judgement);
  void brake_move(config_version move_id, const std::string& reason, member_id except);
  void write_judgement(const std::string& command_id, config::command body);

  context& shared_;
  command_writer& writer_;
  std::set<config_version>& braked_moves_;
  std::map<config_version, std::string> brake_reasons_;
  config_version counted_move_ = 0;
  moves::evidence_counter counter_;
  std::map<config_version, judged_move> judged_;
  time_point next_evidence_{};
  time_point next_full_evidence_{};
  time_point next_judging_{};
  time_point next_checkpoint_{};
};

} // namespace arbutuslb::core::engine
