#include "arbutuslb/core/gateway/rollout_conductor.h"

#include "arbutuslb/core/base/hash.h"
#include "arbutuslb/core/moves/judge.h"

#include <algorithm>
#include <utility>

namespace arbutuslb::core::gateway {
namespace {

constexpr std::chrono::milliseconds evaluation_interval{100};
constexpr std::chrono::seconds checkpoint_period{1};
// Reserve at the end of the allowed time for recording the outcome.
constexpr std::chrono::milliseconds record_reserve{2000};
// Requests at the old version complete within this time after the new one has all traffic, also
// those of daemons that learn of it from a later report.
constexpr std::chrono::milliseconds drain_time{1800};
constexpr std::chrono::milliseconds record_retry_delay{500};
// A new process waits for this long for what its peers know of the versions, before it takes the
// version of the longest-running upstream for the settled one. In that time it also reads the
// outcomes of rollouts that were ordered before.
constexpr std::chrono::seconds learning_time{3};
constexpr std::chrono::seconds wait_log_period{1};
constexpr int full_share_permille = 1000;
// Upstreams of one service differ in speed; only a ratio beyond their spread indicates a fault.
constexpr double max_latency_ratio = 3.0;
// Maximum gap between the confidence intervals of the error rates of the old version and a worse
// new one. A healthy version fails one request in a thousand.
constexpr double max_error_increase = 0.005;
constexpr const char* old_label = "old";
constexpr const char* new_label = "new";

constexpr int offset_bits = 44;

// Returns the same id on all daemons that hold the record, and another for each record.
std::uint64_t id_of(const log_position& position) {
  return (position.era << offset_bits) | position.offset;
}

const char* to_string(rollout_phase phase) {
  switch (phase) {
  case rollout_phase::running:
    return "running";
  case rollout_phase::rolled_back:
    return "rolled_back";
  case rollout_phase::completed:
    return "completed";
  }
  return "unknown";
}

} // namespace

std::string rollout_conductor::label_of(const rollout& value, const std::string& version) {
  return version == value.order.target_version ? new_label : old_label;
}

void rollout_conductor::on_operator_records() {
  const auto& ordered = shared_.operator_records.rollouts();
  std::erase_if(rollouts_, [&](const auto& item) { return !ordered.contains(item.first); });
  for (const auto& [service, active] : ordered) {
    rollout& value = rollouts_[service];
    if (value.position == active.position) {
      continue;
    }
    const std::uint64_t id = id_of(active.position);
    if (value.position.era < active.position.era && value.order == active.order) {
      shared_.write(
          engine::severity::info, "rollout_renamed",
          {{"service", service}, {"from", std::to_string(value.id)}, {"id", std::to_string(id)}});
      value.previous_id = std::exchange(value.id, id);
      value.position = active.position;
      continue;
    }
    value = rollout{};
    value.position = active.position;
    value.id = id;
    value.previous_id = id;
    value.number = ++last_number_;
    value.order = active.order;
    update_settled_version(service);
    value.previous_version = settled_version(service);
    value.started = shared_.now;
    value.last_step_at = shared_.now;
    shared_.write(engine::severity::info, "rollout_ordered",
                  {{"service", service},
                   {"version", active.order.target_version},
                   {"settled", value.previous_version},
                   {"id", std::to_string(id)}});
    if (shared_.now - shared_.started < learning_time && !outcomes_end_) {
      shared_.add_action(read_outcomes{}); // it may have ended before this process started
    }
  }
}

bool rollout_conductor::advance(rollout& value, int share_permille, rollout_phase phase) {
  const bool is_later_phase = !value.recorded_era && phase > value.phase;
  const bool is_higher = share_permille > value.share_permille;
  if (!is_later_phase && !is_higher) {
    return false;
  }
  if (is_later_phase) {
    value.phase = phase;
    value.phase_changed_at = shared_.now;
    settle(value);
  }
  if (is_higher) {
    value.share_permille = share_permille;
    value.last_step_at = shared_.now;
    value.wait_reason.clear();
    value.wait_logged_at = {};
  }
  note_step(value);
  return true;
}

void rollout_conductor::take_over_recorded(rollout& value, rollout_phase phase, std::uint64_t era) {
  if (phase == rollout_phase::running || value.recorded_era >= era) {
    return;
  }
  value.recorded_era = era;
  if (value.phase != phase) {
    value.phase = phase;
    value.phase_changed_at = shared_.now;
    settle(value);
    note_step(value);
  }
}

// --- settled versions ---

void rollout_conductor::settle(const rollout& value) {
  const std::string& target = value.order.target_version;
  if (value.phase == rollout_phase::completed) {
    settled_[value.order.service] = target;
  } else if (value.phase == rollout_phase::rolled_back &&
             settled_version(value.order.service) == target) {
    settled_[value.order.service] = value.previous_version;
  }
}

void rollout_conductor::update_settled_versions() {
  if (shared_.operator_records.configuration()) {
    for (const auto& [service, policy] : shared_.operator_records.configuration()->services) {
      update_settled_version(service);
    }
  }
}

void rollout_conductor::update_settled_version(const std::string& service) {
  const std::string known = settled_version(service);
  if (!known.empty() && shared_.directory.has_version(service, known, shared_.now)) {
    return;
  }
  const std::string guess = guess_settled_version(service);
  if (!guess.empty() && guess != known) {
    settled_[service] = guess;
    shared_.write(engine::severity::info, "version_settled",
                  {{"service", service}, {"version", guess}, {"from", known}});
  }
}

std::string rollout_conductor::guess_settled_version(const std::string& service) const {
  const rollout* const active = find(service);
  const auto is_possible = [&](const std::string& version) {
    return !version.empty() &&
           (active == nullptr || active->order.target_version != version ||
            active->phase == rollout_phase::completed) &&
           shared_.directory.has_version(service, version, shared_.now);
  };
  const std::string reported = shared_.directory.reported_settled_version(service);
  if (is_possible(reported)) {
    return reported;
  }
  const std::string& oldest = shared_.directory.oldest_version(service);
  return shared_.now - shared_.started >= learning_time && is_possible(oldest) ? oldest
                                                                               : std::string{};
}

std::string rollout_conductor::settled_version(std::string_view service) const {
  const auto found = settled_.find(service);
  return found == settled_.end() ? std::string{} : found->second;
}

bool rollout_conductor::is_settled(std::string_view service, const std::string& version) const {
  const auto found = settled_.find(service);
  if (found != settled_.end() && !found->second.empty()) {
    return version == found->second;
  }
  const std::string reported = shared_.directory.reported_settled_version(service);
  return reported.empty() ? version == shared_.directory.oldest_version(service)
                          : version == reported;
}

void rollout_conductor::note_step(const rollout& value) {
  shared_.is_local_report_due = true;
  shared_.write(engine::severity::info, "rollout_step",
                {{"service", value.order.service},
                 {"version", value.order.target_version},
                 {"id", std::to_string(value.id)},
                 {"share_permille", std::to_string(value.share_permille)},
                 {"phase", to_string(value.phase)}});
}

void rollout_conductor::on_report(const peer_report& report) {
  for (const rollout_progress& item : report.rollouts) {
    for (auto& [service, value] : rollouts_) {
      if (!value.has_id(item.id)) {
        continue;
      }
      if (item.recorded_era) {
        take_over_recorded(value, item.phase, *item.recorded_era);
      }
      value.started = std::min(value.started, shared_.now - item.age);
      advance(value, item.share_permille, item.phase);
    }
  }
  for (const protocol::evidence_report& item : report.evidence) {
    for (auto& [service, value] : rollouts_) {
      if (value.has_id(item.move_id)) {
        value.evidence.merge(member_id{hash_bytes(report.host)}, incarnation{report.process_epoch},
                             item);
      }
    }
  }
}

void rollout_conductor::on_outcomes(const outcomes_read& stored) {
  advance_era(stored.end.era);
  if (stored.end.era != era_) {
    return;
  }
  outcomes_end_ = stored.end;
  for (const outcomes_read::outcome& item : stored.outcomes) {
    const auto found = rollouts_.find(item.service);
    if (found == rollouts_.end() || item.phase == rollout_phase::running ||
        item.target_version != found->second.order.target_version) {
      continue;
    }
    take_over_recorded(found->second, item.phase, era_);
  }
}

void rollout_conductor::on_recorded(const outcome_recorded& result) {
  // An append in another era than that of its condition may have followed other records.
  const bool is_recorded = result.is_recorded && outcomes_end_ && result.era == outcomes_end_->era;
  advance_era(result.era);
  const auto found = rollouts_.find(result.service);
  if (found != rollouts_.end()) {
    found->second.is_recording = false;
    found->second.next_record_at = shared_.now + record_retry_delay;
    if (is_recorded) {
      found->second.recorded_era = era_;
    }
  }
  if (!is_recorded) {
    outcomes_end_.reset();
    shared_.add_action(read_outcomes{});
  }
}

void rollout_conductor::advance_era(std::uint64_t era) {
  if (era > era_) {
    era_ = era;
    outcomes_end_.reset();
  }
}

void rollout_conductor::on_tick() {
  advance_era(shared_.operator_records.end().era);
  if (shared_.now - last_checkpoint_at_ >= checkpoint_period) {
    last_checkpoint_at_ = shared_.now;
    for (auto& [service, value] : rollouts_) {
      value.evidence.add_checkpoint(shared_.now);
    }
  }
  if (shared_.now - evaluated_at_ < evaluation_interval) {
    return;
  }
  evaluated_at_ = shared_.now;
  update_settled_versions();
  for (auto& [service, value] : rollouts_) {
    const std::vector<std::string> holders =
        shared_.directory.role_holders(role_name(service), "", 1, shared_.now);
    if (holders.empty() || holders.front() != shared_.settings.host) {
      continue;
    }
    if (value.phase == rollout_phase::running) {
      evaluate(value);
    }
    if (value.phase != rollout_phase::running) {
      write_outcome(value);
    }
  }
}

void rollout_conductor::evaluate(rollout& value) {
  config::move move;
  move.id = value.id;
  move.service = value.order.service;
  move.from = old_label;
  move.to = new_label;
  move.started = value.started;
  move.deadline = value.started + value.order.time_allowed - record_reserve;
  move.limits.max_latency_ratio = max_latency_ratio;
  move.limits.max_error_increase = max_error_increase;
  move.share_permille = value.share_permille;
  const moves::exposure_limit limit{shared_.settings.exposure_share,
                                    shared_.settings.exposure_extra, value.order.time_allowed};
  const moves::judgement verdict =
      moves::judge_move(move, value.evidence, 0, value.last_step_at, shared_.now, limit);
  switch (verdict.kind) {
  case moves::judgement_kind::wait:
    note_wait(value, verdict.reason);
    return;
  case moves::judgement_kind::step:
    advance(value, verdict.share_permille, rollout_phase::running);
    break;
  case moves::judgement_kind::brake:
    advance(value, value.share_permille, rollout_phase::rolled_back);
    break;
  case moves::judgement_kind::done:
    advance(value, full_share_permille, rollout_phase::completed);
    break;
  }
  shared_.is_report_due = true;
  const moves::cell_totals old_calls = value.evidence.total_of(old_label);
  const moves::cell_totals new_calls = value.evidence.total_of(new_label);
  shared_.write(engine::severity::info, "rollout_judged",
                {{"service", value.order.service},
                 {"id", std::to_string(value.id)},
                 {"reason", verdict.reason},
                 {"old_calls", std::to_string(old_calls.calls)},
                 {"old_errors", std::to_string(old_calls.errors)},
                 {"new_calls", std::to_string(new_calls.calls)},
                 {"new_errors", std::to_string(new_calls.errors)}});
}

void rollout_conductor::note_wait(rollout& value, const std::string& reason) {
  if (value.wait_reason == reason || shared_.now - value.wait_logged_at < wait_log_period) {
    return;
  }
  value.wait_reason = reason;
  value.wait_logged_at = shared_.now;
  shared_.write(engine::severity::info, "rollout_waits",
                {{"service", value.order.service},
                 {"id", std::to_string(value.id)},
                 {"share_permille", std::to_string(value.share_permille)},
                 {"reason", reason}});
}

void rollout_conductor::write_outcome(rollout& value) {
  const bool is_settled =
      value.phase == rollout_phase::rolled_back || shared_.now - value.last_step_at >= drain_time;
  if (is_recorded(value) || value.is_recording || !is_settled ||
      shared_.now < value.next_record_at) {
    return;
  }
  if (!outcomes_end_) {
    value.next_record_at = shared_.now + record_retry_delay;
    shared_.add_action(read_outcomes{});
    return;
  }
  value.is_recording = true;
  shared_.add_action(
      record_outcome{value.order.service, value.order.target_version, value.phase, *outcomes_end_});
}

const rollout_conductor::rollout* rollout_conductor::find(std::string_view service) const {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

bool rollout_conductor::assign_to_new_version(std::string_view service) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end() || found->second.phase == rollout_phase::rolled_back) {
    return false;
  }
  rollout& value = found->second;
  if (value.phase == rollout_phase::completed) {
    return true;
  }
  value.share_credit += value.share_permille;
  if (value.share_credit < full_share_permille) {
    return false;
  }
  value.share_credit -= full_share_permille;
  return true;
}

bool rollout_conductor::allows(std::string_view service, const std::string& version,
                               bool is_for_new_version) const {
  const rollout* value = find(service);
  if (value == nullptr) {
    // Upstreams of a new version may be started before their rollout is requested.
    return is_settled(service, version);
  }
  const bool is_new = version == value->order.target_version;
  switch (value->phase) {
  case rollout_phase::rolled_back:
    return !is_new && is_old(*value, version);
  case rollout_phase::completed:
    return is_new;
  case rollout_phase::running:
    return is_new ? is_for_new_version : !is_for_new_version && is_old(*value, version);
  }
  return false;
}

bool rollout_conductor::is_old(const rollout& value, const std::string& version) const {
  const std::string settled = settled_version(value.order.service);
  // The oldest version may be the target, so without knowledge every other one is allowed.
  return settled.empty() || settled == value.order.target_version || version == settled;
}

std::vector<rollout_progress> rollout_conductor::progress() const {
  std::vector<rollout_progress> all;
  for (const auto& [service, value] : rollouts_) {
    all.push_back({value.id, value.share_permille, value.phase, value.recorded_era,
                   shared_.now - value.started});
  }
  return all;
}

} // namespace arbutuslb::core::gateway
