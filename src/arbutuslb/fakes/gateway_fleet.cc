#include "arbutuslb/fakes/gateway_fleet.h"

#include <algorithm>

namespace arbutuslb::fakes {

namespace gateway = core::gateway;
using core::duration;

namespace {

constexpr std::chrono::milliseconds heartbeat_period{1500};
constexpr std::chrono::milliseconds default_delay{1};
constexpr std::chrono::milliseconds cross_domain_delay{2};
constexpr std::chrono::milliseconds upstream_delay{1};

} // namespace

struct gateway_fleet::performer {
  gateway_fleet& fleet;
  std::size_t index;

  void operator()(gateway::answer_caller& action) const {
    fleet.answers[action.token] = std::move(action.answer);
  }
  void operator()(gateway::answer_peer& action) const {
    const auto found = fleet.peer_attempts_.find({index, action.token});
    if (found == fleet.peer_attempts_.end()) {
      return;
    }
    const auto [caller, attempt] = found->second;
    fleet.peer_attempts_.erase(found);
    if (fleet.is_cut(index, caller)) {
      return;
    }
    gateway_fleet& fleet_ref = fleet;
    fleet_ref.after(default_delay, [&fleet_ref, target = caller, number = attempt,
                                    result = std::move(action.result)]() mutable {
      if (!fleet_ref.cancelled_.contains({target, number})) {
        fleet_ref.handle(target, gateway::attempt_completed{number, std::move(result), false});
      }
    });
  }
  void operator()(gateway::send_to_peer& action) const {
    gateway_fleet& fleet_ref = fleet;
    const std::size_t target = fleet_ref.index_of(action.host);
    const std::size_t caller = index;
    const std::uint64_t attempt = action.attempt;
    if (fleet_ref.is_cut(caller, target) || fleet_ref.exited.contains(target)) {
      fleet_ref.after(std::chrono::milliseconds{250}, [&fleet_ref, caller, attempt] {
        gateway::attempt_completed completion{attempt, {}, true};
        completion.result.outcome = gateway::run_outcome::not_executed;
        completion.result.reason = "peer is unreachable";
        fleet_ref.handle(caller, completion);
      });
      return;
    }
    fleet_ref.after(default_delay, [&fleet_ref, caller, attempt, target,
                                    request = std::move(action.request)]() mutable {
      const std::uint64_t token = ++fleet_ref.last_token_;
      fleet_ref.peer_attempts_[{target, token}] = {caller, attempt};
      fleet_ref.handle(target, gateway::run_requested{token, std::move(request)});
      if (fleet_ref.cancelled_.contains({caller, attempt})) { // while the request was in transit
        fleet_ref.handle(target, gateway::peer_disconnected{token});
      }
    });
  }
  void operator()(const gateway::send_to_upstream& action) const {
    fleet.run_at_upstream(index, action);
  }
  void operator()(const gateway::probe_upstream&) const {
    gateway_fleet& fleet_ref = fleet;
    fleet_ref.after(upstream_delay, [&fleet_ref, target = index] {
      fleet_ref.handle(target, gateway::upstream_probed{fleet_ref.upstream(target).is_down
                                                            ? gateway::probe_outcome::refused
                                                            : gateway::probe_outcome::reachable});
    });
  }
  void operator()(const gateway::cancel_attempt& action) const {
    fleet.cancelled_.insert({index, action.attempt});
    for (const auto& [execution, caller] : fleet.peer_attempts_) {
      if (caller == std::pair(index, action.attempt)) {
        const auto [target, token] = execution;
        gateway_fleet& fleet_ref = fleet;
        fleet_ref.after(default_delay, [&fleet_ref, target = target, token = token] {
          fleet_ref.handle(target, gateway::peer_disconnected{token});
        });
        break;
      }
    }
  }
  void operator()(const gateway::acknowledge_heartbeat& action) const {
    if (action.is_accepted) {
      fleet.acknowledged.insert(action.token);
    }
  }
  void operator()(const gateway::record_departure& action) const {
    gateway_fleet& fleet_ref = fleet;
    const bool is_recorded = !fleet_ref.is_store_down;
    if (is_recorded) {
      fleet_ref.departures_[index] = action.departed;
    }
    fleet_ref.after(default_delay, [&fleet_ref, target = index, departed = action.departed,
                                    is_recorded] {
      fleet_ref.handle(target, gateway::departure_recorded{departed, is_recorded, fleet_ref.era_});
    });
  }
  void operator()(const gateway::record_suspicions& action) const {
    gateway_fleet& fleet_ref = fleet;
    const bool is_recorded = !fleet_ref.is_store_down;
    if (is_recorded) {
      fleet_ref.suspicions_[index] = action.suspicions;
    }
    fleet_ref.after(default_delay, [&fleet_ref, target = index, is_recorded] {
      fleet_ref.handle(target, gateway::suspicions_recorded{is_recorded, fleet_ref.era_});
    });
  }
  void operator()(const gateway::send_reports& action) const {
    gateway_fleet& fleet_ref = fleet;
    const std::size_t target = fleet_ref.index_of(action.host);
    const bool is_cross_domain =
        fleet_ref.nodes_[index].settings.domain != fleet_ref.nodes_[target].settings.domain;
    fleet_ref.datagrams_between_domains += is_cross_domain ? 1 : 0;
    if (fleet_ref.is_cut(index, target) || fleet_ref.exited.contains(target) ||
        fleet_ref.silent_reporters.contains(index) ||
        (fleet_ref.datagram_loss > 0 && fleet_ref.random_.fraction() < fleet_ref.datagram_loss)) {
      return;
    }
    gateway::reports_received received{fleet_ref.nodes_[index].settings.host, action.content};
    fleet_ref.after(is_cross_domain ? cross_domain_delay : default_delay,
                    [&fleet_ref, target, received] { fleet_ref.handle(target, received); });
  }
  void operator()(const gateway::follow_operator_log& action) const {
    fleet.nodes_[index].follows_log = action.is_enabled;
    fleet.deliver_log(index);
  }
  void operator()(const gateway::fetch_operator_records& action) const {
    gateway_fleet& fleet_ref = fleet;
    const std::size_t source = fleet_ref.index_of(action.host);
    if (fleet_ref.is_cut(index, source)) {
      return;
    }
    gateway::operator_records_received operator_records;
    operator_records.end = fleet_ref.nodes_[source].core->operator_records().end();
    for (const auto& [key, record] : fleet_ref.nodes_[source].core->operator_records().records()) {
      if (record.position >= action.from) {
        operator_records.records.push_back(record);
      }
    }
    fleet_ref.after(default_delay * 2, [&fleet_ref, target = index, operator_records] {
      fleet_ref.handle(target, operator_records);
    });
  }
  void operator()(const gateway::discover_peers&) const {
    if (fleet.is_store_down) {
      return;
    }
    gateway::peers_discovered found;
    found.era = fleet.era_;
    for (const node& item : fleet.nodes_) {
      found.hosts.push_back(item.settings.host);
    }
    const auto departed = fleet.departures_.find(index);
    if (departed != fleet.departures_.end()) {
      found.departed = departed->second;
    }
    for (const auto& [daemon, recorded] : fleet.suspicions_) {
      found.suspicions.insert(found.suspicions.end(), recorded.begin(), recorded.end());
    }
    gateway_fleet& fleet_ref = fleet;
    fleet_ref.after(default_delay,
                    [&fleet_ref, target = index, found] { fleet_ref.handle(target, found); });
  }
  void operator()(const gateway::read_outcomes&) const {
    gateway_fleet& fleet_ref = fleet;
    if (fleet_ref.is_store_down) {
      return;
    }
    fleet_ref.after(default_delay, [&fleet_ref, target = index] {
      gateway::outcomes_read read;
      read.end = {fleet_ref.era_, fleet_ref.outcomes.size()};
      for (const auto& [service, phase] : fleet_ref.outcomes) {
        read.outcomes.push_back({service, fleet_ref.outcome_versions_[service], phase});
      }
      fleet_ref.handle(target, read);
    });
  }
  void operator()(const gateway::record_outcome& action) const {
    gateway_fleet& fleet_ref = fleet;
    const bool is_first = !fleet_ref.is_store_down && !fleet_ref.outcomes.contains(action.service);
    if (is_first) {
      fleet_ref.outcomes[action.service] = action.phase;
      fleet_ref.outcome_versions_[action.service] = action.target_version;
    }
    fleet_ref.after(
        default_delay, [&fleet_ref, target = index, service = action.service, is_first] {
          fleet_ref.handle(target, gateway::outcome_recorded{service, is_first, fleet_ref.era_});
        });
  }
  void operator()(const core::duties::read_usage_log&) const {
    gateway_fleet& fleet_ref = fleet;
    fleet_ref.after(default_delay, [&fleet_ref, target = index] {
      gateway::usage_log_read read;
      read.suspended = fleet_ref.clocks[target];
      if (!fleet_ref.is_store_down) {
        const std::vector<core::duties::usage_record>& records = fleet_ref.usage_log_;
        read.state = {fleet_ref.era_, records.size(),
                      records.empty() ? std::nullopt : std::optional(records.back())};
      }
      fleet_ref.handle(target, read);
    });
  }
  void operator()(const core::duties::append_usage_record& action) const {
    gateway_fleet& fleet_ref = fleet;
    core::duties::append_outcome outcome = core::duties::append_outcome::refused;
    if (!fleet_ref.is_store_down) {
      const bool is_at_end = action.expected_end == fleet_ref.usage_log_.size();
      outcome = is_at_end ? core::duties::append_outcome::appended
                          : core::duties::append_outcome::conflict;
      if (is_at_end) {
        fleet_ref.usage_log_.push_back(action.record);
      }
    }
    fleet_ref.after(default_delay, [&fleet_ref, target = index, outcome] {
      fleet_ref.handle(target,
                       gateway::usage_appended{outcome, fleet_ref.era_, fleet_ref.clocks[target]});
    });
  }
  void operator()(const core::duties::post_usage& action) const {
    gateway_fleet& fleet_ref = fleet;
    fleet_ref.usage_reports.push_back({index, action.record});
    const bool is_answered = !fleet_ref.is_collector_down;
    fleet_ref.after(is_answered ? core::duration{default_delay} : action.timeout,
                    [&fleet_ref, target = index, is_answered] {
                      fleet_ref.handle(
                          target,
                          gateway::usage_posted{is_answered ? core::duties::post_outcome::accepted
                                                            : core::duties::post_outcome::unknown});
                    });
  }
  void operator()(const core::engine::write_event& action) const { fleet.log.push_back(action); }
  void operator()(const gateway::stop_reading_callers&) const {
    gateway_fleet& fleet_ref = fleet;
    fleet_ref.not_reading.insert(index);
    if (!fleet_ref.slow_callers.contains(index)) {
      fleet_ref.after(default_delay, [&fleet_ref, target = index] {
        fleet_ref.handle(target, gateway::callers_drained{});
      });
    }
  }
  void operator()(const gateway::exit_process&) const { fleet.exited.insert(index); }
};

gateway_fleet::gateway_fleet(std::uint64_t seed)
    : now_(std::chrono::hours{24 * 365 * 50}), next_tick_(now_ + gateway::tick_period),
      random_(seed) {}

std::size_t gateway_fleet::add(const std::string& domain, const std::string& service) {
  const std::size_t index = nodes_.size();
  nodes_.emplace_back();
  node& added = nodes_.back();
  added.settings.name = domain + "-" + std::to_string(index);
  added.settings.host = "10.0.0." + std::to_string(index + 1);
  added.settings.domain = domain;
  added.settings.service = service;
  added.settings.cold_load_factor = cold_load_factor;
  added.settings.cold_load_extra = cold_load_extra;
  added.settings.usage = usage;
  added.settings.hedging = hedging;
  added.settings.upstream_address = added.settings.host + ":80";
  added.upstream_started_ms = 1000 + static_cast<std::int64_t>(index);
  running_now.push_back(0);
  most_running.push_back(0);
  starts.emplace_back();
  start_core(index);
  return index;
}

void gateway_fleet::start_core(std::size_t index) {
  node& value = nodes_[index];
  ++value.generation;
  value.core = std::make_unique<gateway::gateway_core>(value.settings, random_.bits(), now_);
  value.follows_log = false;
  value.log_position = 0;
  value.next_heartbeat = now_ + random_.jitter(std::chrono::milliseconds{300});
  exited.erase(index);
  not_reading.erase(index);
  deliver_log(index);
}

void gateway_fleet::restart(std::size_t index) {
  start_core(index);
}

void gateway_fleet::publish(std::shared_ptr<const gateway::mesh_configuration> configuration) {
  order("config", std::move(configuration));
}

void gateway_fleet::append(const std::string& key, gateway::record_value value) {
  gateway::operator_record record;
  record.position = {era_, log_.size()};
  record.key = key;
  record.value = std::move(value);
  log_.push_back(std::move(record));
}

void gateway_fleet::order_unseen(const std::string& key, gateway::record_value value) {
  append(key, std::move(value));
  deliver_newest_to_readers();
}

void gateway_fleet::order(const std::string& key, gateway::record_value value) {
  append(key, std::move(value));
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (nodes_[index].follows_log || !nodes_[index].core->operator_records().configuration()) {
      deliver_log(index);
    }
  }
}

void gateway_fleet::deliver_log(std::size_t index) {
  node& value = nodes_[index];
  if (is_store_down || value.log_position == log_.size()) {
    return;
  }
  gateway::operator_records_received operator_records;
  operator_records.records.assign(log_.begin() + static_cast<std::ptrdiff_t>(value.log_position),
                                  log_.end());
  operator_records.end = {era_, log_.size()};
  value.log_position = log_.size();
  after(default_delay, [this, index, operator_records] { handle(index, operator_records); });
}

void gateway_fleet::deliver_newest(std::size_t index) {
  std::map<std::string, gateway::operator_record> newest;
  for (const gateway::operator_record& record : log_) {
    newest[record.key] = record;
  }
  gateway::operator_records_received received;
  received.is_complete = true;
  received.end = {era_, log_.size()};
  for (const auto& [key, record] : newest) {
    if (!std::holds_alternative<gateway::record_removed>(record.value)) {
      received.records.push_back(record);
    }
  }
  nodes_[index].log_position = log_.size();
  after(default_delay, [this, index, received] { handle(index, received); });
}

void gateway_fleet::record_outcome(const std::string& service, const std::string& version,
                                   gateway::rollout_phase phase) {
  outcomes[service] = phase;
  outcome_versions_[service] = version;
}

void gateway_fleet::restore_store(std::size_t kept) {
  log_.resize(kept);
  outcomes.clear();
  departures_.clear();
  suspicions_.clear();
  ++era_;
  for (gateway::operator_record& record : log_) {
    record.position.era = era_;
  }
  deliver_newest_to_readers();
}

void gateway_fleet::deliver_newest_to_readers() {
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (nodes_[index].follows_log) {
      deliver_newest(index);
    } else {
      nodes_[index].log_position = std::min(nodes_[index].log_position, log_.size());
    }
  }
}

void gateway_fleet::handle(std::size_t index, gateway::event value) {
  if (exited.contains(index)) {
    return;
  }
  for (gateway::action& item : nodes_[index].core->handle(std::move(value), now_)) {
    std::visit(performer{*this, index}, item);
  }
}

void gateway_fleet::after(duration delay, std::function<void()> callback) {
  timers_.emplace(now_ + delay, std::move(callback));
}

std::size_t gateway_fleet::index_of(const std::string& host) const {
  const auto found = std::find_if(nodes_.begin(), nodes_.end(),
                                  [&](const node& item) { return item.settings.host == host; });
  return static_cast<std::size_t>(found - nodes_.begin());
}

bool gateway_fleet::is_cut(std::size_t one, std::size_t other) const {
  return cuts.contains({std::min(one, other), std::max(one, other)});
}

void gateway_fleet::emit_heartbeat(std::size_t index) {
  if (!nodes_[index].upstream.is_down) {
    node& value = nodes_[index];
    if (value.upstream.version != value.reported_version) {
      // Another version is another incarnation.
      value.upstream_started_ms += value.reported_version.empty() ? 0 : 1;
      value.reported_version = value.upstream.version;
    }
    ++nodes_[index].sequence;
    send_heartbeat(index, next_heartbeat(index));
  }
}

std::uint64_t gateway_fleet::send_heartbeat(std::size_t index, const gateway::heartbeat& content) {
  const std::uint64_t token = ++last_token_;
  handle(index, gateway::heartbeat_received{token, content});
  return token;
}

gateway::heartbeat gateway_fleet::next_heartbeat(std::size_t index) const {
  const node& value = nodes_[index];
  gateway::heartbeat result;
  result.instance_id = "i-" + std::to_string(index);
  if (value.upstream_generation > 0) {
    result.instance_id += "-" + std::to_string(value.upstream_generation);
  }
  result.started_ms = value.upstream_started_ms;
  result.sequence = value.sequence;
  result.service = value.settings.service;
  result.domain = value.settings.domain;
  result.version = value.upstream.version;
  result.address = value.settings.upstream_address;
  result.slots = value.upstream.slots;
  result.state = value.upstream.is_draining ? gateway::upstream_lifecycle::draining
                                            : gateway::upstream_lifecycle::ready;
  result.cold_for = value.upstream.cold_for;
  return result;
}

void gateway_fleet::run_at_upstream(std::size_t index, const gateway::send_to_upstream& action) {
  const std::uint64_t attempt = action.attempt;
  upstream_behaviour& upstream = nodes_[index].upstream;
  gateway::attempt_completed completion;
  completion.attempt = attempt;
  if (upstream.is_down) {
    completion.is_unreachable = true;
    completion.result.outcome = gateway::run_outcome::not_executed;
    after(upstream_delay, [this, index, completion] { handle(index, completion); });
    return;
  }
  completion.result.reached_upstream = true;
  completion.result.notice = upstream.notice;
  if (upstream.sheds) {
    completion.result.outcome = gateway::run_outcome::not_executed;
    completion.result.reason = "upstream refused";
    after(upstream_delay, [this, index, completion] { handle(index, completion); });
    return;
  }
  if (upstream.loses_answers) {
    completion.result.notice.reset();
  }
  if (upstream.mute_above > 0 &&
      running_now[index] >= static_cast<std::size_t>(upstream.mute_above)) {
    unanswered.insert(action.request.content.attempt_id);
    completion.is_silent = true;
    completion.result.notice.reset();
    completion.result.reason = "upstream sent no answer in time";
    after(action.request.time_left, [this, index, completion, attempt] {
      if (!cancelled_.contains({index, attempt})) {
        handle(index, completion);
      }
    });
    return;
  }
  ++runs[action.request.content.attempt_id];
  run_versions[action.request.content.attempt_id] = upstream.version;
  gateway::run_request& recorded = run_requests[action.request.content.attempt_id];
  recorded = action.request;
  recorded.content.message.body.clear();
  nodes_[index].executing.insert(attempt);
  most_running[index] = std::max(most_running[index], ++running_now[index]);
  starts[index].push_back(now_);
  completion.result.outcome =
      upstream.loses_answers ? gateway::run_outcome::unknown : gateway::run_outcome::answered;
  constexpr int status_ok = 200;
  constexpr int status_error = 500;
  const bool may_fail = running_now[index] > upstream.errors_above;
  completion.result.answer.status =
      may_fail && random_.fraction() < upstream.error_share ? status_error : status_ok;
  completion.result.answer.body = action.request.content.attempt_id;
  const std::uint64_t generation = nodes_[index].generation;
  const std::uint64_t upstream_generation = nodes_[index].upstream_generation;
  const std::string target = action.request.content.message.target;
  const std::map<std::string, duration>::const_iterator crash = crashing_targets.find(target);
  if (crash != crashing_targets.end()) {
    after(crash->second, [this, index, upstream_generation, target] {
      if (nodes_[index].upstream_generation == upstream_generation) {
        kill_upstream(index, target);
      }
    });
    return;
  }
  after(upstream.work, [this, index, completion, generation, upstream_generation, attempt] {
    if (nodes_[index].upstream_generation != upstream_generation) {
      return;
    }
    --running_now[index];
    nodes_[index].executing.erase(attempt);
    if (nodes_[index].generation == generation && !cancelled_.contains({index, attempt})) {
      handle(index, completion);
    }
  });
}

int gateway_fleet::in_flight_of(std::size_t index) {
  const std::set<std::uint64_t>& executing = nodes_[index].executing;
  return static_cast<int>(std::count_if(executing.begin(), executing.end(), [&](auto attempt) {
    return !cancelled_.contains({index, attempt});
  }));
}

void gateway_fleet::kill_upstream(std::size_t index, const std::string& target) {
  node& value = nodes_[index];
  deaths.push_back({now_, index, target});
  value.upstream.is_down = true;
  ++value.upstream_generation;
  running_now[index] = 0;
  const std::uint64_t generation = value.generation;
  for (const std::uint64_t attempt : std::exchange(value.executing, {})) {
    after(upstream_delay, [this, index, generation, attempt] {
      if (nodes_[index].generation != generation || cancelled_.contains({index, attempt})) {
        return;
      }
      gateway::attempt_completed broken{attempt, {}};
      broken.result.reached_upstream = true;
      broken.result.reason = "connection to the upstream broke";
      broken.is_broken = true;
      handle(index, broken);
    });
  }
  after(down_time, [this, index] { start_upstream(index); });
}

void gateway_fleet::start_upstream(std::size_t index) {
  node& value = nodes_[index];
  value.upstream.is_down = false;
  value.upstream_started_ms = core::to_epoch_milliseconds(now_);
  if (restart_cold_time > duration::zero()) {
    value.upstream.cold_for = restart_cold_time;
    const std::uint64_t upstream_generation = value.upstream_generation;
    after(restart_cold_time, [this, index, upstream_generation] {
      if (nodes_[index].upstream_generation == upstream_generation) {
        nodes_[index].upstream.cold_for = {};
      }
    });
  }
  emit_heartbeat(index);
}

std::uint64_t gateway_fleet::call(std::size_t index, const std::string& host,
                                  const std::string& target, bool is_get, duration time_left,
                                  const std::string& credential) {
  gateway::call_received received;
  received.token = ++last_token_;
  received.content.attempt_id = "attempt-" + std::to_string(received.token);
  received.content.host = host;
  received.content.message.method = is_get ? "GET" : "POST";
  received.content.message.target = target;
  received.content.time_left = time_left;
  received.content.credential = credential;
  const std::uint64_t token = received.token;
  handle(index, std::move(received));
  return token;
}

void gateway_fleet::leave(std::size_t index, std::uint64_t token) {
  handle(index, gateway::caller_disconnected{token});
}

void gateway_fleet::stop(std::size_t index) {
  handle(index, gateway::stop_requested{});
}

void gateway_fleet::run_timers(core::time_point end) {
  while (!timers_.empty() && timers_.begin()->first <= end) {
    now_ = std::max(now_, timers_.begin()->first);
    const std::function<void()> callback = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    callback();
  }
  now_ = end;
}

void gateway_fleet::run_for(duration time) {
  const core::time_point end = now_ + time;
  while (next_tick_ <= end) {
    run_timers(next_tick_);
    next_tick_ += gateway::tick_period;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      if (exited.contains(index)) {
        continue;
      }
      if (now_ >= nodes_[index].next_heartbeat) {
        nodes_[index].next_heartbeat = now_ + heartbeat_period;
        emit_heartbeat(index);
      }
      handle(index, gateway::tick{clocks[index]});
    }
  }
  run_timers(end);
}

} // namespace arbutuslb::fakes
