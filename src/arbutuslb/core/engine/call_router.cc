#include "arbutuslb/core/engine/call_router.h"

#include "arbutuslb/core/base/hash.h"

#include <algorithm>

namespace arbutuslb::core::engine {
namespace {

using calls::key_result;
using calls::key_state;
using calls::minted_key;
using protocol::call_outcome;
using protocol::call_reply;
using protocol::call_request;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_too_large = 413;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int first_error_status = 500;

std::uint64_t fingerprint_of(const std::string& service, const protocol::call_content& content) {
  const std::uint64_t seed = hash_bytes(service + " " + content.method + " " + content.path);
  return hash_bytes(content.body, seed);
}

key_result not_executed(std::string reason) {
  return {call_outcome::not_executed, std::move(reason), {status_unavailable, "", ""}};
}

key_result unknown(std::string reason) {
  return {call_outcome::unknown, std::move(reason), {status_gateway_timeout, "", ""}};
}

} // namespace

call_router::call_router(context& shared, calls::poison_registry& poison)
    : shared_(shared), poison_(poison), directory_(shared.self.id, shared.settings.domain) {}

// --- receiving calls ---

std::string call_router::refusal_reason(const call_received& call) const {
  if (shared_.is_stopping) {
    return "daemon is leaving";
  }
  if (!shared_.is_ready) {
    return "no configuration yet";
  }
  return call.content.depth > max_call_depth ? "call depth exceeds the limit" : "";
}

void call_router::on_call(const call_received& call) {
  const std::string reason = refusal_reason(call);
  if (!reason.empty()) {
    refuse(call, reason, status_unavailable);
    return;
  }
  if (call.content.path == mint_path) {
    mint(call);
    return;
  }
  if (call.content.body.size() > protocol::max_body_bytes) {
    refuse(call, "body is too large", status_too_large);
    return;
  }
  const config::route* route = shared_.configuration.match_route(call.content.path);
  if (route == nullptr) {
    refuse(call, "no route for this path", status_not_found);
    return;
  }
  if (call.time_left <= duration::zero()) {
    refuse(call, "deadline is missing or has passed", status_bad_request);
    return;
  }
  if (poison_.is_refused(fingerprint_of(route->service, call.content), shared_.now)) {
    ++shared_.totals.poison_refusals;
    refuse(call, "request has crashed upstreams", status_unavailable);
    return;
  }
  if (!route->idempotent) {
    start_keyed(call, *route);
    return;
  }
  pending_call pending;
  pending.token = call.token;
  pending.content = call.content;
  pending.service = route->service;
  pending.route = route->name;
  pending.priority = route->priority;
  pending.fingerprint = fingerprint_of(route->service, call.content);
  pending.start_time = shared_.now;
  pending.deadline = shared_.now + call.time_left;
  budgets_[pending.service].on_call(
      shared_.configuration.find_service(pending.service)->retry_budget);
  dispatch(std::move(pending));
}

void call_router::refuse(const call_received& call, const std::string& reason, int status) {
  key_result result = not_executed(reason);
  result.answer.status = status;
  answer(call.token, std::move(result), "", config::request_class::normal, shared_.now);
}

// --- keys ---

void call_router::mint(const call_received& call) {
  const minted_key key{shared_.self.id, shared_.self.process_epoch, keys_.mint()};
  answer(call.token, {call_outcome::answered, "", {status_ok, "text/plain", to_string(key)}}, "",
         config::request_class::normal, shared_.now);
}

void call_router::start_keyed(const call_received& call, const config::route& route) {
  const std::optional<minted_key> key = calls::parse_minted_key(call.content.key);
  if (!key) {
    refuse(call,
           call.content.key.empty() ? "key is missing; get one from /-/key" : "key is malformed",
           status_bad_request);
    return;
  }
  if (key->owner != shared_.self.id) {
    forward_to_owner(call, route, *key);
    return;
  }
  const waiter recipient{call.token,     std::nullopt, route.service,
                         route.priority, shared_.now,  shared_.now + call.time_left};
  if (key->process_epoch != shared_.self.process_epoch) {
    deliver_result(recipient, unknown("the daemon that issued the key has restarted"));
    return;
  }
  begin_key(key->number, call.content, route, recipient);
}

void call_router::begin_key(std::uint64_t number, const protocol::call_content& content,
                            const config::route& route, waiter recipient) {
  const std::uint64_t waiter_number = shared_.next_id();
  const key_state state = keys_.begin(number, waiter_number, shared_.now);
  if (state == key_state::finished) {
    deliver_result(recipient, keys_.result_of(number));
    return;
  }
  if (state == key_state::evicted) {
    deliver_result(recipient, unknown("the key is too old"));
    return;
  }
  if (state == key_state::not_minted) {
    key_result refusal = not_executed("the key was never issued");
    refusal.answer.status = status_bad_request;
    deliver_result(recipient, refusal);
    return;
  }
  waiters_.emplace(waiter_number, recipient);
  if (state == key_state::running) {
    return;
  }
  pending_call pending;
  pending.key_number = number;
  pending.content = content;
  pending.service = route.service;
  pending.route = route.name;
  pending.priority = route.priority;
  pending.idempotent = false;
  pending.fingerprint = fingerprint_of(route.service, content);
  pending.start_time = recipient.start_time;
  pending.deadline = recipient.deadline;
  dispatch(std::move(pending));
}

void call_router::forward_to_owner(const call_received& call, const config::route& route,
                                   const minted_key& key) {
  const membership::member* owner = shared_.members.find(key.owner);
  const time_point deadline = shared_.now + call.time_left;
  const waiter recipient{call.token,     std::nullopt, route.service,
                         route.priority, shared_.now,  deadline};
  if (owner == nullptr || owner->status == membership::member_status::dead ||
      owner->process_epoch != key.process_epoch) {
    deliver_result(recipient, unknown("the daemon that issued the key is gone or has restarted"));
    return;
  }
  forwarded_call forwarded;
  forwarded.token = call.token;
  forwarded.key = key;
  forwarded.request = {shared_.next_id(), call.time_left, call.content};
  forwarded.service = route.service;
  forwarded.priority = route.priority;
  forwarded.start_time = shared_.now;
  forwarded.deadline = deadline;
  forwarded.resend_at = shared_.now + keyed_resend_period;
  shared_.send(key.owner, forwarded.request, channel::stream);
  forwarded_.emplace(forwarded.request.token, std::move(forwarded));
}

void call_router::on_keyed_request(const protocol::message& from,
                                   const protocol::keyed_request& request) {
  const std::optional<minted_key> key = calls::parse_minted_key(request.content.key);
  const config::route* route = shared_.configuration.match_route(request.content.path);
  const waiter recipient{request.token,
                         from.sender.id,
                         "",
                         config::request_class::normal,
                         shared_.now,
                         shared_.now + request.remaining};
  if (!key || key->owner != shared_.self.id || key->process_epoch != shared_.self.process_epoch) {
    deliver_result(recipient, unknown("the daemon that issued the key has restarted"));
  } else if (route == nullptr || route->idempotent) {
    deliver_result(recipient, unknown("the daemon that issued the key has no such route"));
  } else {
    begin_key(key->number, request.content, *route, recipient);
  }
}

void call_router::on_keyed_reply(const protocol::keyed_reply& reply) {
  const std::map<std::uint64_t, forwarded_call>::iterator found = forwarded_.find(reply.token);
  if (found == forwarded_.end()) {
    return;
  }
  const forwarded_call call = std::move(found->second);
  forwarded_.erase(found);
  answer(call.token, {reply.outcome, reply.reason, reply.answer}, call.service, call.priority,
         call.start_time);
}

void call_router::deliver_result(const waiter& recipient, const key_result& result) {
  if (!recipient.peer) {
    answer(recipient.token, result, recipient.service, recipient.priority, recipient.start_time);
    return;
  }
  shared_.send(*recipient.peer,
               protocol::keyed_reply{recipient.token, result.outcome, result.reason, result.answer},
               channel::stream);
}

// --- attempts ---

std::string call_router::choose_version(const config::service& service, const pending_call& call) {
  const config::move* running = shared_.configuration.running_move(service.name);
  if (running == nullptr || braked_moves_.contains(running->id)) {
    return service.active;
  }
  constexpr double permille = 1000.0;
  const bool is_new = shared_.random.fraction() * permille < running->share_permille;
  // Retries use the old version, so that a faulty new version costs a call at most one attempt.
  return is_new && call.attempts == 0 ? running->to : running->from;
}

std::optional<member_id> call_router::choose_target(pending_call& call) {
  const config::service* service = shared_.configuration.find_service(call.service);
  if (service == nullptr) {
    return std::nullopt;
  }
  call.version = choose_version(*service, call);
  const std::optional<member_id> chosen =
      directory_.choose({call.service, call.version, call.priority, call.tried}, shared_.members,
                        shared_.configuration, shared_.now, shared_.random);
  const config::move* running = shared_.configuration.running_move(service->name);
  if (chosen || running == nullptr || braked_moves_.contains(running->id)) {
    return chosen;
  }
  const bool was_new = call.version == running->to;
  if (!was_new && running->share_permille < 1000) {
    return std::nullopt; // the new version is no fallback while it is on trial
  }
  call.version = was_new ? running->from : running->to;
  return directory_.choose({call.service, call.version, call.priority, call.tried}, shared_.members,
                           shared_.configuration, shared_.now, shared_.random);
}

void call_router::dispatch(pending_call call) {
  const std::optional<member_id> target = choose_target(call);
  if (!target) {
    park_or_finish(std::move(call), not_executed("no upstream can take the request"));
    return;
  }
  send_attempt(std::move(call), *target);
}

void call_router::park_or_finish(pending_call call, key_result result) {
  if (call.parked_until == time_point{}) {
    call.parked_until = std::min(shared_.now + max_parked_time, call.deadline);
  }
  if (shared_.now >= call.parked_until || shared_.is_stopping) {
    finish(call, std::move(result));
    return;
  }
  if (parked_.size() < max_parked_calls) {
    parked_.push_back(std::move(call));
    return;
  }
  const auto is_higher_class = [](const pending_call& left, const pending_call& right) {
    return left.priority < right.priority;
  };
  const std::vector<pending_call>::iterator lowest =
      std::max_element(parked_.begin(), parked_.end(), is_higher_class);
  if (is_higher_class(call, *lowest)) {
    std::swap(call, *lowest);
  }
  finish(call, std::move(result));
}

// One parked call is dispatched per answer, since an answer frees capacity for one. If all were
// dispatched at once, most of them would be refused.
void call_router::dispatch_parked(const std::string& service) {
  std::vector<pending_call>::iterator chosen = parked_.end();
  for (std::vector<pending_call>::iterator item = parked_.begin(); item != parked_.end(); ++item) {
    const bool is_preferred = chosen == parked_.end() || item->priority < chosen->priority;
    chosen = item->service == service && is_preferred ? item : chosen;
  }
  if (chosen == parked_.end()) {
    return;
  }
  pending_call call = std::move(*chosen);
  parked_.erase(chosen);
  call.tried.clear();
  dispatch(std::move(call));
}

void call_router::check_parked() {
  std::set<std::string> services;
  std::vector<pending_call> kept;
  for (pending_call& call : std::exchange(parked_, {})) {
    if (shared_.now >= call.parked_until) {
      finish(call, not_executed("no upstream had room"));
      continue;
    }
    services.insert(call.service);
    kept.push_back(std::move(call));
  }
  parked_ = std::move(kept);
  for (const std::string& service : services) {
    dispatch_parked(service); // there may be no call in flight whose answer would do so
  }
}

void call_router::send_attempt(pending_call call, member_id target) {
  const membership::member* peer = shared_.members.find(target);
  const duration remaining = call.deadline - shared_.now;
  call.target = target;
  call.target_epoch = peer->process_epoch;
  call.sent_at = shared_.now;
  ++call.attempts;
  // The first attempt of an idempotent call leaves time for a second one.
  call.attempt_timeout = call.idempotent && call.attempts == 1 ? remaining / 2 : remaining;
  call.tried.push_back(target);
  directory_.stats_of(target, peer->process_epoch).on_sent();
  call_request request;
  request.id = {shared_.self.id, shared_.self.process_epoch, shared_.next_id()};
  request.target_epoch = peer->process_epoch;
  request.service = call.service;
  request.route = call.route;
  request.version = call.version;
  request.priority = call.priority;
  request.idempotent = call.idempotent;
  request.remaining = remaining;
  request.fingerprint = call.fingerprint;
  request.content = call.content;
  const call_id id = request.id;
  if (call.token != 0) {
    ids_by_token_[call.token] = id;
  }
  calls_.emplace(id, std::move(call));
  if (target == shared_.self.id) {
    local_requests_.push_back(std::move(request));
  } else {
    shared_.send(target, std::move(request), channel::stream);
  }
}

void call_router::on_reply(const call_reply& reply) {
  const std::map<call_id, pending_call>::iterator found = calls_.find(reply.id);
  if (found == calls_.end()) {
    return; // already complete or cancelled, or sent by an earlier process
  }
  pending_call call = std::move(found->second);
  calls_.erase(found);
  routing::endpoint_stats& stats = directory_.stats_of(call.target, call.target_epoch);
  if (reply.load.limit > 0) {
    stats.on_load(reply.load.limit, reply.load.in_flight, shared_.now);
  }
  if (reply.upstream_died && !poison_.is_suspect(call.fingerprint, shared_.now)) {
    calls::suspicion suspect = poison_.find(call.fingerprint, shared_.now);
    suspect.chain = 1;
    suspect.last_death = shared_.now;
    poison_.merge(suspect, shared_.now);
    shared_.write(severity::warning, "request_suspected", {{"route", call.route}});
  }
  switch (reply.outcome) {
  case call_outcome::answered:
    if (reply.answer.status >= first_error_status) {
      stats.on_failed(shared_.now);
    } else {
      stats.on_answer(shared_.now - call.sent_at);
    }
    finish(call, {call_outcome::answered, "", reply.answer});
    dispatch_parked(call.service);
    break;
  case call_outcome::not_executed:
    if (reply.load.in_flight >= reply.load.limit - 1.0) {
      stats.on_busy(shared_.now, busy_backoff + shared_.random.jitter(busy_backoff));
    } else {
      stats.on_refused(shared_.now, refusal_backoff + shared_.random.jitter(refusal_backoff));
    }
    retry_or_finish(std::move(call), not_executed(reply.reason));
    break;
  case call_outcome::unknown:
    stats.on_failed(shared_.now);
    retry_or_finish(std::move(call), unknown(reply.reason));
    break;
  }
}

void call_router::retry_or_finish(pending_call call, key_result result) {
  call.may_have_executed = call.may_have_executed || result.outcome == call_outcome::unknown;
  const bool is_safe_to_retry = call.idempotent || result.outcome == call_outcome::not_executed;
  const bool is_suspect = poison_.is_suspect(call.fingerprint, shared_.now);
  const bool may_retry = !call.has_timed_out && call.attempts < max_attempts &&
                         shared_.now < call.deadline && !is_suspect;
  if (is_safe_to_retry && may_retry && budgets_[call.service].take()) {
    ++shared_.totals.retries;
    const std::optional<member_id> target = choose_target(call);
    if (target) {
      send_attempt(std::move(call), *target);
    } else {
      park_or_finish(std::move(call), std::move(result));
    }
    return;
  }
  finish(call, std::move(result));
}

void call_router::finish(const pending_call& call, key_result result) {
  if (call.may_have_executed && result.outcome == call_outcome::not_executed) {
    result = unknown("an earlier attempt may have been executed; the last one: " + result.reason);
  }
  if (call.key_number == 0) {
    ids_by_token_.erase(call.token);
    if (!call.has_timed_out) {
      answer(call.token, std::move(result), call.service, call.priority, call.start_time);
    }
    return;
  }
  const std::vector<std::uint64_t> waiting = keys_.take_waiters(call.key_number);
  keys_.finish(call.key_number, result);
  for (const std::uint64_t number : waiting) {
    const std::map<std::uint64_t, waiter>::iterator found = waiters_.find(number);
    if (found != waiters_.end()) {
      deliver_result(found->second, result);
      waiters_.erase(found);
    }
  }
}

void call_router::answer(std::uint64_t token, key_result result, const std::string& service,
                         config::request_class priority, time_point start_time) {
  if (token == 0) {
    return;
  }
  switch (result.outcome) {
  case call_outcome::answered:
    ++shared_.totals.calls_answered;
    break;
  case call_outcome::not_executed:
    ++shared_.totals.calls_not_executed;
    break;
  case call_outcome::unknown:
    ++shared_.totals.calls_unknown;
    break;
  }
  shared_.add_action(answer_caller{token, result.outcome, std::move(result.reason),
                                   std::move(result.answer), priority, service,
                                   shared_.now - start_time});
}

// --- timeouts and failures ---

bool call_router::is_target_gone(const pending_call& call) const {
  const membership::member* target = shared_.members.find(call.target);
  return target == nullptr || target->process_epoch != call.target_epoch ||
         target->status == membership::member_status::dead;
}

void call_router::cancel_attempt(const call_id& id, const pending_call& call) {
  if (call.target == shared_.self.id) {
    local_cancels_.push_back(id);
  } else {
    shared_.send(call.target, protocol::call_cancel{id}, channel::stream);
  }
}

void call_router::check_pending() {
  std::vector<call_id> ended;
  for (const auto& [id, call] : calls_) {
    const bool is_overdue =
        shared_.now >= std::min(call.deadline, call.sent_at + call.attempt_timeout);
    if ((is_overdue && !call.has_timed_out) || is_target_gone(call) ||
        (call.has_timed_out && shared_.now >= call.deadline + calls::key_retention)) {
      ended.push_back(id);
    }
  }
  for (const call_id& id : ended) {
    pending_call call = std::move(calls_.at(id));
    calls_.erase(id);
    if (call.has_timed_out) {
      continue;
    }
    directory_.stats_of(call.target, call.target_epoch).on_no_answer(shared_.now);
    const bool is_gone = is_target_gone(call);
    if (!is_gone) {
      cancel_attempt(id, call);
    }
    const key_result result = unknown(is_gone ? "upstream's daemon is gone" : "deadline passed");
    if (call.idempotent || is_gone) {
      retry_or_finish(std::move(call), result);
      continue;
    }
    // A late answer is still recorded, for a repeat with the same key.
    finish(call, result);
    call.has_timed_out = true;
    calls_.emplace(id, std::move(call));
  }
}

void call_router::check_forwarded() {
  std::vector<std::uint64_t> ended;
  for (auto& [number, call] : forwarded_) {
    const membership::member* owner = shared_.members.find(call.key.owner);
    const bool is_gone = owner == nullptr || owner->process_epoch != call.key.process_epoch ||
                         owner->status == membership::member_status::dead;
    if (shared_.now >= call.deadline || is_gone) {
      ended.push_back(number);
    } else if (shared_.now >= call.resend_at) {
      // The owner recognizes repeats by the key.
      call.resend_at = shared_.now + keyed_resend_period;
      call.request.remaining = call.deadline - shared_.now;
      shared_.send(call.key.owner, call.request, channel::stream);
    }
  }
  for (const std::uint64_t number : ended) {
    const forwarded_call call = std::move(forwarded_.at(number));
    forwarded_.erase(number);
    answer(call.token, unknown("the daemon that issued the key did not answer"), call.service,
           call.priority, call.start_time);
  }
}

void call_router::on_tick() {
  directory_.set_unreachable(shared_.unreachable_domains());
  check_parked();
  check_pending();
  check_forwarded();
  keys_.evict(shared_.now);
}

bool call_router::is_idle() const {
  const auto is_waiting = [](const auto& item) { return !item.second.has_timed_out; };
  return forwarded_.empty() && parked_.empty() &&
         std::none_of(calls_.begin(), calls_.end(), is_waiting);
}

void call_router::on_caller_disconnected(const caller_disconnected& call) {
  const std::map<std::uint64_t, call_id>::iterator found = ids_by_token_.find(call.token);
  if (found == ids_by_token_.end()) {
    return;
  }
  const call_id id = found->second;
  ids_by_token_.erase(found);
  const std::map<call_id, pending_call>::iterator pending = calls_.find(id);
  if (pending == calls_.end()) {
    return;
  }
  directory_.stats_of(pending->second.target, pending->second.target_epoch).on_cancelled();
  cancel_attempt(id, pending->second);
  calls_.erase(pending);
}

void call_router::reset_domain(const std::string& domain) {
  for (const member_id id : shared_.members.present_members_of(domain)) {
    directory_.reset(id);
  }
}

} // namespace arbutuslb::core::engine
