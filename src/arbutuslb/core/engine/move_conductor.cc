#include "arbutuslb/core/engine/move_conductor.h"

#include <algorithm>

namespace arbutuslb::core::engine {
namespace {

using config::move;
using config::move_state;
using moves::judgement;
using moves::judgement_kind;

constexpr std::chrono::seconds checkpoint_period{1};

std::string judgement_id(const move& value, const std::string& suffix) {
  return "move-" + std::to_string(value.id) + "-" + suffix;
}

} // namespace

move_conductor::move_conductor(context& shared, command_writer& writer,
                               std::set<config_version>& braked_moves)
    : shared_(shared), writer_(writer), braked_moves_(braked_moves) {
  next_evidence_ = shared_.now + shared_.random.jitter(evidence_period);
  next_judging_ = shared_.now + shared_.random.jitter(judging_period);
}

// --- evidence ---

const move* move_conductor::local_move() const {
  return shared_.configuration.running_move(shared_.settings.service);
}

void move_conductor::on_executions(const std::vector<finished_execution>& runs) {
  const move* current = local_move();
  if (current == nullptr) {
    return;
  }
  if (counted_move_id_ != current->id) {
    counted_move_id_ = current->id;
    counter_ = {};
  }
  for (const finished_execution& run : runs) {
    counter_.record_execution(run.route, current->share_permille, run.outcome, run.latency);
  }
}

void move_conductor::send_evidence(const upstream_gate& gate) {
  const move* current = local_move();
  if (current == nullptr) {
    return;
  }
  protocol::evidence_report report;
  report.move_id = current->id;
  report.version = shared_.settings.version;
  report.limit = gate.load().limit;
  report.mean_in_flight = gate.mean_in_flight();
  if (counted_move_id_ == current->id) {
    const bool is_full = shared_.now >= next_full_evidence_;
    next_full_evidence_ = is_full ? shared_.now + full_evidence_period : next_full_evidence_;
    const std::vector<protocol::evidence_cell> changed = counter_.take_changed();
    report.cells = is_full ? counter_.cells() : changed;
  }
  for (const member_id id : judges_of(current->id)) {
    if (id == shared_.self.id) {
      judged_moves_[current->id].pool.merge(shared_.self.id, shared_.self.process_epoch, report);
    } else {
      shared_.send(id, report, channel::datagram);
    }
  }
}

void move_conductor::on_evidence(const protocol::message& from,
                                 const protocol::evidence_report& report) {
  const move* recorded = shared_.configuration.find_move(report.move_id);
  if (recorded != nullptr && recorded->state == move_state::running) {
    judged_moves_[report.move_id].pool.merge(from.sender.id, from.sender.process_epoch, report);
  }
}

std::vector<member_id> move_conductor::judges_of(config_version move_id) {
  return shared_.fleet_role_holders("judge/" + std::to_string(move_id), judges_per_move);
}

// --- judging ---

void move_conductor::on_tick(const upstream_gate& gate, std::size_t poison_requests) {
  if (shared_.now >= next_evidence_) {
    next_evidence_ = shared_.now + evidence_period;
    send_evidence(gate);
  }
  if (shared_.now < next_judging_) {
    return;
  }
  next_judging_ = shared_.now + judging_period;
  for (const auto& [service, value] : shared_.configuration.moves()) {
    if (value.state != move_state::running) {
      continue;
    }
    const std::vector<member_id> judges = judges_of(value.id);
    if (std::find(judges.begin(), judges.end(), shared_.self.id) != judges.end()) {
      judge(value, poison_requests);
    }
  }
  if (shared_.now >= next_checkpoint_) {
    next_checkpoint_ = shared_.now + checkpoint_period;
    for (auto& [id, item] : judged_moves_) {
      item.pool.add_checkpoint(shared_.now);
    }
  }
}

void move_conductor::judge(const move& value, std::size_t poison_requests) {
  judged_move& state = judged_moves_[value.id];
  if (state.share_since == time_point{} || state.share_permille != value.share_permille) {
    state.share_permille = value.share_permille;
    state.share_since = shared_.now;
  }
  const std::map<config_version, std::string>::const_iterator braked =
      brake_reasons_.find(value.id);
  if (braked != brake_reasons_.end()) {
    state.last = {judgement_kind::brake, 0, braked->second, false};
  } else {
    state.last =
        moves::judge_move(value, state.pool, poison_requests, state.share_since, shared_.now);
  }
  if (state.last.is_late && !state.is_late_logged) {
    state.is_late_logged = true;
    shared_.write(severity::warning, "move_late",
                  {{"service", value.service}, {"reason", state.last.reason}});
  }
  apply_judgement(value, state.last);
}

void move_conductor::apply_judgement(const move& value, const judgement& decided) {
  switch (decided.kind) {
  case judgement_kind::wait:
    break;
  case judgement_kind::step:
    write_judgement(judgement_id(value, std::to_string(decided.share_permille)),
                    config::move_step_command{value.id, decided.share_permille});
    break;
  case judgement_kind::done:
    write_judgement(judgement_id(value, "done"),
                    config::move_verdict_command{value.id, true, decided.reason});
    break;
  case judgement_kind::brake:
    brake_move(value.id, decided.reason, shared_.self.id);
    write_judgement(judgement_id(value, "taken-back"),
                    config::move_verdict_command{value.id, false, decided.reason});
    break;
  }
}

void move_conductor::write_judgement(const std::string& command_id, config::command body) {
  if (writer_.is_writing(command_id)) {
    return;
  }
  config::record value;
  value.command_id = command_id;
  value.operator_name = "judge@" + shared_.settings.instance;
  value.issued_at = shared_.now;
  value.body = std::move(body);
  writer_.submit(value, shared_.now + judgement_write_timeout);
}

void move_conductor::brake_move(config_version move_id, const std::string& reason,
                                member_id except) {
  if (!braked_moves_.insert(move_id).second) {
    return;
  }
  brake_reasons_[move_id] = reason;
  shared_.write(severity::warning, "move_braked",
                {{"move", std::to_string(move_id)}, {"reason", reason}});
  const protocol::brake value{move_id, reason};
  for (const member_id id : shared_.random_domain_peers(push_fanout)) {
    if (id != except) {
      shared_.send(id, value, channel::datagram);
    }
  }
  const std::vector<member_id> present = shared_.members.present();
  for (const member_id id : shared_.random.sample(present, push_fanout)) {
    shared_.send(id, value, channel::datagram);
  }
}

void move_conductor::on_brake(const protocol::message& from, const protocol::brake& value) {
  const move* recorded = shared_.configuration.find_move(value.move_id);
  if (recorded != nullptr && recorded->state == move_state::running) {
    brake_move(value.move_id, value.reason, from.sender.id);
  }
}

void move_conductor::on_configuration() {
  const auto has_ended = [this](config_version id) {
    const move* recorded = shared_.configuration.find_move(id);
    return recorded == nullptr || recorded->state != move_state::running;
  };
  std::erase_if(braked_moves_, has_ended);
  std::erase_if(brake_reasons_, [&](const auto& item) { return has_ended(item.first); });
  std::erase_if(judged_moves_, [&](const auto& item) { return has_ended(item.first); });
}

// --- explaining ---

std::string move_conductor::explain(config_version move_id) const {
  const move* recorded = shared_.configuration.find_move(move_id);
  if (recorded == nullptr) {
    return "unknown move";
  }
  if (recorded->state != move_state::running) {
    return std::string(config::to_string(recorded->state)) + ": " + recorded->reason;
  }
  const std::map<config_version, std::string>::const_iterator braked = brake_reasons_.find(move_id);
  if (braked != brake_reasons_.end()) {
    return "taken back here, not yet recorded: " + braked->second;
  }
  const std::map<config_version, judged_move>::const_iterator judged = judged_moves_.find(move_id);
  if (judged == judged_moves_.end()) {
    return "no judgement yet";
  }
  std::string text = judged->second.last.reason;
  if (judged->second.last.is_late) {
    text += "; the stated time cannot be met";
  }
  return text;
}

void move_conductor::on_explain_query(const protocol::message& from,
                                      const protocol::explain_query& query) {
  shared_.send_to(from.sender.address, protocol::explain_reply{query.token, explain(query.move_id)},
                  channel::datagram);
}

} // namespace arbutuslb::core::engine
