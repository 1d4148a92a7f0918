#include "arbutuslb/core/gateway/upstream_gate.h"

#include "arbutuslb/core/base/hash.h"
#include "arbutuslb/core/gateway/request_fingerprint.h"

#include <algorithm>

namespace arbutuslb::core::gateway {
namespace {

constexpr int first_error_status = 500;
// Weight of the newest sample in the moving averages.
constexpr double latency_weight = 0.1;
constexpr double failure_weight = 0.05;
constexpr double in_flight_weight = 0.05;
// A cancelled request that took longer than this multiple of its route's mean latency counts as not
// answered.
constexpr int silence_latency_multiple = 4;
// A request that cannot meet its target latency may still wait this long for a slot.
constexpr std::chrono::milliseconds min_useful_wait{100};
// Minimum retry-after time of a refusal.
constexpr std::chrono::milliseconds min_retry_after{50};
// The upstream of a domain that is no longer withdrawn is treated as cold for this time or until
// shortly after its next heartbeat.
constexpr std::chrono::seconds assumed_cold_time{3};
// Minimum time between the last request of a process that ends and the start of the next one.
constexpr std::chrono::milliseconds min_restart_time{200};
// Fraction of `cold_load_extra` that is used. The rest allows for requests that reach the upstream
// later than they were sent.
constexpr double usable_extra_fraction = 0.5;
// A departure is acknowledged after this time even if it is not recorded: the upstream repeats its
// message elsewhere after a second without an acknowledgement.
constexpr std::chrono::milliseconds departure_record_timeout{700};
// Delay before a departure is submitted again; it doubles with each refusal in a row.
constexpr std::chrono::milliseconds first_departure_retry_delay{200};
constexpr std::chrono::milliseconds max_departure_retry_delay{3200};
// An upstream that takes nothing still receives some requests: only its answers tell when that
// ends.
constexpr double min_rate_limit = 1.0;
constexpr double permille = 1000.0;
// An upstream may go on with a cancelled request, or start again after its death, within this time.
constexpr std::chrono::seconds unfinished_retention{2};
constexpr std::size_t max_unfinished = 32;

bool is_server_error(const run_result& result) {
  return result.outcome == run_outcome::answered && result.answer.status >= first_error_status;
}

} // namespace

upstream_gate::upstream_gate(gateway_context& shared, const rollout_conductor& rollouts)
    : shared_(shared), rollouts_(rollouts), departure_retry_delay_(first_departure_retry_delay) {}

// --- admission ---

void upstream_gate::on_peer_request(const run_requested& request) {
  accept(false, request.token, request.content);
}

void upstream_gate::on_local_request(std::uint64_t attempt, run_request request) {
  accept(true, attempt, std::move(request));
}

void upstream_gate::accept(bool is_local, std::uint64_t reply_token, run_request request) {
  const std::uint64_t token = shared_.next_id();
  execution incoming;
  incoming.is_local = is_local;
  incoming.reply_token = reply_token;
  incoming.received_at = shared_.now;
  incoming.request = std::move(request);
  const std::string reason = refusal_reason(incoming.request);
  if (!reason.empty()) {
    refuse(incoming, reason, duration::zero());
    return;
  }
  if (incoming.request.stated_rate_limit) {
    stated_limit_.on_peer_hint(*incoming.request.stated_rate_limit);
  }
  incoming.suspicion = suspicion_of(incoming.request);
  const crash_verdict verdict = shared_.containment.judge(incoming.suspicion);
  if (verdict == crash_verdict::refuse) {
    refuse(incoming, poison_reason, poison_retry_after);
    return;
  }
  incoming.start_by = latest_start(incoming.request);
  (is_local ? tokens_by_local_ : tokens_by_peer_)[reply_token] = token;
  executions_.emplace(token, std::move(incoming));
  if (verdict == crash_verdict::isolate) {
    isolated_waiting_.push_back(token);
    start_isolated();
    return;
  }
  submit(token);
}

void upstream_gate::submit(std::uint64_t token) {
  update_limits();
  const execution& value = executions_.at(token);
  const int rank = value.request.rank;
  switch (queue_.submit({token, rank, value.start_by}, shared_.now)) {
  case admission_verdict::run:
    start(token);
    break;
  case admission_verdict::queued:
    break;
  case admission_verdict::refused:
    withdraw(token, "upstream is full", queue_.expected_wait(rank, shared_.now));
    break;
  }
}

void upstream_gate::withdraw(std::uint64_t token, const std::string& reason, duration retry_after) {
  const execution refused = std::move(executions_.at(token));
  forget_execution(token);
  (refused.is_local ? tokens_by_local_ : tokens_by_peer_).erase(refused.reply_token);
  refuse(refused, reason, retry_after);
}

void upstream_gate::forget_execution(std::uint64_t token) {
  executions_.erase(token);
  if (isolated_token_ == token) {
    isolated_token_.reset();
  }
}

calls::suspicion upstream_gate::suspicion_of(const run_request& request) {
  if (request.suspicion.fingerprint == 0) {
    return shared_.containment.find(request.content, shared_.now);
  }
  shared_.containment.merge(request.suspicion, shared_.now);
  return shared_.containment.find(request.suspicion.fingerprint, shared_.now);
}

void upstream_gate::start_isolated() {
  while (!isolated_token_ && !isolated_waiting_.empty()) {
    const std::uint64_t token = isolated_waiting_.front();
    isolated_waiting_.pop_front();
    isolated_token_ = token;
    submit(token);
  }
}

std::string upstream_gate::refusal_reason(const run_request& request) const {
  if (shared_.is_stopping) {
    return "daemon is leaving";
  }
  if (!shared_.operator_records.configuration()) {
    return "no configuration yet";
  }
  if (!shared_.registry.is_usable(shared_.now)) {
    return "upstream is not ready";
  }
  const registered_upstream& upstream = *shared_.registry.upstream();
  if (upstream.instance_id != request.instance_id) {
    return "request is for another upstream instance";
  }
  if (shared_.operator_records.is_withdrawn(shared_.settings.domain)) {
    return "failure domain is withdrawn";
  }
  const rollout_conductor::rollout* rollout = rollouts_.find(upstream.service);
  if (rollout != nullptr && rollout->phase == rollout_phase::rolled_back &&
      upstream.version == rollout->order.target_version) {
    return "version was rolled back";
  }
  return {};
}

duration upstream_gate::route_mean(const std::string& route) const {
  const auto found = route_means_.find(route);
  return found == route_means_.end() ? queue_.mean_latency()
                                     : duration{static_cast<duration::rep>(found->second)};
}

time_point upstream_gate::latest_start(const run_request& request) const {
  const duration mean = route_mean(request.route);
  const duration useful = std::max<duration>(request.target_time_left - mean, min_useful_wait);
  const duration possible = request.time_left - mean;
  return shared_.now + std::max(duration::zero(), std::min(useful, possible));
}

void upstream_gate::update_limits() {
  const std::optional<registered_upstream>& upstream = shared_.registry.upstream();
  if (!upstream) {
    return;
  }
  limit_.set_stated(upstream->slots);
  queue_.set_limit(limit_.value());
  const double rate = rate_limit();
  if (rate != queue_.rate()) {
    shared_.write(engine::severity::info, "rate_limit_changed",
                  {{"instance", upstream->instance_id},
                   {"from", std::to_string(queue_.rate())},
                   {"to", std::to_string(rate)},
                   {"waiting", std::to_string(queue_.waiting())}});
  }
  queue_.set_rate(rate);
}

double upstream_gate::cold_rate() const {
  const std::optional<registered_upstream>& upstream = shared_.registry.upstream();
  if (!upstream || !shared_.registry.is_cold(shared_.now) ||
      !shared_.operator_records.configuration()) {
    return 0;
  }
  const service_policy* policy =
      shared_.operator_records.configuration()->find_service(upstream->service);
  if (policy == nullptr) {
    return 0;
  }
  const double extra = usable_extra_fraction * shared_.settings.cold_load_extra;
  // A process that has just started does not know how much the previous one sent to an upstream
  // that was running before.
  const bool may_have_served =
      shared_.now - shared_.started < rate_window &&
      upstream->started_ms < to_epoch_milliseconds(shared_.started - min_restart_time);
  if (may_have_served) {
    return std::max(extra, min_rate_limit);
  }
  return policy->cold_rate * shared_.settings.cold_load_factor + extra;
}

double upstream_gate::rate_limit() const {
  const double cold = cold_rate();
  if (!stated_limit_.value()) {
    return cold;
  }
  const double stated = std::max(*stated_limit_.value(), min_rate_limit);
  return cold > 0 ? std::min(cold, stated) : stated;
}

void upstream_gate::start(std::uint64_t token) {
  execution& value = executions_.at(token);
  // Other executions or peers may have changed what is known since the request was accepted.
  value.suspicion = suspicion_of(value.request);
  const crash_verdict verdict = shared_.containment.judge(value.suspicion);
  if (verdict == crash_verdict::refuse) {
    queue_.release(std::nullopt);
    withdraw(token, poison_reason, poison_retry_after);
    return;
  }
  if (verdict == crash_verdict::isolate) {
    if (isolated_token_ && isolated_token_ != token) {
      queue_.release(std::nullopt);
      isolated_waiting_.push_back(token);
      return;
    }
    isolated_token_ = token;
    ++shared_.totals.isolated_runs;
  } else if (isolated_token_ == token) {
    isolated_token_.reset();
  }
  value.attempt = shared_.next_id();
  value.started = shared_.now;
  value.upstream_started_ms = shared_.registry.upstream()->started_ms;
  tokens_by_attempt_[value.attempt] = token;
  ++shared_.totals.runs;
  send_to_upstream outgoing;
  outgoing.attempt = value.attempt;
  outgoing.address = shared_.registry.upstream()->address;
  outgoing.request = value.request;
  outgoing.request.time_left -= shared_.now - value.received_at;
  shared_.add_action(std::move(outgoing));
}

void upstream_gate::start_queued() {
  if (!shared_.registry.is_usable(shared_.now)) {
    refuse_queued("upstream is not ready");
    return;
  }
  update_limits();
  for (std::optional<std::uint64_t> token = queue_.next(shared_.now); token;
       token = queue_.next(shared_.now)) {
    start(*token);
  }
  start_isolated();
}

void upstream_gate::on_attempt_written(const attempt_written& written) {
  const auto found = tokens_by_attempt_.find(written.attempt);
  if (found == tokens_by_attempt_.end() || queue_.rate() <= 0) {
    return;
  }
  const execution& value = executions_.at(found->second);
  shared_.write(engine::severity::info, "limited_run_written",
                {{"id", value.request.content.attempt_id},
                 {"queued_ms", std::to_string(to_milliseconds(value.started - value.received_at))},
                 {"write_ms", std::to_string(to_milliseconds(shared_.now - value.started))},
                 {"recent", std::to_string(queue_.recent_starts(shared_.now))},
                 {"rate", std::to_string(queue_.rate())}});
}

// --- completion ---

bool upstream_gate::on_attempt_completed(const attempt_completed& end) {
  const auto found = tokens_by_attempt_.find(end.attempt);
  if (found == tokens_by_attempt_.end()) {
    return false;
  }
  const std::uint64_t token = found->second;
  tokens_by_attempt_.erase(found);
  execution ended = std::move(executions_.at(token));
  executions_.erase(token);
  (ended.is_local ? tokens_by_local_ : tokens_by_peer_).erase(ended.reply_token);
  record_completion(ended, end);
  if (end.is_broken && ended.upstream() != died_) {
    hold_interrupted(std::move(ended), end.result); // an isolated suspect remains the only one
  } else {
    if (isolated_token_ == token) {
      isolated_token_.reset();
    }
    if (!ended.is_abandoned) {
      reply(ended, end.result);
    }
  }
  start_queued();
  return true;
}

void upstream_gate::record_completion(const execution& ended, const attempt_completed& end) {
  const duration latency = shared_.now - ended.started;
  const bool is_answer = end.result.outcome == run_outcome::answered;
  queue_.release(is_answer ? std::optional<duration>(latency) : std::nullopt);
  const bool has_failed = !is_answer || is_server_error(end.result);
  failed_share_ += failure_weight * ((has_failed ? 1.0 : 0.0) - failed_share_);
  if (end.is_unreachable) {
    shared_.registry.on_unreachable();
    shared_.is_report_due = true;
    shared_.write(engine::severity::warning, "upstream_unreachable",
                  {{"instance", ended.request.instance_id}});
    if (has_unfinished()) {
      probe(); // no connection broke if only cancelled requests were running
    }
  }
  if (end.is_silent) {
    record_silence(ended);
  }
  if (end.result.notice) {
    record_notice(ended, *end.result.notice);
  }
  if (!is_answer) {
    return;
  }
  clear_suspicion(ended);
  limit_.on_answer(ended.started, shared_.now);
  shared_.registry.on_response(shared_.now);
  const double sample = static_cast<double>(latency.count());
  const auto [mean, is_first] = route_means_.try_emplace(ended.request.route, sample);
  mean->second += latency_weight * (sample - mean->second);
  if (ended.request.rollout_share_permille >= 0) {
    evidence_.record_execution(
        ended.request.route, ended.request.rollout_share_permille,
        has_failed ? moves::execution_outcome::error : moves::execution_outcome::good, latency);
  }
}

void upstream_gate::record_notice(const execution& ended, const upstream_notice& notice) {
  stated_limit_.on_answer(notice.rate_limit, ended.started, shared_.now);
  const upstream_incarnation sender{ended.request.instance_id, ended.upstream_started_ms};
  if (notice.is_leaving && shared_.registry.on_leaving(sender, shared_.now)) {
    departure_era_.reset();
    shared_.is_report_due = true;
    refuse_queued("upstream is leaving");
  }
  if (notice == last_notice_) {
    return;
  }
  last_notice_ = notice;
  shared_.write(engine::severity::info, "upstream_notice",
                {{"instance", ended.request.instance_id},
                 {"id", ended.request.content.attempt_id},
                 {"rate_limit", notice.rate_limit ? std::to_string(*notice.rate_limit) : "none"},
                 {"leaving", notice.is_leaving ? "true" : "false"}});
}

void upstream_gate::record_silence(const execution& ended) {
  const int before = limit_.value();
  limit_.on_silence(ended.started, shared_.now);
  if (limit_.value() < before) {
    shared_.write(engine::severity::warning, "limit_lowered",
                  {{"instance", ended.request.instance_id},
                   {"id", ended.request.content.attempt_id},
                   {"from", std::to_string(before)},
                   {"to", std::to_string(limit_.value())},
                   {"silent_ms", std::to_string(to_milliseconds(shared_.now - ended.started))}});
  }
}

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
  if (shared_.containment.judge(*cleared) != crash_verdict::run) {
    shared_.is_report_due = true; // all daemons treat the request specially
  }
  shared_.write(engine::severity::info, "suspicion_cleared",
                {{"id", answered.request.content.attempt_id},
                 {"fingerprint", to_hexadecimal(cleared->fingerprint)},
                 {"deaths", std::to_string(cleared->deaths)}});
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
  std::vector<calls::suspicion> running;
  std::string requests;
  const auto add = [&](execution& item) {
    if (item.attempt == 0 || item.upstream() != died_) {
      return;
    }
    identify(item);
    if (item.request.is_retry) {
      // Deaths under one attempt of a caller form a chain, even if its executions overlapped.
      item.suspicion = shared_.containment.find(item.suspicion.fingerprint, shared_.now);
    }
    running.push_back(item.suspicion);
    requests += requests.empty() ? "" : ",";
    requests += item.request.content.attempt_id + ":" + to_hexadecimal(item.suspicion.fingerprint) +
                ":" + std::to_string(item.suspicion.deaths) + ":" +
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
      shared_.containment.on_death(running, shared_.now);
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

void upstream_gate::reply(const execution& ended, run_result result) {
  result.in_flight = queue_.in_flight();
  result.waiting = static_cast<int>(queue_.waiting());
  if (ended.suspicion.fingerprint != 0) {
    result.suspicion = shared_.containment.find(ended.suspicion.fingerprint, shared_.now);
  }
  if (ended.is_local) {
    local_results_.push_back({ended.reply_token, std::move(result)});
  } else {
    shared_.add_action(answer_peer{ended.reply_token, std::move(result)});
  }
}

void upstream_gate::refuse(const execution& refused, const std::string& reason,
                           duration retry_after) {
  ++shared_.totals.runs_refused;
  run_result result;
  result.outcome = run_outcome::not_executed;
  result.reason = reason;
  result.retry_after = std::max<duration>(retry_after, min_retry_after);
  shared_.write(engine::severity::info, "run_refused",
                {{"id", refused.request.content.attempt_id},
                 {"route", refused.request.route},
                 {"rank", std::to_string(refused.request.rank)},
                 {"reason", reason},
                 {"in_flight", std::to_string(queue_.in_flight())},
                 {"waiting", std::to_string(queue_.waiting())},
                 {"limit", std::to_string(queue_.limit())}});
  reply(refused, std::move(result));
}

void upstream_gate::refuse_queued(const std::string& reason) {
  std::vector<std::uint64_t> tokens = queue_.take_all();
  tokens.insert(tokens.end(), isolated_waiting_.begin(), isolated_waiting_.end());
  isolated_waiting_.clear();
  for (const std::uint64_t token : tokens) {
    execution& value = executions_.at(token);
    value.suspicion = suspicion_of(value.request);
    const bool is_poison = shared_.containment.judge(value.suspicion) == crash_verdict::refuse;
    withdraw(token, is_poison ? poison_reason : reason,
             is_poison ? duration{poison_retry_after} : duration::zero());
  }
}

void upstream_gate::on_peer_disconnected(std::uint64_t token) {
  abandon(false, token);
}

void upstream_gate::cancel_local(std::uint64_t attempt) {
  abandon(true, attempt);
}

// Drops a queued request. Cancels a running one only if it is idempotent and not isolated: for the
// others, a known outcome matters more than a free slot.
void upstream_gate::abandon(bool is_local, std::uint64_t reply_token) {
  std::map<std::uint64_t, std::uint64_t>& tokens = is_local ? tokens_by_local_ : tokens_by_peer_;
  const auto found = tokens.find(reply_token);
  if (found == tokens.end()) {
    return;
  }
  const std::uint64_t token = found->second;
  tokens.erase(found);
  execution& value = executions_.at(token);
  if (queue_.remove(token) || std::erase(isolated_waiting_, token) > 0) {
    forget_execution(token);
    start_isolated();
    return;
  }
  if (!value.request.is_idempotent || isolated_token_ == token) {
    value.is_abandoned = true;
    return;
  }
  shared_.add_action(cancel_attempt{value.attempt});
  if (shared_.now - value.started >= silence_latency_multiple * route_mean(value.request.route)) {
    record_silence(value);
  }
  tokens_by_attempt_.erase(value.attempt);
  remember_unfinished(std::move(value));
  executions_.erase(token);
  queue_.release(std::nullopt);
  start_queued();
}

// --- lifecycle of the upstream ---

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
    shared_.add_action(acknowledge_heartbeat{value.token, verdict != heartbeat_verdict::foreign,
                                             to_string(verdict)});
  }
  if (!is_accepted) {
    ++shared_.totals.heartbeats_refused;
    shared_.write(engine::severity::warning, "heartbeat_ignored",
                  {{"instance", value.content.instance_id},
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
                   {"service", upstream.service},
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

void upstream_gate::on_tick() {
  for (const std::uint64_t token : queue_.take_expired(shared_.now)) {
    const int rank = executions_.at(token).request.rank;
    withdraw(token, "no slot became free in time", queue_.expected_wait(rank, shared_.now));
  }
  while (!isolated_waiting_.empty() &&
         executions_.at(isolated_waiting_.front()).start_by <= shared_.now) {
    const std::uint64_t token = isolated_waiting_.front();
    isolated_waiting_.pop_front();
    withdraw(token, "another suspect is running", duration::zero());
  }
  if (queue_.waiting() > 0) {
    start_queued();
  }
  if (!departure_tokens_.empty() || !is_departure_recorded()) {
    advance_departure();
  }
  mean_in_flight_ += in_flight_weight * (queue_.in_flight() - mean_in_flight_);
}

void upstream_gate::describe(peer_report& report) {
  const std::optional<registered_upstream>& upstream = shared_.registry.upstream();
  report.service = upstream ? upstream->service : shared_.settings.service;
  if (!upstream) {
    return;
  }
  update_limits();
  report.instance_id = upstream->instance_id;
  report.version = upstream->version;
  report.upstream_started_ms = upstream->started_ms;
  report.is_usable = shared_.operator_records.configuration() &&
                     shared_.registry.is_usable(shared_.now) &&
                     !shared_.operator_records.is_withdrawn(shared_.settings.domain);
  report.limit = queue_.limit();
  report.in_flight = queue_.in_flight();
  report.waiting = static_cast<int>(queue_.waiting());
  report.failed_permille = static_cast<int>(permille * failed_share_);
  report.mean_latency = queue_.mean_latency();
  for (const auto& [route, mean] : route_means_) {
    report.routes.push_back({static_cast<std::uint32_t>(hash_bytes(route)),
                             duration{static_cast<duration::rep>(mean)}});
  }
  report.rate_limit = rate_limit();
}

std::optional<protocol::evidence_report> upstream_gate::rollout_evidence() {
  const std::optional<registered_upstream>& upstream = shared_.registry.upstream();
  const rollout_conductor::rollout* rollout =
      upstream ? rollouts_.find(upstream->service) : nullptr;
  if (rollout == nullptr || rollout->phase != rollout_phase::running) {
    return std::nullopt;
  }
  if (evidence_rollout_ != rollout->number) {
    evidence_rollout_ = rollout->number;
    evidence_ = {};
  }
  protocol::evidence_report evidence;
  evidence.move_id = rollout->id;
  evidence.version = rollout_conductor::label_of(*rollout, upstream->version);
  evidence.cells = evidence_.cells();
  evidence.limit = queue_.limit();
  evidence.mean_in_flight = mean_in_flight_;
  return evidence;
}

} // namespace arbutuslb::core::gateway
