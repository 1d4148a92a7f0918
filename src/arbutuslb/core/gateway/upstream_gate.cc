#include "arbutuslb/core/gateway/upstream_gate.h"

#include "arbutuslb/core/base/hash.h"
#include "arbutuslb/core/gateway/request_fingerprint.h"

#include <algorithm>

namespace arbutuslb::core::gateway {
namespace {

// Weight of the newest sample in the moving average.
constexpr double in_flight_weight = 0.05;
// A cancelled request that took longer than this multiple of its route's mean latency counts as not
// answered.
constexpr int silence_latency_multiple = 4;
// A request that cannot meet its target latency may still wait this long for a slot.
constexpr std::chrono::milliseconds min_useful_wait{100};
// Minimum retry-after time of a refusal.
constexpr std::chrono::milliseconds min_retry_after{50};
// Minimum time between the last request of a process that ends and the start of the next one.
constexpr std::chrono::milliseconds min_restart_time{200};
// Fraction of `cold_load_extra` that is used. The rest allows for requests that reach the upstream
// later than they were sent.
constexpr double usable_extra_fraction = 0.5;
// An upstream that takes nothing still receives some requests: only its answers tell when that
// ends.
constexpr double min_rate_limit = 1.0;
constexpr double permille = 1000.0;

} // namespace

upstream_gate::upstream_gate(gateway_context& shared, const rollout_conductor& rollouts)
    : shared_(shared), rollouts_(rollouts) {}

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
  if (verdict == crash_verdict::run) {
    submit(token);
  } else {
    hold_suspect(token);
    start_suspects();
  }
}

void upstream_gate::submit(std::uint64_t token) {
  update_limits();
  const execution& value = executions_.at(token);
  const int rank = value.request.rank;
  const std::string organisation = value.request.organisation;
  const queued_run waiting{token, rank, value.start_by, organisation,
                           route_mean(value.request.route)};
  switch (queue_.submit(waiting, shared_.now)) {
  case admission_verdict::run:
    start(token);
    break;
  case admission_verdict::queued:
    if (const std::optional<std::uint64_t> displaced = queue_.take_displaced(rank, shared_.now)) {
      ++shared_.totals.runs_displaced;
      const std::string owner = executions_.at(*displaced).request.organisation;
      withdraw(*displaced, "displaced by other organisations",
               queue_.expected_wait(rank, owner, shared_.now));
    }
    break;
  case admission_verdict::refused:
    withdraw(token, "upstream is full", queue_.expected_wait(rank, organisation, shared_.now));
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

void upstream_gate::hold_suspect(std::uint64_t token) {
  executions_.at(token).is_behind_suspect = true;
  held_suspects_.push_back(token);
}

bool upstream_gate::is_copy_running(std::uint64_t token) const {
  const std::uint64_t fingerprint = executions_.at(token).suspicion.fingerprint;
  const auto is_copy = [&](const execution& other) {
    if (other.upstream() == died_) {
      return false;
    }
    const call& content = other.request.content;
    return other.suspicion.fingerprint != 0 ? other.suspicion.fingerprint == fingerprint
                                            : target_tag(content) == tag_of(fingerprint) &&
                                                  fingerprint_of(content) == fingerprint;
  };
  const auto is_running_copy = [&](const auto& item) {
    return item.first != token && item.second.attempt != 0 && is_copy(item.second);
  };
  const auto is_interrupted_copy = [&](const interruption& item) { return is_copy(item.ended); };
  return std::any_of(executions_.begin(), executions_.end(), is_running_copy) ||
         std::any_of(interrupted_.begin(), interrupted_.end(), is_interrupted_copy);
}

bool upstream_gate::must_wait(std::uint64_t token) {
  execution& value = executions_.at(token);
  value.suspicion = suspicion_of(value.request); // may have changed since the request was accepted
  const crash_verdict verdict = shared_.containment.judge(value.suspicion);
  if (verdict == crash_verdict::run || verdict == crash_verdict::refuse) {
    return false;
  }
  const bool is_behind_isolated =
      verdict == crash_verdict::isolate && isolated_token_ && isolated_token_ != token;
  return is_behind_isolated || is_copy_running(token);
}

void upstream_gate::start_suspects() {
  for (const std::uint64_t token : std::exchange(held_suspects_, {})) {
    if (must_wait(token)) {
      held_suspects_.push_back(token);
      continue;
    }
    execution& value = executions_.at(token);
    value.is_behind_suspect = false;
    if (shared_.containment.judge(value.suspicion) == crash_verdict::isolate) {
      isolated_token_ = token;
    }
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
  if (shared_.operator_records.is_withdrawn(shared_.settings.domain)) {
    return "failure domain is withdrawn";
  }
  return mismatch_reason(request);
}

std::string upstream_gate::mismatch_reason(const run_request& request) const {
  const registered_upstream& upstream = *shared_.registry.upstream();
  if (upstream.instance_id != request.instance_id) {
    return "request is for another upstream instance";
  }
  const rollout_conductor::rollout* rollout = rollouts_.find(shared_.settings.service);
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
      shared_.operator_records.configuration()->find_service(shared_.settings.service);
  if (policy == nullptr || policy->cold_rate <= 0) {
    return 0; // the deployment states no rate for cold upstreams
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
  if (must_wait(token)) {
    queue_.release(std::nullopt);
    hold_suspect(token);
    return;
  }
  execution& value = executions_.at(token);
  const crash_verdict verdict = shared_.containment.judge(value.suspicion);
  const std::string mismatch = mismatch_reason(value.request);
  if (verdict == crash_verdict::refuse || !mismatch.empty()) {
    queue_.release(std::nullopt);
    withdraw(token, mismatch.empty() ? poison_reason : mismatch,
             mismatch.empty() ? duration{poison_retry_after} : duration::zero());
    return;
  }
  if (verdict == crash_verdict::isolate) {
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
  start_suspects();
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
  result.is_behind_suspect = refused.is_behind_suspect;
  std::vector<std::pair<std::string, std::string>> fields{
      {"id", refused.request.content.attempt_id},
      {"route", refused.request.route},
      {"rank", std::to_string(refused.request.rank)},
      {"reason", reason},
      {"in_flight", std::to_string(queue_.in_flight())},
      {"waiting", std::to_string(queue_.waiting())},
      {"limit", std::to_string(queue_.limit())}};
  if (!refused.request.organisation.empty()) {
    fields.emplace_back("organisation", refused.request.organisation);
  }
  shared_.write(engine::severity::info, "run_refused", std::move(fields));
  reply(refused, std::move(result));
}

void upstream_gate::refuse_queued(const std::string& reason) {
  std::vector<std::uint64_t> tokens = queue_.take_all();
  tokens.insert(tokens.end(), held_suspects_.begin(), held_suspects_.end());
  held_suspects_.clear();
  for (const std::uint64_t token : tokens) {
    execution& value = executions_.at(token);
    value.is_behind_suspect = value.is_behind_suspect && must_wait(token);
    value.suspicion = suspicion_of(value.request);
    const bool is_poison = shared_.containment.judge(value.suspicion) == crash_verdict::refuse;
    withdraw(token, is_poison ? poison_reason : reason,
             is_poison ? duration{poison_retry_after} : duration::zero());
  }
}

void upstream_gate::end_all(const std::string& reason) {
  refuse_queued(reason);
  run_result result;
  result.reached_upstream = true;
  result.reason = reason;
  for (const auto& [token, value] : executions_) {
    if (!value.is_local && !value.is_abandoned) {
      reply(value, result);
    }
  }
  for (const interruption& item : interrupted_) {
    if (!item.ended.is_local && !item.ended.is_abandoned) {
      reply(item.ended, result);
    }
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
  if (queue_.remove(token) || std::erase(held_suspects_, token) > 0) {
    forget_execution(token);
    start_suspects();
    return;
  }
  if (!value.request.is_idempotent || isolated_token_ == token) {
    value.is_abandoned = true;
    return;
  }
  count_usage(value);
  shared_.add_action(cancel_attempt{value.attempt});
  if (shared_.now - value.started >= silence_latency_multiple * route_mean(value.request.route)) {
    record_silence(value);
  }
  tokens_by_attempt_.erase(value.attempt);
  log_unanswered(value, "cancelled by the requester");
  record_evidence(value, execution_end::cancelled);
  remember_unfinished(std::move(value));
  executions_.erase(token);
  queue_.release(std::nullopt);
  start_queued();
}

void upstream_gate::on_tick() {
  for (const std::uint64_t token : queue_.take_expired(shared_.now)) {
    const run_request& request = executions_.at(token).request;
    const duration retry_after =
        queue_.expected_wait(request.rank, request.organisation, shared_.now);
    withdraw(token, "no slot became free in time", retry_after);
  }
  for (const std::uint64_t token : std::exchange(held_suspects_, {})) {
    if (executions_.at(token).start_by <= shared_.now) {
      withdraw(token, "another suspect is running", duration::zero());
    } else {
      held_suspects_.push_back(token);
    }
  }
  if (queue_.waiting() > 0 || !held_suspects_.empty()) {
    start_queued();
  }
  if (!departure_tokens_.empty() || !is_departure_recorded()) {
    advance_departure();
  }
  mean_in_flight_ += in_flight_weight * (queue_.in_flight() - mean_in_flight_);
  record_late_executions();
  if (shared_.settings.usage.is_enabled) {
    count_running_usage();
  }
}

void upstream_gate::describe(peer_report& report) {
  const std::optional<registered_upstream>& upstream = shared_.registry.upstream();
  report.service = shared_.settings.service;
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

} // namespace arbutuslb::core::gateway
