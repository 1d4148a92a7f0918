#include "arbutuslb/core/gateway/request_router.h"

#include "arbutuslb/core/base/hash.h"

#include <algorithm>
#include <cstdio>

namespace arbutuslb::core::gateway {
namespace {

constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int first_error_status = 500;

// What a caller is asked to wait when nothing better is known.
constexpr std::chrono::milliseconds default_retry_after{150};
constexpr std::chrono::milliseconds no_configuration_retry_after{500};
// A gate that refused for lack of room is left out this long.
constexpr std::chrono::milliseconds refused_pause{20};
// A request is taken back from a peer that has been silent for this long.
constexpr std::chrono::milliseconds sending_silence_limit{3500};
// The gate answers at the deadline; its answer has this long to arrive.
constexpr std::chrono::milliseconds answer_grace{60};
// The budget is shared by all daemons, and the calls that a repeated run makes count as repeats at
// the services that it calls: each daemon spends this part of its share.
constexpr double own_budget_fraction = 0.5;
// A request that may run again is taken back from an upstream that has had it for the route's
// target latency and this multiple of the service's mean time.
constexpr int patience_multiple = 4;
// Weight of the newest request in the mean size of its route.
constexpr double size_weight = 0.1;

} // namespace

request_router::request_router(gateway_context& shared, rollout_conductor& rollouts)
    : shared_(shared), rollouts_(rollouts) {}

void request_router::on_call(call_received received) {
  ++shared_.totals.calls;
  pending_call fresh;
  fresh.token = received.token;
  fresh.content = std::move(received.content);
  fresh.began = shared_.now;
  fresh.configuration = shared_.operator_records.configuration();
  if (!fresh.configuration) {
    finish_with(fresh, status_unavailable, "no configuration yet", no_configuration_retry_after);
    return;
  }
  fresh.route = fresh.configuration->match(fresh.content.host, fresh.content.message.target);
  if (fresh.route == nullptr) {
    ++shared_.totals.not_found;
    finish_with(fresh, status_not_found, "no route", duration::zero());
    return;
  }
  const duration asked =
      fresh.content.time_left > duration::zero() ? fresh.content.time_left : fresh.route->timeout;
  fresh.answer_by = shared_.now + std::min(asked, fresh.route->timeout);
  fresh.service = splits_[fresh.route->name].next(fresh.route->split);
  fresh.wants_new_version = rollouts_.takes_new_version(fresh.service);
  const rollout_conductor::rollout* rollout = rollouts_.find(fresh.service);
  if (rollout != nullptr && rollout->phase == rollout_phase::running) {
    fresh.rollout_share_permille = rollout->share_permille;
  }
  const double own_extra =
      own_budget_fraction * shared_.settings.retry_extra /
      static_cast<double>(std::max<std::size_t>(1, shared_.directory.live_count(shared_.now)));
  budgets_.try_emplace(fresh.service, std::max(1.0, own_extra))
      .first->second.on_call(own_budget_fraction * shared_.settings.retry_ratio);
  dispatch(std::move(fresh));
}

upstream_query request_router::query_for(const pending_call& value) const {
  upstream_query query;
  query.service = value.service;
  query.route_hash = static_cast<std::uint32_t>(hash_bytes(value.route->name));
  query.target_latency = value.route->target_latency;
  query.tried = value.tried;
  query.rank = value.route->rank;
  const auto size = mean_sizes_.find(value.route->name);
  query.size = size == mean_sizes_.end() ? value.content.message.body.size()
                                         : static_cast<std::size_t>(size->second);
  // Nothing is refused before a gate was asked: room comes back within milliseconds.
  query.allows_refused = value.offers == 0;
  query.allows_version = [this, &value](const std::string& version) {
    return rollouts_.allows(value.service, version, value.wants_new_version);
  };
  return query;
}

std::optional<std::string> request_router::choose_host(pending_call& value) {
  const upstream_query query = query_for(value);
  std::optional<std::string> host = shared_.directory.choose(
      query, shared_.operator_records.withdrawn_domains(), shared_.now, shared_.random);
  const rollout_conductor::rollout* rollout = rollouts_.find(value.service);
  if (host || rollout == nullptr) {
    return host;
  }
  if (value.wants_new_version && rollout->phase == rollout_phase::running) {
    value.wants_new_version =
        false; // the old version is a refuge from the new one, not the reverse
    return shared_.directory.choose(query, shared_.operator_records.withdrawn_domains(),
                                    shared_.now, shared_.random);
  }
  return host;
}

bool request_router::has_alternative(const pending_call& value) {
  upstream_query query = query_for(value);
  query.allows_silent = false;
  return shared_.directory
      .choose(query, shared_.operator_records.withdrawn_domains(), shared_.now, shared_.random)
      .has_value();
}

void request_router::dispatch(pending_call value) {
  const std::optional<std::string> host = choose_host(value);
  if (!host) {
    if (value.last.reason.empty()) {
      value.last.outcome = run_outcome::not_executed;
      value.last.reason = "no upstream is known to be ready";
    }
    finish(value);
    return;
  }
  send(std::move(value), *host);
}

void request_router::send(pending_call value, const std::string& host) {
  const known_upstream* own = shared_.registry.known() ? &*shared_.registry.known() : nullptr;
  const auto peer = shared_.directory.peers().find(host);
  value.host = host;
  value.sent = shared_.now;
  value.attempt = shared_.next_id();
  value.tried.push_back(host);
  ++value.offers;
  run_request request;
  request.content = value.content;
  request.instance_id = peer->second.report.instance_id;
  request.caller_service = own != nullptr ? own->service : shared_.settings.service;
  request.route = value.route->name;
  request.rank = value.route->rank;
  request.is_idempotent = value.route->is_idempotent;
  request.time_left = value.answer_by - shared_.now;
  request.target_time_left = value.began + value.route->target_latency - shared_.now;
  request.rollout_share_permille = value.rollout_share_permille;
  request.is_retry = value.upstreams_reached > 0;
  const std::uint64_t attempt = value.attempt;
  attempts_[value.token] = attempt;
  shared_.directory.on_sent(host);
  pending_.emplace(attempt, std::move(value));
  if (host == shared_.settings.host) {
    local_requests_.push_back({attempt, std::move(request)});
  } else {
    shared_.add_action(send_to_peer{attempt, host, std::move(request)});
  }
}

bool request_router::on_sending_ended(const attempt_completed& end) {
  const auto found = pending_.find(end.attempt);
  if (found == pending_.end()) {
    return false;
  }
  pending_call value = std::move(found->second);
  pending_.erase(found);
  attempts_.erase(value.token);
  shared_.directory.on_ended(value.host);
  if (end.is_unreachable) {
    shared_.directory.on_unreachable(value.host, shared_.now);
  } else if (end.result.outcome != run_outcome::unknown) {
    shared_.directory.on_reachable(value.host);
  }
  if (end.result.in_flight >= 0) {
    shared_.directory.on_load(value.host, end.result.in_flight, end.result.waiting, shared_.now);
  }
  if (end.result.outcome == run_outcome::not_executed && !end.is_unreachable) {
    shared_.directory.on_refused(value.host, value.route->rank, shared_.now + refused_pause,
                                 shared_.now);
  }
  value.last = end.result;
  if (end.result.reached_upstream) {
    ++value.upstreams_reached;
  }
  value.may_have_executed = value.may_have_executed || end.result.outcome == run_outcome::unknown;
  continue_after(std::move(value));
  return true;
}

void request_router::continue_after(pending_call value) {
  const bool is_failure =
      value.last.outcome != run_outcome::answered || value.last.answer.status >= first_error_status;
  if (!is_failure || !may_send_again(value)) {
    finish(value);
    return;
  }
  const run_result kept = value.last;
  if (value.upstreams_reached > 0) {
    value.wants_new_version = false; // a weak new version costs a request one sending at most
  }
  const std::optional<std::string> host = choose_host(value);
  if (!host) {
    finish(value);
    return;
  }
  // Only a sending after the first that reaches an upstream draws on the budget.
  if (value.upstreams_reached > 0 && !budgets_[value.service].take()) {
    finish(value);
    return;
  }
  if (value.upstreams_reached > 0) {
    ++shared_.totals.repeats;
    shared_.write(engine::severity::info, "request_sent_again",
                  {{"id", value.content.attempt_id},
                   {"route", value.route->name},
                   {"from", value.host},
                   {"to", *host},
                   {"reason", kept.outcome == run_outcome::answered
                                  ? "status " + std::to_string(kept.answer.status)
                                  : kept.reason}});
  }
  send(std::move(value), *host);
}

bool request_router::may_send_again(const pending_call& value) {
  if (value.last.outcome != run_outcome::not_executed && !value.route->is_idempotent) {
    return false;
  }
  if (value.may_have_executed && !value.route->is_idempotent) {
    return false;
  }
  const duration left = value.answer_by - shared_.now;
  const duration needed = shared_.directory.mean_latency(value.service);
  return value.offers < max_offers && value.upstreams_reached < value.route->max_upstreams &&
         left > needed;
}

duration request_router::retry_after_of(const pending_call& value) {
  const duration base = std::max<duration>(value.last.retry_after, default_retry_after);
  return base / 2 + shared_.random.jitter(base);
}

void request_router::note_size(const pending_call& value) {
  const auto size =
      static_cast<double>(value.content.message.body.size() + value.last.answer.body.size());
  const auto [mean, is_first] = mean_sizes_.try_emplace(value.route->name, size);
  mean->second += size_weight * (size - mean->second);
}

void request_router::finish(const pending_call& value) {
  if (value.last.outcome == run_outcome::answered) {
    note_size(value);
    ++shared_.totals.answered;
    log_end(value, value.last.answer.status, "");
    shared_.add_action(answer_caller{value.token, value.last.answer});
    return;
  }
  if (value.last.outcome == run_outcome::not_executed && !value.may_have_executed) {
    ++shared_.totals.refused;
    finish_with(value, status_unavailable, value.last.reason, retry_after_of(value));
    return;
  }
  ++shared_.totals.unknown;
  const bool is_late = shared_.now >= value.answer_by;
  finish_with(value, is_late ? status_gateway_timeout : status_bad_gateway, value.last.reason,
              duration::zero());
}

void request_router::finish_with(const pending_call& value, int status, const std::string& reason,
                                 duration retry_after) {
  log_end(value, status, reason);
  answer_plain(value.token, status, retry_after);
}

void request_router::answer_plain(std::uint64_t token, int status, duration retry_after) {
  http_response answer;
  answer.status = status;
  if (retry_after > duration::zero()) {
    constexpr std::size_t text_size = 32;
    char text[text_size];
    std::snprintf(text, text_size, "%.3f", std::chrono::duration<double>(retry_after).count());
    answer.headers.emplace_back("Retry-After", text);
  }
  shared_.add_action(answer_caller{token, std::move(answer)});
}

void request_router::log_end(const pending_call& value, int status, const std::string& reason) {
  std::vector<std::pair<std::string, std::string>> fields{
      {"id", value.content.attempt_id},
      {"route", value.route == nullptr ? "" : value.route->name},
      {"service", value.service},
      {"host", value.host},
      {"status", std::to_string(status)},
      {"ms", std::to_string(to_milliseconds(shared_.now - value.began))},
      {"offers", std::to_string(value.offers)},
      {"config", value.configuration ? std::to_string(value.configuration->version) : "none"}};
  if (!reason.empty()) {
    fields.emplace_back("reason", reason);
  }
  shared_.write(engine::severity::info, "request_ended", std::move(fields));
}

void request_router::cancel(const pending_call& value) {
  if (value.host == shared_.settings.host) {
    local_cancels_.push_back(value.attempt);
  } else {
    shared_.add_action(cancel_attempt{value.attempt});
  }
}

void request_router::on_caller_left(std::uint64_t token) {
  const auto found = attempts_.find(token);
  if (found == attempts_.end()) {
    return;
  }
  const std::uint64_t attempt = found->second;
  attempts_.erase(found);
  const pending_call value = std::move(pending_.at(attempt));
  pending_.erase(attempt);
  ++shared_.totals.callers_disconnected;
  shared_.directory.on_ended(value.host);
  log_end(value, 0, "caller left");
  cancel(value);
}

// Takes a request back from a daemon that does not answer.
void request_router::stop_waiting(std::uint64_t attempt) {
  pending_call value = std::move(pending_.at(attempt));
  pending_.erase(attempt);
  attempts_.erase(value.token);
  shared_.directory.on_ended(value.host);
  cancel(value);
  value.last = run_result{};
  value.last.outcome = run_outcome::unknown;
  value.last.reason = shared_.now >= value.answer_by ? "deadline passed" : "no answer in time";
  // A peer that is heard is slow, not lost.
  if (shared_.now < value.answer_by && !shared_.directory.is_heard_since(value.host, value.sent)) {
    shared_.directory.on_unreachable(value.host, shared_.now);
  }
  value.may_have_executed = true;
  ++value.upstreams_reached;
  continue_after(std::move(value));
}

bool request_router::is_overdue(const pending_call& value) const {
  if (!value.route->is_idempotent || shared_.is_stopping ||
      value.upstreams_reached + 1 >= value.route->max_upstreams) {
    return false;
  }
  const duration mean = shared_.directory.mean_latency(value.service);
  const duration patience =
      std::max<duration>(value.route->target_latency, mean * patience_multiple);
  const auto budget = budgets_.find(value.service);
  return shared_.now - value.sent >= patience && value.answer_by - shared_.now >= 2 * mean &&
         budget != budgets_.end() && budget->second.has_token();
}

void request_router::on_tick() {
  std::vector<std::uint64_t> ended;
  // A daemon that hears hardly anybody may itself be slow or cut off.
  const bool hears_others =
      shared_.directory.live_count(shared_.now) * 2 > shared_.directory.peers().size();
  for (const auto& [attempt, value] : pending_) {
    const auto peer = shared_.directory.peers().find(value.host);
    const bool is_silent = peer == shared_.directory.peers().end() ||
                           shared_.now - peer->second.heard_at >= sending_silence_limit;
    if (shared_.now >= value.answer_by + answer_grace ||
        (is_overdue(value) && has_alternative(value)) ||
        (is_silent && hears_others && value.route->is_idempotent && !shared_.is_stopping)) {
      ended.push_back(attempt);
    }
  }
  for (const std::uint64_t attempt : ended) {
    stop_waiting(attempt);
  }
}

} // namespace arbutuslb::core::gateway
