// The part of the gate that follows the life of its upstream: heartbeats, departures and deaths.

#include "arbutuslb/core/base/hash.h"
#include "arbutuslb/core/gateway/request_fingerprint.h"
#include "arbutuslb/core/gateway/upstream_gate.h"

#include <algorithm>

namespace arbutuslb::core::gateway {
namespace {

// The upstream of a domain that is no longer withdrawn is treated as cold for this time or until
// shortly after its next heartbeat.
constexpr std::chrono::seconds assumed_cold_time{3};
// A departure is acknowledged after this time even if it is not recorded: the upstream repeats its
// message elsewhere after a second without an acknowledgement.
constexpr std::chrono::milliseconds departure_record_timeout{700};
// Longest delay before a departure is submitted again.
constexpr std::chrono::milliseconds max_departure_retry_delay{3200};
// An upstream may go on with a cancelled request, or start again after its death, within this time.
constexpr std::chrono::seconds unfinished_retention{2};
constexpr std::size_t max_unfinished = 32;

// Returns true if the heartbeat is not one of the local upstream; it is not acknowledged.
bool is_of_other_writer(heartbeat_verdict verdict) {
  return verdict == heartbeat_verdict::foreign || verdict == heartbeat_verdict::other_service ||
         verdict == heartbeat_verdict::contradictory;
}

} // namespace

// --- heartbeats and departures ---

void upstream_gate::on_heartbeat(const heartbeat_received& value) {
  const std::optional<registered_upstream> previous = shared_.registry.upstream();
  const heartbeat_verdict verdict = shared_.registry.on_heartbeat(value.content, shared_.now);
  const bool is_accepted = verdict == heartbeat_verdict::accepted;
  if (is_accepted && value.content.state != upstream_lifecycle::ready) {
    const bool is_first = !previous || previous->state == upstream_lifecycle::ready;
    if (is_first) {
      departure_era_.reset();
    }
    acknowledge_after_recording(value.token);
  } else {
    shared_.add_action(
        acknowledge_heartbeat{value.token, !is_of_other_writer(verdict), to_string(verdict)});
  }
  if (!is_accepted) {
    ++shared_.totals.heartbeats_refused;
    shared_.write(engine::severity::warning, "heartbeat_ignored",
                  {{"instance", value.content.instance_id},
                   {"service", value.content.service},
                   {"domain", value.content.domain},
                   {"sequence", std::to_string(value.content.sequence)},
                   {"reason", to_string(verdict)}});
    return;
  }
  const registered_upstream& upstream = *shared_.registry.upstream();
  const bool is_new = !previous || previous->instance_id != upstream.instance_id ||
                      previous->started_ms != upstream.started_ms;
  const bool is_cold_time_relevant =
      previous && (shared_.now < previous->cold_until || value.content.cold_for > duration::zero());
  if (!is_new && is_cold_time_relevant) {
    const duration expected = std::max(duration::zero(), previous->cold_until - shared_.now);
    shared_.write(engine::severity::info, "cold_time_reported",
                  {{"instance", upstream.instance_id},
                   {"cold_ms", std::to_string(to_milliseconds(value.content.cold_for))},
                   {"expected_ms", std::to_string(to_milliseconds(expected))},
                   {"sequence", std::to_string(upstream.sequence)}});
  }
  if (is_new || previous->state != upstream.state) {
    shared_.is_report_due = true;
    shared_.write(engine::severity::info, "upstream_state",
                  {{"instance", upstream.instance_id},
                   {"service", shared_.settings.service},
                   {"version", upstream.version},
                   {"state", upstream.state == upstream_lifecycle::ready ? "ready" : "draining"},
                   {"cold_ms", std::to_string(to_milliseconds(value.content.cold_for))},
                   {"sequence", std::to_string(upstream.sequence)}});
  }
  if (is_new && previous && previous->state == upstream_lifecycle::ready && has_unfinished()) {
    const upstream_incarnation former{previous->instance_id, previous->started_ms};
    if (former != died_) {
      on_upstream_died(former); // and has started again before a probe could tell
    }
  }
  if (is_new) {
    failed_share_ = 0;
    route_means_.clear();
    limit_.reset();
    stated_limit_.reset();
    last_notice_ = {};
  }
  if (upstream.state != upstream_lifecycle::ready) {
    refuse_queued("upstream is leaving");
  } else {
    start_queued();
  }
}

void upstream_gate::on_deregistration(const deregistration_received& value) {
  const std::optional<upstream_incarnation> previous = shared_.registry.departed();
  const bool is_registered = shared_.registry.on_deregistration(value.instance_id, shared_.now);
  if (!previous || previous->instance_id != value.instance_id) {
    departure_era_.reset();
  }
  acknowledge_after_recording(value.token);
  shared_.write(engine::severity::info, "upstream_state",
                {{"instance", value.instance_id},
                 {"state", "gone"},
                 {"known", is_registered ? "true" : "false"}});
  shared_.is_report_due = true;
  if (is_registered) {
    refuse_queued("upstream is leaving");
  }
}

void upstream_gate::acknowledge_after_recording(std::uint64_t token) {
  if (departure_tokens_.empty()) {
    departure_started_ = shared_.now;
    next_departure_record_ = shared_.now;
    departure_retry_delay_ = first_departure_retry_delay;
  }
  departure_tokens_.push_back(token);
  advance_departure();
}

void upstream_gate::advance_departure() {
  if (!shared_.registry.departed()) {
    return;
  }
  if (is_departure_recorded()) {
    send_acknowledgements("recorded");
    return;
  }
  if (!is_recording_departure_ && shared_.now >= next_departure_record_) {
    is_recording_departure_ = true;
    shared_.add_action(record_departure{*shared_.registry.departed()});
  }
  if (!departure_tokens_.empty() && shared_.now - departure_started_ >= departure_record_timeout) {
    send_acknowledgements("not recorded in time");
  }
}

bool upstream_gate::is_departure_recorded() const {
  return departure_era_ && *departure_era_ >= shared_.operator_records.end().era;
}

void upstream_gate::on_departure_restored(std::uint64_t era) {
  departure_era_ = era;
}

void upstream_gate::on_departure_recorded(const departure_recorded& value) {
  is_recording_departure_ = false;
  next_departure_record_ = shared_.now + departure_retry_delay_;
  departure_retry_delay_ =
      std::min<duration>(2 * departure_retry_delay_, max_departure_retry_delay);
  const std::optional<upstream_incarnation>& departed = shared_.registry.departed();
  const bool is_current = departed && departed->instance_id == value.departed.instance_id &&
                          departed->started_ms == value.departed.started_ms;
  if (is_current && value.is_recorded) {
    departure_era_ = value.era;
  }
  advance_departure();
}

void upstream_gate::send_acknowledgements(const std::string& reason) {
  for (const std::uint64_t token : std::exchange(departure_tokens_, {})) {
    shared_.add_action(acknowledge_heartbeat{token, true, reason});
    shared_.write(engine::severity::info, "departure_acknowledged",
                  {{"instance", shared_.registry.departed()->instance_id},
                   {"after_ms", std::to_string(to_milliseconds(shared_.now - departure_started_))},
                   {"reason", reason}});
  }
}

void upstream_gate::on_operator_records() {
  const bool is_withdrawn = shared_.operator_records.is_withdrawn(shared_.settings.domain);
  if (was_withdrawn_ != is_withdrawn) {
    shared_.is_report_due = true;
    if (is_withdrawn) {
      refuse_queued("failure domain is withdrawn");
    } else {
      shared_.registry.assume_cold(shared_.now + assumed_cold_time);
    }
  }
  was_withdrawn_ = is_withdrawn;
}

// --- deaths ---

void upstream_gate::identify(execution& item) {
  if (item.suspicion.fingerprint == 0) {
    item.suspicion.fingerprint = fingerprint_of(item.request.content);
  }
}

void upstream_gate::clear_suspicion(const execution& answered) {
  const std::optional<calls::suspicion> cleared =
      shared_.containment.on_answer(answered.request.content, shared_.now);
  if (!cleared) {
    return;
  }
  ++shared_.totals.suspicions_cleared;
  if (shared_.containment.is_isolated(*cleared)) {
    shared_.is_report_due = true; // all daemons treat the request specially
  }
  shared_.write(engine::severity::info, "suspicion_cleared",
                {{"id", answered.request.content.attempt_id},
                 {"fingerprint", to_hexadecimal(cleared->fingerprint)},
                 {"deaths", std::to_string(cleared->deaths())}});
}

void upstream_gate::hold_interrupted(execution ended, run_result result) {
  interrupted_.push_back({std::move(ended), std::move(result)});
  probe();
}

void upstream_gate::probe() {
  if (!is_probing_) {
    is_probing_ = true;
    shared_.add_action(probe_upstream{});
  }
}

bool upstream_gate::has_unfinished() const {
  return !unfinished_.empty() && shared_.now - unfinished_.back().since < unfinished_retention;
}

void upstream_gate::remember_unfinished(execution item) {
  identify(item);
  item.request.content.message = {}; // its body may be large
  unfinished_.push_back({std::move(item), shared_.now});
  if (unfinished_.size() > max_unfinished) {
    unfinished_.pop_front();
  }
}

void upstream_gate::on_upstream_probed(const upstream_probed& value) {
  is_probing_ = false;
  const std::optional<registered_upstream>& upstream = shared_.registry.upstream();
  // An upstream that leaves ends by itself.
  if (value.outcome == probe_outcome::refused && upstream &&
      upstream->state == upstream_lifecycle::ready) {
    const upstream_incarnation current{upstream->instance_id, upstream->started_ms};
    const bool is_earlier =
        !interrupted_.empty() && interrupted_.front().ended.upstream() != current;
    if (current != died_ && !is_earlier) {
      shared_.registry.on_unreachable();
      on_upstream_died(current);
      refuse_queued("upstream died");
    }
  }
  for (interruption& item : std::exchange(interrupted_, {})) {
    if (item.ended.upstream() == died_) {
      item.result.reason = "upstream died";
    } else {
      remember_unfinished(item.ended); // it may have started again already
    }
    if (!item.ended.is_abandoned) {
      reply(item.ended, std::move(item.result));
    }
  }
  if (isolated_token_ && !executions_.contains(*isolated_token_)) {
    isolated_token_.reset();
  }
  start_queued();
}

void upstream_gate::on_upstream_died(const upstream_incarnation& died) {
  ++shared_.totals.upstream_deaths;
  died_ = died;
  isolated_token_.reset();
  std::vector<calls::suspicion> running;
  std::string requests;
  const auto add = [&](execution& item) {
    if (item.attempt == 0 || item.upstream() != died_) {
      return;
    }
    identify(item);
    running.push_back(item.suspicion);
    requests += requests.empty() ? "" : ",";
    requests += item.request.content.attempt_id + ":" + to_hexadecimal(item.suspicion.fingerprint) +
                ":" + std::to_string(item.suspicion.deaths()) + ":" +
                std::to_string(to_milliseconds(shared_.now - item.started));
  };
  for (interruption& item : interrupted_) {
    add(item.ended);
  }
  for (auto& [token, item] : executions_) {
    add(item);
  }
  for (unfinished_execution& item : unfinished_) {
    if (shared_.now - item.since < unfinished_retention) {
      add(item.content);
    }
  }
  unfinished_.clear();
  const std::vector<calls::suspicion> suspicions =
      shared_.containment.on_death(running, *died_, shared_.now);
  shared_.totals.suspicions += suspicions.size();
  shared_.write(engine::severity::warning, "upstream_died",
                {{"instance", died_->instance_id},
                 {"cold", shared_.registry.is_cold(shared_.now) ? "true" : "false"},
                 {"recent", std::to_string(queue_.recent_starts(shared_.now))},
                 {"rate", std::to_string(queue_.rate())},
                 {"interrupted", std::to_string(running.size())},
                 {"suspects", std::to_string(suspicions.size())},
                 {"requests", requests}});
  shared_.is_report_due = true;
  shared_.is_suspicion_record_due = shared_.is_suspicion_record_due || !suspicions.empty();
}

} // namespace arbutuslb::core::gateway
