#include "arbutuslb/fakes/test_fleet.h"

#include <stdexcept>

namespace arbutuslb::fakes {

namespace engine = core::engine;
namespace protocol = core::protocol;
using core::duration;

namespace {

constexpr std::int64_t start_epoch_seconds = 1'764'806'400; // fixed, so that runs are reproducible
constexpr std::chrono::milliseconds lost_answer_delay{2500};

std::string event_line(const engine::write_event& event) {
  std::string line = event.name;
  for (const auto& [key, value] : event.fields) {
    line += " " + key + "=" + value;
  }
  return line;
}

} // namespace

test_fleet::test_fleet(std::uint64_t seed)
    : now_(std::chrono::seconds{start_epoch_seconds}), random_(seed) {}

// --- the fleet ---

void test_fleet::add(const std::string& name, const std::string& domain, const std::string& service,
                     const std::string& version, model_upstream_settings upstream) {
  process& added = processes_[name];
  const std::uint16_t port = static_cast<std::uint16_t>(next_port_++);
  added.settings.instance = name;
  added.settings.domain = domain;
  added.settings.address = {"10.0.0.1", port, port};
  added.settings.service = service;
  added.settings.version = version;
  for (std::uint16_t seed = 0; seed < seed_count; ++seed) {
    const std::uint16_t seed_port = static_cast<std::uint16_t>(first_port + seed);
    added.settings.seeds.push_back({"10.0.0.1", seed_port, seed_port});
  }
  added.upstream.settings = upstream;
  names_by_address_[added.settings.address] = name;
  start(added);
}

void test_fleet::start(process& target) {
  ++target.generation;
  target.highest_version = 0;
  target.is_frozen = false;
  target.deferred_events.clear();
  target.core = std::make_unique<engine::daemon_core>(target.settings, random_.bits(), now_);
  schedule_tick(target.settings.instance, target.generation);
}

void test_fleet::schedule_tick(const std::string& name, std::uint64_t generation) {
  at(now_ + engine::tick_period, [this, name, generation] {
    process& target = processes_.at(name);
    if (target.generation != generation || !target.core) {
      return;
    }
    if (!target.is_frozen) {
      deliver(name, engine::tick{});
    }
    schedule_tick(name, generation);
  });
}

void test_fleet::kill(const std::string& name) {
  process& target = processes_.at(name);
  target.core.reset();
  ++target.generation;
}

void test_fleet::restart(const std::string& name) {
  kill(name);
  start(processes_.at(name));
}

void test_fleet::freeze(const std::string& name) {
  processes_.at(name).is_frozen = true;
}

void test_fleet::thaw(const std::string& name) {
  process& target = processes_.at(name);
  target.is_frozen = false;
  for (engine::event& value : std::exchange(target.deferred_events, {})) {
    deliver(name, std::move(value));
  }
}

void test_fleet::stop(const std::string& name) {
  deliver(name, engine::stop_requested{});
}

void test_fleet::restart_upstream(const std::string& name) {
  model_upstream& target = upstream(name);
  target.is_listening = true;
  target.make_cold();
}

bool test_fleet::is_running(const std::string& name) const {
  return processes_.at(name).core != nullptr;
}

engine::daemon_core& test_fleet::daemon(const std::string& name) {
  return *processes_.at(name).core;
}

model_upstream& test_fleet::upstream(const std::string& name) {
  return processes_.at(name).upstream;
}

std::vector<std::string> test_fleet::names() const {
  std::vector<std::string> all;
  for (const auto& [name, ignored] : processes_) {
    all.push_back(name);
  }
  return all;
}

// --- faults ---

void test_fleet::cut(const std::string& domain, const std::string& other) {
  partitions_.insert({domain, other});
  partitions_.insert({other, domain});
}

void test_fleet::cut_log(const std::string& domain) {
  log_partitions_.insert(domain);
}

void test_fleet::heal() {
  partitions_.clear();
  log_partitions_.clear();
}

bool test_fleet::is_cut(const std::string& domain, const std::string& other) const {
  return partitions_.contains({domain, other});
}

// --- time ---

void test_fleet::at(core::time_point time, std::function<void()> callback) {
  queue_.push({time, next_order_++, std::move(callback)});
}

void test_fleet::run_for(duration time) {
  const core::time_point end = now_ + time;
  run_until([this, end] { return now_ >= end; }, time);
}

bool test_fleet::run_until(const std::function<bool()>& condition, duration limit) {
  const core::time_point end = now_ + limit;
  while (!condition()) {
    if (queue_.empty() || queue_.top().time > end) {
      now_ = end;
      return condition();
    }
    const scheduled next = queue_.top();
    queue_.pop();
    now_ = next.time;
    next.callback();
  }
  return true;
}

void test_fleet::deliver_later(const std::string& name, std::uint64_t generation, duration delay,
                               engine::event value) {
  at(now_ + delay, [this, name, generation, delayed = std::move(value)] {
    process& target = processes_.at(name);
    if (target.generation == generation && target.core) {
      deliver(name, delayed);
    }
  });
}

void test_fleet::deliver(const std::string& name, engine::event value) {
  process& target = processes_.at(name);
  if (!target.core) {
    return;
  }
  if (target.is_frozen) {
    target.deferred_events.push_back(std::move(value));
    return;
  }
  for (const engine::action& action : target.core->handle(value, now_)) {
    perform(name, action);
    if (!target.core) {
      return;
    }
  }
  check_invariants(name);
}

// --- actions ---

void test_fleet::perform(const std::string& name, const engine::action& action) {
  if (const engine::send_message* message = std::get_if<engine::send_message>(&action)) {
    send(name, *message);
  } else if (const engine::read_log* read = std::get_if<engine::read_log>(&action)) {
    const std::uint64_t generation = processes_.at(name).generation;
    at(now_ + log.delay, [this, name, generation, request = *read] {
      if (processes_.at(name).generation == generation) {
        read_log(name, request, false);
      }
    });
  } else if (const engine::append_log* append = std::get_if<engine::append_log>(&action)) {
    append_log(name, *append);
  } else if (const engine::answer_caller* answer = std::get_if<engine::answer_caller>(&action)) {
    record_answer(*answer);
  } else if (const engine::execute_request* run = std::get_if<engine::execute_request>(&action)) {
    execute_request(name, *run);
  } else if (const engine::answer_operator* operator_answer =
                 std::get_if<engine::answer_operator>(&action)) {
    answers_.emplace(operator_answer->token, core::operators::parse_report(operator_answer->body));
  } else if (const engine::write_event* event = std::get_if<engine::write_event>(&action)) {
    events_.push_back(name + " " + event_line(*event));
  } else if (std::holds_alternative<engine::exit_process>(action)) {
    kill(name);
  }
}

void test_fleet::send(const std::string& from, const engine::send_message& action) {
  process& source = processes_.at(from);
  const std::size_t size = size_of ? size_of(action.value) : 0;
  source.bytes += size;
  const bool is_stream = action.via == engine::channel::stream;
  if (random_.fraction() < (is_stream ? link.stream_loss : link.datagram_loss)) {
    return;
  }
  const std::map<core::peer_address, std::string>::const_iterator found =
      names_by_address_.find(action.to);
  if (found == names_by_address_.end() ||
      is_cut(source.settings.domain, processes_.at(found->second).settings.domain)) {
    return;
  }
  processes_.at(found->second).bytes += size;
  const int copies = random_.fraction() < link.repeat ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const duration delay = link.min_delay + random_.jitter(link.max_delay - link.min_delay);
    // Messages in transit are delivered to the address, so a restarted process receives those for
    // its earlier process.
    at(now_ + delay, [this, to = found->second, value = action.value] {
      deliver(to, engine::peer_message{value});
    });
  }
}

void test_fleet::read_log(const std::string& name, const engine::read_log& action,
                          bool has_waited) {
  const process& target = processes_.at(name);
  engine::log_read result{action.request, action.stream, false, 0, {}, 1, 1};
  if (log.is_down || log_partitions_.contains(target.settings.domain)) {
    result.failed = true;
    deliver_later(name, target.generation, log.delay, result);
    return;
  }
  constexpr std::size_t max_records = 500;
  const log_store::slice found = action.from_offset == engine::latest_record
                                     ? store.read_latest(action.stream)
                                     : store.read(action.stream, action.from_offset, max_records);
  const bool has_result = !found.records.empty() || found.oldest > action.from_offset;
  if (!has_result && !has_waited && action.wait > duration::zero()) {
    const std::uint64_t generation = target.generation;
    constexpr int polls = 8;
    engine::read_log rest = action;
    rest.wait = action.wait - action.wait / polls;
    const bool is_last = rest.wait < std::chrono::milliseconds{50};
    at(now_ + action.wait / polls, [this, name, generation, rest, is_last] {
      if (processes_.at(name).generation == generation) {
        read_log(name, rest, is_last);
      }
    });
    return;
  }
  result.first_offset = found.first;
  result.records = found.records;
  result.oldest_offset = found.oldest;
  result.next_offset = found.next;
  deliver_later(name, target.generation, log.delay, result);
}

void test_fleet::append_log(const std::string& name, const engine::append_log& action) {
  const process& target = processes_.at(name);
  engine::log_appended result{action.request, engine::append_result::refused, 0};
  if (log.is_down || log_partitions_.contains(target.settings.domain)) {
    deliver_later(name, target.generation, log.delay, result);
    return;
  }
  result.offset = store.append(action.stream, action.record);
  result.result = engine::append_result::appended;
  if (action.stream == engine::config_stream && log.lose_answers > 0) {
    --log.lose_answers;
    result.result = engine::append_result::unknown;
    deliver_later(name, target.generation, lost_answer_delay, result);
    return;
  }
  deliver_later(name, target.generation, log.delay, result);
}

void test_fleet::execute_request(const std::string& name, const engine::execute_request& action) {
  process& target = processes_.at(name);
  const std::uint64_t generation = target.generation;
  if (!target.upstream.is_listening) {
    deliver_later(name, generation, std::chrono::microseconds{200},
                  engine::upstream_failed{action.execution, engine::upstream_fault::not_connected});
    return;
  }
  const model_upstream::plan plan = target.upstream.start(action.content, random_);
  target.running[action.execution] = action.content.body;
  if (action.content.body.find("crash") != std::string::npos) {
    at(now_ + std::chrono::milliseconds{1}, [this, name] { kill_upstream(name); });
    return;
  }
  const duration latency = std::min(plan.latency, action.time_left);
  const bool is_late = plan.latency > action.time_left;
  at(now_ + latency, [this, name, generation, action, plan, is_late] {
    process& host = processes_.at(name);
    if (host.running.erase(action.execution) == 0) {
      return; // the upstream died during the execution
    }
    host.upstream.finish();
    if (host.generation != generation || !host.core) {
      return;
    }
    if (is_late) {
      deliver(name, engine::upstream_failed{action.execution, engine::upstream_fault::timed_out});
    } else {
      deliver(name,
              engine::upstream_answered{
                  action.execution, {plan.status, "text/plain", "echo:" + action.content.body}});
    }
  });
}

void test_fleet::kill_upstream(const std::string& name) {
  process& target = processes_.at(name);
  if (!target.upstream.is_listening) {
    return;
  }
  ++upstream_deaths_;
  target.upstream.is_listening = false;
  target.upstream.in_flight = 0;
  for (const auto& [execution, body] : std::exchange(target.running, {})) {
    deliver(name, engine::upstream_failed{execution, engine::upstream_fault::died});
  }
}

// --- callers and operators ---

std::uint64_t test_fleet::call(const std::string& via, const std::string& path,
                               const std::string& body, duration deadline, const std::string& key) {
  const std::uint64_t token = next_token_++;
  calls_[token] = call_record{body, path, now_, std::nullopt, {}};
  deliver(via, engine::call_received{token, {"POST", path, "text/plain", body, key, 0}, deadline});
  return token;
}

engine::answer_caller test_fleet::call_and_wait(const std::string& via, const std::string& path,
                                                const std::string& body, duration deadline,
                                                const std::string& key) {
  const std::uint64_t token = call(via, path, body, deadline, key);
  run_until([&] { return calls_.at(token).answer.has_value(); },
            deadline + std::chrono::seconds{2});
  return calls_.at(token).answer.value_or(engine::answer_caller{});
}

std::string test_fleet::mint_key(const std::string& via) {
  return call_and_wait(via, engine::mint_path, "", std::chrono::seconds{1}).answer.body;
}

std::uint64_t test_fleet::send_command(const std::string& via, const std::string& text,
                                       const std::string& document, const std::string& id,
                                       const std::string& operator_name) {
  const std::uint64_t token = next_token_++;
  deliver(via, engine::operator_command_received{token, text, document, id, operator_name});
  return token;
}

std::optional<core::operators::report> test_fleet::answer_to(std::uint64_t token) const {
  const std::map<std::uint64_t, core::operators::report>::const_iterator found =
      answers_.find(token);
  if (found == answers_.end()) {
    return std::nullopt;
  }
  return found->second;
}

core::operators::report test_fleet::ask(const std::string& via, const std::string& text,
                                        const std::string& document, const std::string& id,
                                        const std::string& operator_name) {
  const std::uint64_t token = send_command(via, text, document, id, operator_name);
  constexpr std::chrono::seconds answer_timeout{30};
  if (!run_until([&] { return answers_.contains(token); }, answer_timeout)) {
    throw std::runtime_error("no answer within 30 s to command: " + text);
  }
  return answers_.at(token);
}

// --- invariants ---

void test_fleet::record_violation(const std::string& text) {
  violations_.push_back(
      std::to_string((now_ - core::time_point{std::chrono::seconds{start_epoch_seconds}}).count()) +
      "us " + text);
}

void test_fleet::record_answer(const engine::answer_caller& answer) {
  const std::map<std::uint64_t, call_record>::iterator found = calls_.find(answer.token);
  if (found == calls_.end()) {
    return;
  }
  call_record& call = found->second;
  if (call.answer) {
    record_violation("call " + call.body + " was answered twice");
    return;
  }
  call.answer = answer;
  call.ended = now_;
  const bool is_mint = call.path == engine::mint_path;
  if (!is_mint && answer.outcome == protocol::call_outcome::answered &&
      answer.answer.body != "echo:" + call.body) {
    record_violation("call " + call.body + " got another call's answer: " + answer.answer.body);
  }
}

std::vector<std::string> test_fleet::violations() const {
  std::vector<std::string> all = violations_;
  std::map<std::string, bool> reported_not_executed; // by body
  for (const auto& [token, call] : calls_) {
    const bool not_executed =
        call.answer && call.answer->outcome == protocol::call_outcome::not_executed;
    const auto [found, is_first] = reported_not_executed.emplace(call.body, not_executed);
    found->second = found->second && not_executed;
  }
  for (const auto& [body, not_executed] : reported_not_executed) {
    if (not_executed && total_executions_of_body(body) > 0) {
      all.push_back("call " + body + " was answered \"not run\" but was executed");
    }
  }
  return all;
}

void test_fleet::check_invariants(const std::string& name) {
  process& target = processes_.at(name);
  const core::config::configuration& state = target.core->configuration();
  if (state.version() == target.highest_version) {
    return;
  }
  if (state.version() < target.highest_version) {
    record_violation(name + " reverted to the earlier version " + std::to_string(state.version()));
  }
  target.highest_version = state.version();
  const auto [known, is_new] = hash_by_version_.emplace(state.version(), state.state_hash());
  if (known->second != state.state_hash()) {
    record_violation(name + " has another state hash than the first daemon at version " +
                     std::to_string(state.version()));
  }
  for (const auto& [route, value] : state.routes()) {
    if (state.find_service(value.service) == nullptr) {
      record_violation(name + " has route " + route + " to an unknown service");
    }
  }
}

// --- results ---

bool test_fleet::has_event(const std::string& part) const {
  const auto contains = [&part](const std::string& line) {
    return line.find(part) != std::string::npos;
  };
  return std::any_of(events_.begin(), events_.end(), contains);
}

bool test_fleet::all_at_version(core::config_version version) const {
  const auto has_version = [version](const auto& item) {
    return !item.second.core || item.second.core->configuration().version() >= version;
  };
  return std::all_of(processes_.begin(), processes_.end(), has_version);
}

int test_fleet::total_executions_of_body(const std::string& body) const {
  int total = 0;
  for (const auto& [name, item] : processes_) {
    const std::map<std::string, int>::const_iterator found =
        item.upstream.executions_by_body.find(body);
    total += found == item.upstream.executions_by_body.end() ? 0 : found->second;
  }
  return total;
}

int test_fleet::most_executions_of_a_key() const {
  std::map<std::string, int> totals;
  int highest = 0;
  for (const auto& [name, item] : processes_) {
    for (const auto& [key, runs] : item.upstream.executions_by_key) {
      totals[key] += runs;
      highest = std::max(highest, totals[key]);
    }
  }
  return highest;
}

std::uint64_t test_fleet::bytes_of(const std::string& name) const {
  return processes_.at(name).bytes;
}

} // namespace arbutuslb::fakes
