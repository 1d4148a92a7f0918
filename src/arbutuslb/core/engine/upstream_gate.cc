#include "arbutuslb/core/engine/upstream_gate.h"

#include "arbutuslb/core/base/hash.h"

#include <algorithm>

namespace arbutuslb::core::engine {
namespace {

using protocol::call_outcome;
using protocol::call_reply;
using protocol::call_request;
using routing::admission_verdict;
using routing::answer_kind;

constexpr int initial_slots = 10;
constexpr double mean_in_flight_weight = 0.05; // weight of the newest sample; one per tick
constexpr int first_error_status = 500;
constexpr int too_many_requests_status = 429;
constexpr int unavailable_status = 503;

bool is_overload(int status) {
  return status == too_many_requests_status || status == unavailable_status;
}

} // namespace

upstream_gate::upstream_gate(context& shared, calls::poison_registry& poison)
    : shared_(shared), poison_(poison), admission_(initial_slots) {}

void upstream_gate::on_configuration() {
  const config::service* local_service =
      shared_.configuration.find_service(shared_.settings.service);
  if (local_service != nullptr && local_service->slots != admission_.limit().slots()) {
    admission_.limit().set_slots(local_service->slots);
  }
}

void upstream_gate::make_cold() {
  admission_.limit().make_cold();
}

protocol::load_report upstream_gate::load() const {
  return {admission_.limit().value(), static_cast<std::uint32_t>(admission_.in_flight()),
          static_cast<std::uint32_t>(admission_.queued())};
}

// --- admission ---

bool upstream_gate::is_local_domain_withdrawn() const {
  const config::failure_domain* domain = shared_.configuration.find_domain(shared_.settings.domain);
  return domain != nullptr && domain->withdrawn;
}

bool upstream_gate::is_suspect_running() const {
  const auto is_suspect = [](const auto& item) {
    return item.second.is_suspect && item.second.is_running;
  };
  return std::any_of(executions_.begin(), executions_.end(), is_suspect);
}

std::string upstream_gate::refusal_reason(const call_request& request) {
  if (shared_.is_stopping) {
    return "upstream is leaving";
  }
  if (!shared_.is_ready) {
    return "no configuration yet";
  }
  if (request.service != shared_.settings.service || request.version != shared_.settings.version) {
    return "no such upstream here";
  }
  if (is_local_domain_withdrawn()) {
    return "failure domain is withdrawn";
  }
  if (request.remaining <= duration::zero()) {
    return "deadline has passed";
  }
  if (poison_.is_refused(request.fingerprint, shared_.now)) {
    ++shared_.totals.poison_refusals;
    return "request has crashed upstreams";
  }
  if (poison_.is_suspect(request.fingerprint, shared_.now) && is_suspect_running()) {
    return "another suspect request is running";
  }
  if (shared_.now < upstream_down_until_) {
    return "upstream is unreachable";
  }
  return {};
}

void upstream_gate::submit(member_id origin, call_request request) {
  if (request.target_epoch != shared_.self.process_epoch) {
    // An earlier process of this instance may have executed it.
    call_reply answer{request.id, call_outcome::unknown, false, "daemon has restarted", {}, load()};
    reply(origin, std::move(answer));
    return;
  }
  if (!duplicate_filter_.admit(request.id)) {
    return; // the reply to the first copy tells whether the request was executed
  }
  const std::string reason = refusal_reason(request);
  if (!reason.empty()) {
    refuse(origin, request, reason);
    return;
  }
  const std::uint64_t number = shared_.next_id();
  execution pending;
  pending.origin = origin;
  pending.deadline = shared_.now + request.remaining;
  pending.is_suspect = poison_.is_suspect(request.fingerprint, shared_.now);
  pending.request = std::move(request);
  const decltype(admission_)::submit_result result =
      admission_.submit({number, pending.request.priority, pending.deadline}, shared_.now);
  if (result.verdict == admission_verdict::refused) {
    refuse(origin, pending.request, "upstream is at its limit");
    return;
  }
  numbers_by_call_id_.emplace(pending.request.id, number);
  executions_.emplace(number, std::move(pending));
  if (result.shed) {
    refuse_waiting({*result.shed}, "shed for a request of a higher class");
  }
  if (result.verdict == admission_verdict::run) {
    execute(number);
  }
}

void upstream_gate::execute(std::uint64_t number) {
  execution& item = executions_.at(number);
  item.is_running = true;
  item.start_time = shared_.now;
  ++shared_.totals.runs;
  shared_.add_action(execute_request{number, item.request.content, item.deadline - shared_.now});
}

void upstream_gate::execute_waiting() {
  while (const std::optional<routing::waiting_request> next = admission_.next(shared_.now)) {
    execute(next->token);
  }
}

void upstream_gate::refuse(member_id origin, const call_request& request,
                           const std::string& reason) {
  ++shared_.totals.runs_refused;
  reply(origin, call_reply{request.id, call_outcome::not_executed, false, reason, {}, load()});
}

void upstream_gate::refuse_waiting(const std::vector<routing::waiting_request>& requests,
                                   const std::string& reason) {
  for (const routing::waiting_request& request : requests) {
    const std::map<std::uint64_t, execution>::iterator found = executions_.find(request.token);
    refuse(found->second.origin, found->second.request, reason);
    numbers_by_call_id_.erase(found->second.request.id);
    executions_.erase(found);
  }
}

void upstream_gate::reply(member_id origin, call_reply value) {
  if (origin == shared_.self.id) {
    local_replies_.push_back(std::move(value));
  } else {
    shared_.send(origin, std::move(value), channel::stream);
  }
}

// --- results ---

void upstream_gate::finish(std::uint64_t number, call_reply value) {
  const std::map<std::uint64_t, execution>::iterator found = executions_.find(number);
  admission_.release();
  value.id = found->second.request.id;
  value.load = load();
  const member_id origin = found->second.origin;
  numbers_by_call_id_.erase(value.id);
  executions_.erase(found);
  reply(origin, std::move(value));
  execute_waiting();
}

void upstream_gate::on_answered(const upstream_answered& result) {
  const std::map<std::uint64_t, execution>::iterator found = executions_.find(result.execution);
  if (found == executions_.end()) {
    return;
  }
  const call_request& request = found->second.request;
  const duration latency = shared_.now - found->second.start_time;
  const bool is_error = result.answer.status >= first_error_status;
  const answer_kind kind = is_overload(result.answer.status) ? answer_kind::overloaded
                           : is_error                        ? answer_kind::failed
                                                             : answer_kind::good;
  admission_.on_answer(hash_bytes(request.route), latency, kind);
  finished_executions_.push_back(
      {request.route, is_error ? moves::execution_outcome::error : moves::execution_outcome::good,
       latency});
  if (poison_.clear(request.fingerprint, shared_.now)) {
    send_poison_report(request.fingerprint, 0);
  }
  finish(result.execution, call_reply{{}, call_outcome::answered, false, {}, result.answer, {}});
}

void upstream_gate::on_failed(const upstream_failed& result) {
  const std::map<std::uint64_t, execution>::iterator found = executions_.find(result.execution);
  if (found == executions_.end()) {
    return;
  }
  const std::string route = found->second.request.route;
  const duration latency = shared_.now - found->second.start_time;
  call_reply answer;
  switch (result.fault) {
  case upstream_fault::not_connected:
    upstream_down_until_ = shared_.now + upstream_retry_delay;
    make_cold();
    answer.outcome = call_outcome::not_executed;
    answer.reason = "upstream is unreachable";
    break;
  case upstream_fault::died:
    if (!found->second.is_death_counted) {
      on_upstream_died();
    }
    answer.reason = "upstream died";
    answer.upstream_died = true;
    break;
  case upstream_fault::broken:
    answer.reason = "upstream's answer is incomplete";
    finished_executions_.push_back({route, moves::execution_outcome::error, latency});
    break;
  case upstream_fault::timed_out:
    admission_.on_answer(hash_bytes(route), latency, answer_kind::overloaded);
    answer.reason = "deadline passed while running";
    finished_executions_.push_back({route, moves::execution_outcome::error, latency});
    break;
  }
  finish(result.execution, std::move(answer));
}

void upstream_gate::on_upstream_died() {
  ++shared_.totals.upstream_deaths;
  upstream_down_until_ = shared_.now + upstream_retry_delay;
  make_cold();
  std::vector<calls::suspicion> running;
  std::string route;
  for (auto& [number, item] : executions_) {
    if (item.is_running && !item.is_death_counted) {
      item.is_death_counted = true;
      running.push_back(poison_.find(item.request.fingerprint, shared_.now));
      route = item.request.route;
    }
  }
  finished_executions_.push_back({route, moves::execution_outcome::death, duration{}});
  for (const calls::suspicion& suspect : poison_.on_death(running, 0, shared_.now)) {
    send_poison_report(suspect.fingerprint, suspect.deaths());
  }
  shared_.write(severity::warning, "upstream_died", {{"running", std::to_string(running.size())}});
}

void upstream_gate::send_poison_report(std::uint64_t fingerprint, std::uint32_t deaths) {
  for (const member_id id : shared_.random_domain_peers(push_fanout)) {
    shared_.send(id, protocol::poison_report{fingerprint, deaths}, channel::datagram);
  }
}

void upstream_gate::cancel(const call_id& id) {
  const std::map<call_id, std::uint64_t>::iterator found = numbers_by_call_id_.find(id);
  if (found == numbers_by_call_id_.end()) {
    return;
  }
  const std::uint64_t number = found->second;
  if (admission_.withdraw(number)) {
    refuse_waiting({{number, {}, {}}}, "cancelled");
  } else {
    shared_.add_action(cancel_execution{number});
  }
}

void upstream_gate::on_tick() {
  refuse_waiting(admission_.take_expired(shared_.now), "waited too long");
  mean_in_flight_ += (admission_.in_flight() - mean_in_flight_) * mean_in_flight_weight;
  execute_waiting();
}

} // namespace arbutuslb::core::engine
