#include "arbutuslb/fakes/gateway_fleet.h"

#include <algorithm>

namespace arbutuslb::fakes {

namespace gateway = core::gateway;
using core::duration;

namespace {

constexpr std::chrono::milliseconds heartbeat_period{1500};
constexpr std::chrono::milliseconds near_delay{1};
constexpr std::chrono::milliseconds far_delay{2};
constexpr std::chrono::milliseconds upstream_delay{1};

} // namespace

struct gateway_fleet::performer {
  gateway_fleet& fleet;
  std::size_t at;

  void operator()(gateway::answer_caller& action) const {
    fleet.answers[action.token] = std::move(action.answer);
  }
  void operator()(gateway::answer_peer& action) const {
    const auto found = fleet.peer_tokens_.find({at, action.token});
    if (found == fleet.peer_tokens_.end()) {
      return;
    }
    const auto [caller, attempt] = found->second;
    fleet.peer_tokens_.erase(found);
    if (fleet.is_cut(at, caller)) {
      return;
    }
    gateway_fleet& owner = fleet;
    owner.after(near_delay, [&owner, target = caller, number = attempt,
                             result = std::move(action.result)]() mutable {
      if (!owner.cancelled_.contains({target, number})) {
        owner.handle(target, gateway::attempt_completed{number, std::move(result), false});
      }
    });
  }
  void operator()(gateway::send_to_peer& action) const {
    gateway_fleet& owner = fleet;
    const std::size_t target = owner.number_of(action.host);
    const std::size_t caller = at;
    const std::uint64_t attempt = action.attempt;
    if (owner.is_cut(caller, target) || owner.exited.contains(target)) {
      owner.after(std::chrono::milliseconds{250}, [&owner, caller, attempt] {
        gateway::attempt_completed end{attempt, {}, true};
        end.result.outcome = gateway::run_outcome::not_executed;
        end.result.reason = "unreachable";
        owner.handle(caller, end);
      });
      return;
    }
    owner.after(near_delay, [&owner, caller, attempt, target,
                             request = std::move(action.request)]() mutable {
      const std::uint64_t token = ++owner.last_token_;
      owner.peer_tokens_[{target, token}] = {caller, attempt};
      owner.handle(target, gateway::run_requested{token, std::move(request)});
      if (owner.cancelled_.contains({caller, attempt})) { // while the request was on its way
        owner.handle(target, gateway::peer_disconnected{token});
      }
    });
  }
  void operator()(const gateway::send_to_upstream& action) const {
    fleet.run_at_upstream(at, action);
  }
  void operator()(const gateway::cancel_attempt& action) const {
    fleet.cancelled_.insert({at, action.attempt});
    for (const auto& [gate, waiting] : fleet.peer_tokens_) {
      if (waiting == std::pair(at, action.attempt)) {
        const auto [target, token] = gate;
        gateway_fleet& owner = fleet;
        owner.after(near_delay, [&owner, target = target, token = token] {
          owner.handle(target, gateway::peer_disconnected{token});
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
    gateway_fleet& owner = fleet;
    const bool is_recorded = !owner.is_store_down;
    if (is_recorded) {
      owner.departures_[at] = action.departed;
    }
    owner.after(near_delay, [&owner, target = at, departed = action.departed, is_recorded] {
      owner.handle(target, gateway::departure_recorded{departed, is_recorded});
    });
  }
  void operator()(const gateway::send_reports& action) const {
    gateway_fleet& owner = fleet;
    const std::size_t target = owner.number_of(action.host);
    const bool is_far = owner.nodes_[at].settings.domain != owner.nodes_[target].settings.domain;
    owner.datagrams_between_domains += is_far ? 1 : 0;
    if (owner.is_cut(at, target) || owner.exited.contains(target)) {
      return;
    }
    gateway::reports_received received{owner.nodes_[at].settings.host, action.reports};
    owner.after(is_far ? far_delay : near_delay,
                [&owner, target, received] { owner.handle(target, received); });
  }
  void operator()(const gateway::follow_operator_log& action) const {
    fleet.nodes_[at].follows = action.is_enabled;
    fleet.feed_log(at);
  }
  void operator()(const gateway::fetch_operator_records& action) const {
    gateway_fleet& owner = fleet;
    const std::size_t source = owner.number_of(action.host);
    if (owner.is_cut(at, source)) {
      return;
    }
    gateway::operator_records_received operator_records;
    operator_records.end_offset = owner.nodes_[source].core->operator_records().end_offset();
    for (const auto& [key, record] : owner.nodes_[source].core->operator_records().records()) {
      if (record.offset >= action.from_offset) {
        operator_records.records.push_back(record);
      }
    }
    owner.after(near_delay * 2, [&owner, target = at, operator_records] {
      owner.handle(target, operator_records);
    });
  }
  void operator()(const gateway::discover_peers&) const {
    if (fleet.is_store_down) {
      return;
    }
    gateway::peers_discovered found;
    for (const node& item : fleet.nodes_) {
      found.hosts.push_back(item.settings.host);
    }
    const auto departed = fleet.departures_.find(at);
    if (departed != fleet.departures_.end()) {
      found.departed = departed->second;
    }
    gateway_fleet& owner = fleet;
    owner.after(near_delay, [&owner, target = at, found] { owner.handle(target, found); });
  }
  void operator()(const gateway::read_outcomes&) const {
    gateway_fleet& owner = fleet;
    if (owner.is_store_down) {
      return;
    }
    owner.after(near_delay, [&owner, target = at] {
      gateway::outcomes_read read;
      read.end_offset = owner.outcomes.size();
      owner.handle(target, read);
    });
  }
  void operator()(const gateway::record_outcome& action) const {
    gateway_fleet& owner = fleet;
    const bool is_first = !owner.is_store_down && !owner.outcomes.contains(action.service);
    if (is_first) {
      owner.outcomes[action.service] = action.phase;
    }
    owner.after(near_delay, [&owner, target = at, service = action.service, is_first] {
      owner.handle(target, gateway::outcome_recorded{service, is_first});
    });
  }
  void operator()(const core::engine::write_event& action) const { fleet.log.push_back(action); }
  void operator()(const gateway::exit_process&) const { fleet.exited.insert(at); }
};

gateway_fleet::gateway_fleet(std::uint64_t seed)
    : now_(std::chrono::hours{24 * 365 * 50}), random_(seed) {}

std::size_t gateway_fleet::add(const std::string& domain, const std::string& service) {
  const std::size_t at = nodes_.size();
  nodes_.emplace_back();
  node& fresh = nodes_.back();
  fresh.settings.name = domain + "-" + std::to_string(at);
  fresh.settings.host = "10.0.0." + std::to_string(at + 1);
  fresh.settings.domain = domain;
  fresh.settings.service = service;
  fresh.settings.cold_load_factor = cold_load_factor;
  fresh.settings.upstream_address = fresh.settings.host + ":80";
  running_now.push_back(0);
  most_running.push_back(0);
  starts.emplace_back();
  start_core(at);
  return at;
}

void gateway_fleet::start_core(std::size_t at) {
  node& value = nodes_[at];
  ++value.process;
  value.core = std::make_unique<gateway::gateway_core>(value.settings, random_.bits(), now_);
  value.follows = false;
  value.log_position = 0;
  value.next_heartbeat = now_ + random_.jitter(std::chrono::milliseconds{300});
  exited.erase(at);
  feed_log(at);
}

void gateway_fleet::restart(std::size_t at) {
  start_core(at);
}

void gateway_fleet::publish(std::shared_ptr<const gateway::mesh_configuration> configuration) {
  order("config", std::move(configuration));
}

void gateway_fleet::order(const std::string& key, gateway::record_value value) {
  gateway::operator_record record;
  record.offset = log_.size();
  record.key = key;
  record.value = std::move(value);
  log_.push_back(std::move(record));
  for (std::size_t at = 0; at < nodes_.size(); ++at) {
    if (nodes_[at].follows || !nodes_[at].core->operator_records().configuration()) {
      feed_log(at);
    }
  }
}

void gateway_fleet::feed_log(std::size_t at) {
  node& value = nodes_[at];
  if (is_store_down || value.log_position == log_.size()) {
    return;
  }
  gateway::operator_records_received operator_records;
  operator_records.records.assign(log_.begin() + static_cast<std::ptrdiff_t>(value.log_position),
                                  log_.end());
  operator_records.end_offset = log_.size();
  value.log_position = log_.size();
  after(near_delay, [this, at, operator_records] { handle(at, operator_records); });
}

void gateway_fleet::handle(std::size_t at, gateway::event value) {
  if (exited.contains(at)) {
    return;
  }
  for (gateway::action& item : nodes_[at].core->handle(std::move(value), now_)) {
    std::visit(performer{*this, at}, item);
  }
}

void gateway_fleet::after(duration delay, std::function<void()> what) {
  agenda_.emplace(now_ + delay, std::move(what));
}

std::size_t gateway_fleet::number_of(const std::string& host) const {
  const auto found = std::find_if(nodes_.begin(), nodes_.end(),
                                  [&](const node& item) { return item.settings.host == host; });
  return static_cast<std::size_t>(found - nodes_.begin());
}

bool gateway_fleet::is_cut(std::size_t one, std::size_t other) const {
  return cuts.contains({std::min(one, other), std::max(one, other)});
}

void gateway_fleet::beat(std::size_t at) {
  if (!nodes_[at].upstream.is_down) {
    ++nodes_[at].sequence;
    send_heartbeat(at, next_heartbeat(at));
  }
}

std::uint64_t gateway_fleet::send_heartbeat(std::size_t at, const gateway::heartbeat& content) {
  const std::uint64_t token = ++last_token_;
  handle(at, gateway::heartbeat_received{token, content});
  return token;
}

gateway::heartbeat gateway_fleet::next_heartbeat(std::size_t at) const {
  const node& value = nodes_[at];
  gateway::heartbeat beat;
  beat.instance_id = "i-" + std::to_string(at);
  beat.started_ms = 1000 + static_cast<std::int64_t>(at);
  beat.sequence = value.sequence;
  beat.service = value.settings.service;
  beat.version = value.upstream.version;
  beat.address = value.settings.upstream_address;
  beat.slots = value.upstream.slots;
  beat.state = value.upstream.is_draining ? gateway::upstream_lifecycle::draining
                                          : gateway::upstream_lifecycle::ready;
  beat.cold_for = value.upstream.cold_for;
  return beat;
}

void gateway_fleet::run_at_upstream(std::size_t at, const gateway::send_to_upstream& action) {
  const std::uint64_t attempt = action.attempt;
  upstream_behaviour& upstream = nodes_[at].upstream;
  gateway::attempt_completed end;
  end.attempt = attempt;
  if (upstream.is_down) {
    end.is_unreachable = true;
    end.result.outcome = gateway::run_outcome::not_executed;
    after(upstream_delay, [this, at, end] { handle(at, end); });
    return;
  }
  end.result.reached_upstream = true;
  if (upstream.sheds) {
    end.result.outcome = gateway::run_outcome::not_executed;
    end.result.reason = "upstream refused";
    after(upstream_delay, [this, at, end] { handle(at, end); });
    return;
  }
  ++runs[action.request.content.attempt_id];
  run_versions[action.request.content.attempt_id] = upstream.version;
  most_running[at] = std::max(most_running[at], ++running_now[at]);
  starts[at].push_back(now_);
  end.result.outcome =
      upstream.loses_answers ? gateway::run_outcome::unknown : gateway::run_outcome::answered;
  constexpr int status_ok = 200;
  constexpr int status_error = 500;
  end.result.answer.status = random_.fraction() < upstream.error_share ? status_error : status_ok;
  end.result.answer.body = action.request.content.attempt_id;
  const std::uint64_t process = nodes_[at].process;
  after(upstream.work, [this, at, end, process, attempt] {
    --running_now[at];
    if (nodes_[at].process == process && !cancelled_.contains({at, attempt})) {
      handle(at, end);
    }
  });
}

std::uint64_t gateway_fleet::call(std::size_t at, const std::string& host,
                                  const std::string& target, bool is_get, duration time_left) {
  gateway::call_received received;
  received.token = ++last_token_;
  received.content.attempt_id = "attempt-" + std::to_string(received.token);
  received.content.host = host;
  received.content.message.method = is_get ? "GET" : "POST";
  received.content.message.target = target;
  received.content.time_left = time_left;
  const std::uint64_t token = received.token;
  handle(at, std::move(received));
  return token;
}

void gateway_fleet::leave(std::size_t at, std::uint64_t token) {
  handle(at, gateway::caller_disconnected{token});
}

void gateway_fleet::stop(std::size_t at) {
  handle(at, gateway::stop_requested{});
}

void gateway_fleet::run_for(duration time) {
  const core::time_point end = now_ + time;
  while (now_ < end) {
    const core::time_point next_tick = now_ + gateway::tick_period;
    while (!agenda_.empty() && agenda_.begin()->first <= next_tick) {
      now_ = std::max(now_, agenda_.begin()->first);
      const std::function<void()> what = std::move(agenda_.begin()->second);
      agenda_.erase(agenda_.begin());
      what();
    }
    now_ = next_tick;
    for (std::size_t at = 0; at < nodes_.size(); ++at) {
      if (exited.contains(at)) {
        continue;
      }
      if (now_ >= nodes_[at].next_heartbeat) {
        nodes_[at].next_heartbeat = now_ + heartbeat_period;
        beat(at);
      }
      handle(at, gateway::tick{});
    }
  }
}

} // namespace arbutuslb::fakes
