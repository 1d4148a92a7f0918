// Tests of a single daemon of the data path: requests that it must refuse or cancel, and a planned
// stop, independent of the state that its peers have recorded. Each test fails without the
// mechanism that it names.

#include "arbutuslb/core/gateway/gateway_core.h"
#include "arbutuslb/core/gateway/request_fingerprint.h"

#include <criterion/criterion.h>
#include <map>
#include <memory>

namespace {

using namespace std::chrono_literals;
namespace gateway = arbutuslb::core::gateway;
using arbutuslb::core::time_point;

const time_point start{1000s};
constexpr const char* instance = "i-1";

gateway::gateway_settings settings() {
  gateway::gateway_settings value;
  value.name = "one";
  value.host = "10.0.0.1";
  value.domain = "a";
  value.service = "menu";
  value.upstream_address = "10.0.0.1:80";
  return value;
}

gateway::operator_records_received initial_configuration() {
  auto configuration = std::make_shared<gateway::mesh_configuration>();
  configuration->version = 1;
  configuration->services["menu"].name = "menu";
  gateway::route_policy route;
  route.name = "r-menu";
  route.host = "shop.example";
  route.path_prefix = "/menu/";
  route.is_idempotent = true;
  route.timeout = 1000ms;
  route.target_latency = 300ms;
  route.max_upstreams = 2;
  route.split = {{"menu", 1.0}};
  configuration->routes["shop.example"]["/menu/"] = route;
  gateway::operator_records_received value;
  value.records.push_back({{0, 0}, "config", "", std::move(configuration)});
  value.end.offset = 1;
  return value;
}

gateway::heartbeat heartbeat() {
  gateway::heartbeat value;
  value.instance_id = instance;
  value.started_ms = 5;
  value.sequence = 1;
  value.service = "menu";
  value.domain = "a";
  value.version = "v1";
  value.address = "10.0.0.1:80";
  value.slots = 4;
  return value;
}

// A daemon that has read the store and received a heartbeat of its upstream.
struct tested_daemon {
  explicit tested_daemon(bool has_configuration = true) {
    core.handle(gateway::peers_discovered{}, start);
    if (has_configuration) {
      core.handle(initial_configuration(), start);
    }
    core.handle(gateway::heartbeat_received{1, heartbeat()}, start);
  }
  std::vector<gateway::action> run(const std::string& instance_id = instance) {
    gateway::run_requested request;
    request.token = 7;
    request.content.content.attempt_id = "a-1";
    request.content.instance_id = instance_id;
    request.content.route = "r-menu";
    request.content.time_left = 1000ms;
    request.content.target_time_left = 300ms;
    return core.handle(request, start);
  }
  gateway::gateway_core core{settings(), 1, start};
};

template <typename action_type>
const action_type* find(const std::vector<gateway::action>& actions) {
  for (const gateway::action& item : actions) {
    if (const action_type* found = std::get_if<action_type>(&item)) {
      return found;
    }
  }
  return nullptr;
}

bool is_refused(const std::vector<gateway::action>& actions) {
  const gateway::answer_peer* answer = find<gateway::answer_peer>(actions);
  return find<gateway::send_to_upstream>(actions) == nullptr && answer != nullptr &&
         answer->result.outcome == gateway::run_outcome::not_executed;
}

} // namespace

Test(gate, sends_an_accepted_request_to_the_upstream) {
  tested_daemon one;
  cr_assert(find<gateway::send_to_upstream>(one.run()) != nullptr);
}

Test(gate, refuses_requests_while_its_domain_is_withdrawn) {
  tested_daemon one;
  gateway::operator_records_received withdrawal;
  withdrawal.records.push_back({{0, 1}, "evacuate/a", "", gateway::domain_withdrawal{"a"}});
  withdrawal.end.offset = 2;
  one.core.handle(withdrawal, start);
  cr_assert(is_refused(one.run()));
}

Test(gate, refuses_a_request_for_another_upstream_instance) {
  tested_daemon one;
  cr_assert(is_refused(one.run("i-before")));
}

// Guards against requests at a version that was rolled back, and at an upstream that they were not
// meant for: those that waited when it changed were sent.
Test(gate, a_request_that_waits_is_refused_when_its_upstream_is_replaced) {
  tested_daemon one;
  for (int i = 0; i < heartbeat().slots; ++i) {
    cr_assert_neq(find<gateway::send_to_upstream>(one.run()), nullptr);
  }
  cr_assert_eq(find<gateway::send_to_upstream>(one.run()), nullptr); // waits
  gateway::heartbeat next = heartbeat();
  next.instance_id = "i-2";
  next.started_ms += 1;
  next.slots = 20;
  const std::vector<gateway::action> actions =
      one.core.handle(gateway::heartbeat_received{2, next}, start);
  cr_assert_eq(find<gateway::send_to_upstream>(actions), nullptr, "sent to another instance");
  cr_assert(is_refused(actions));
}

Test(gate, refuses_requests_without_a_configuration) {
  tested_daemon one(false);
  cr_assert(is_refused(one.run()));
}

Test(gate, a_planned_stop_waits_until_callers_have_noticed_it) {
  tested_daemon one;
  one.core.handle(gateway::stop_requested{}, start);
  const std::vector<gateway::action> early = one.core.handle(gateway::tick{}, start + 2000ms);
  cr_assert(find<gateway::stop_reading_callers>(early) == nullptr);
  cr_assert(find<gateway::exit_process>(early) == nullptr);
  const std::vector<gateway::action> later = one.core.handle(gateway::tick{}, start + 2300ms);
  cr_assert(find<gateway::stop_reading_callers>(later) != nullptr);
  cr_assert(find<gateway::exit_process>(later) == nullptr);
  one.core.handle(gateway::callers_drained{}, start + 2400ms);
  cr_assert(find<gateway::exit_process>(one.core.handle(gateway::tick{}, start + 2400ms)) !=
            nullptr);
}

Test(gate, a_caller_disconnect_cancels_its_request_at_the_peer) {
  tested_daemon one;
  gateway::peer_report peer;
  peer.name = "two";
  peer.host = "10.0.0.2";
  peer.domain = "a";
  peer.process_epoch = 1;
  peer.sequence = 1;
  peer.service = "menu";
  peer.instance_id = "i-2";
  peer.is_usable = true;
  peer.limit = 4;
  one.core.handle(gateway::reports_received{"10.0.0.2", {{{peer, {}}}, {}}}, start);
  gateway::heartbeat leaving = heartbeat();
  leaving.sequence = 2;
  leaving.state = gateway::upstream_lifecycle::draining; // so that the peer is selected
  one.core.handle(gateway::heartbeat_received{2, leaving}, start);
  gateway::call_received call;
  call.token = 9;
  call.content.attempt_id = "a-1";
  call.content.host = "shop.example";
  call.content.message.target = "/menu/1";
  const std::vector<gateway::action> sent = one.core.handle(call, start);
  const gateway::send_to_peer* peer_request = find<gateway::send_to_peer>(sent);
  cr_assert(peer_request != nullptr);
  const std::vector<gateway::action> after_disconnect =
      one.core.handle(gateway::caller_disconnected{9}, start);
  const gateway::cancel_attempt* cancelled = find<gateway::cancel_attempt>(after_disconnect);
  cr_assert(cancelled != nullptr);
  cr_assert_eq(cancelled->attempt, peer_request->attempt);
}

// A store that refuses records is offered a departure less and less often: while it turned away the
// daemons of 70 leaving upstreams, each of them submitted its record five times a second.
Test(gate, a_departure_that_the_store_refuses_is_submitted_less_and_less_often) {
  tested_daemon one;
  gateway::heartbeat leaving = heartbeat();
  leaving.sequence = 2;
  leaving.state = gateway::upstream_lifecycle::draining;
  std::vector<gateway::action> actions =
      one.core.handle(gateway::heartbeat_received{2, leaving}, start);
  int submitted = 0;
  for (std::chrono::milliseconds elapsed{0}; elapsed <= 8s; elapsed += 20ms) {
    if (const gateway::record_departure* action = find<gateway::record_departure>(actions)) {
      ++submitted;
      one.core.handle(gateway::departure_recorded{action->departed, false}, start + elapsed);
    }
    actions = one.core.handle(gateway::tick{}, start + elapsed);
  }
  cr_assert(submitted >= 4, "%d", submitted);
  cr_assert(submitted <= 8, "%d", submitted);
}

Test(gate, a_restored_departure_is_not_recorded_again) {
  gateway::gateway_core core(settings(), 1, start);
  gateway::peers_discovered found;
  found.departed = gateway::upstream_incarnation{"i-0", 4};
  core.handle(found, start);
  for (int i = 1; i <= 50; ++i) {
    cr_assert(find<gateway::record_departure>(core.handle(gateway::tick{}, start + i * 20ms)) ==
              nullptr);
  }
}

Test(gate, a_departure_is_recorded_although_an_earlier_one_is_read_from_the_store) {
  tested_daemon one;
  gateway::heartbeat leaving = heartbeat();
  leaving.sequence = 2;
  leaving.state = gateway::upstream_lifecycle::draining;
  one.core.handle(gateway::heartbeat_received{2, leaving}, start);
  gateway::peers_discovered found;
  found.departed = gateway::upstream_incarnation{"i-0", 4};
  one.core.handle(found, start + 10ms);
  one.core.handle(gateway::departure_recorded{{instance, 5}, false}, start + 20ms);
  cr_assert(find<gateway::record_departure>(one.core.handle(gateway::tick{}, start + 300ms)) !=
            nullptr);
}

Test(gate, a_cold_upstream_that_started_with_its_daemon_is_used_up_to_its_rate_at_once) {
  const auto count_accepted = [](std::int64_t started_before_daemon_ms) {
    gateway::gateway_settings values = settings();
    values.cold_load_factor = 1.5;
    values.cold_load_extra = 4;
    gateway::gateway_core core(values, 1, start);
    core.handle(gateway::peers_discovered{}, start);
    gateway::operator_records_received records = initial_configuration();
    auto configuration = std::make_shared<gateway::mesh_configuration>(
        *std::get<std::shared_ptr<const gateway::mesh_configuration>>(records.records[0].value));
    configuration->services["menu"].cold_rate = 10;
    records.records[0].value = std::move(configuration);
    core.handle(records, start);
    gateway::heartbeat cold = heartbeat();
    cold.slots = 100;
    cold.cold_for = 3s;
    cold.started_ms = 1'000'000 - started_before_daemon_ms;
    core.handle(gateway::heartbeat_received{1, cold}, start);
    int accepted = 0;
    for (std::uint64_t token = 1; token <= 40; ++token) {
      gateway::run_requested request;
      request.token = token;
      request.content.instance_id = instance;
      request.content.time_left = 1000ms;
      const std::vector<gateway::action> actions = core.handle(request, start + 10ms);
      accepted += find<gateway::send_to_upstream>(actions) != nullptr ? 1 : 0;
    }
    return accepted;
  };
  cr_assert_eq(count_accepted(80), 17); // 10 * 1.5 + 4 / 2
  cr_assert_eq(count_accepted(800), 2); // the previous process may have sent 17
}

Test(gate, a_death_of_the_upstream_is_logged_with_the_requests_that_it_interrupted) {
  tested_daemon daemon;
  const std::vector<gateway::action> started = daemon.run();
  const gateway::send_to_upstream* sent = find<gateway::send_to_upstream>(started);
  cr_assert_neq(sent, nullptr);
  gateway::attempt_completed broken{sent->attempt, {}};
  broken.is_broken = true;
  cr_assert_neq(find<gateway::probe_upstream>(daemon.core.handle(broken, start)), nullptr);
  const std::vector<gateway::action> actions =
      daemon.core.handle(gateway::upstream_probed{gateway::probe_outcome::refused}, start);
  const auto* line = find<arbutuslb::core::engine::write_event>(actions);
  cr_assert_neq(line, nullptr);
  cr_assert_eq(line->name, "upstream_died");
  cr_assert_eq(line->fields.back().second.rfind("a-1:", 0), 0);
  cr_assert_eq(daemon.core.totals().upstream_deaths, 1);
}

Test(gate, a_connection_that_breaks_while_the_upstream_lives_is_no_death) {
  tested_daemon daemon;
  const std::vector<gateway::action> started = daemon.run();
  const gateway::send_to_upstream* sent = find<gateway::send_to_upstream>(started);
  gateway::attempt_completed broken{sent->attempt, {}};
  broken.is_broken = true;
  daemon.core.handle(broken, start);
  daemon.core.handle(gateway::upstream_probed{gateway::probe_outcome::reachable}, start);
  cr_assert_eq(daemon.core.totals().upstream_deaths, 0);
}

Test(gate, a_planned_stop_waits_for_interrupted_requests) {
  tested_daemon daemon;
  const std::vector<gateway::action> started = daemon.run();
  daemon.core.handle(gateway::stop_requested{}, start);
  gateway::attempt_completed broken{find<gateway::send_to_upstream>(started)->attempt, {}};
  broken.is_broken = true;
  daemon.core.handle(broken, start + 2s);
  cr_assert_eq(find<gateway::exit_process>(daemon.core.handle(gateway::tick{}, start + 3s)),
               nullptr);
  const std::vector<gateway::action> actions =
      daemon.core.handle(gateway::upstream_probed{gateway::probe_outcome::unknown}, start + 3s);
  cr_assert_neq(find<gateway::answer_peer>(actions), nullptr);
  cr_assert_neq(
      find<gateway::stop_reading_callers>(daemon.core.handle(gateway::tick{}, start + 4s)),
      nullptr);
  daemon.core.handle(gateway::callers_drained{}, start + 4s);
  cr_assert_neq(find<gateway::exit_process>(daemon.core.handle(gateway::tick{}, start + 4s)),
                nullptr);
}

Test(gate, a_death_is_noticed_when_the_upstream_has_started_again_before_the_probe) {
  tested_daemon daemon;
  const std::vector<gateway::action> started = daemon.run();
  gateway::attempt_completed broken{find<gateway::send_to_upstream>(started)->attempt, {}};
  broken.is_broken = true;
  daemon.core.handle(broken, start);
  daemon.core.handle(gateway::upstream_probed{gateway::probe_outcome::reachable}, start);
  gateway::heartbeat restarted = heartbeat();
  restarted.instance_id = "i-2";
  restarted.started_ms = 6;
  daemon.core.handle(gateway::heartbeat_received{2, restarted}, start + 1s);
  cr_assert_eq(daemon.core.totals().upstream_deaths, 1);
  cr_assert_eq(daemon.core.totals().suspicions, 1);
}

namespace {

// Sends a request with its own target, or one that was given, of which the sender knows this many
// deaths.
std::vector<gateway::action> run_suspect(tested_daemon& daemon, std::uint64_t number,
                                         std::uint32_t deaths, const std::string& target = "") {
  gateway::run_requested request;
  request.token = number;
  request.content.content.attempt_id = "s-" + std::to_string(number);
  request.content.content.message.target =
      target.empty() ? "/menu/" + std::to_string(number) : target;
  request.content.instance_id = instance;
  request.content.route = "r-menu";
  request.content.time_left = 1000ms;
  request.content.target_time_left = 300ms;
  if (deaths > 0) {
    request.content.suspicion = {gateway::fingerprint_of(request.content.content), 0, deaths,
                                 start};
  }
  return daemon.core.handle(request, start);
}

// Starts requests 1 to 4, as many as the upstream has slots. Returns their attempts.
std::vector<std::uint64_t> fill_slots(tested_daemon& daemon) {
  std::vector<std::uint64_t> running;
  for (std::uint64_t number = 1; number <= 4; ++number) {
    const std::vector<gateway::action> actions = run_suspect(daemon, number, 0);
    running.push_back(find<gateway::send_to_upstream>(actions)->attempt);
  }
  return running;
}

gateway::attempt_completed answered(std::uint64_t attempt) {
  gateway::attempt_completed completed{attempt, {}};
  completed.result.outcome = gateway::run_outcome::answered;
  completed.result.answer.status = 200;
  return completed;
}

} // namespace

Test(gate, isolated_suspects_run_one_at_a_time) {
  tested_daemon daemon;
  const std::vector<gateway::action> first = run_suspect(daemon, 1, 2);
  cr_assert_neq(find<gateway::send_to_upstream>(first), nullptr);
  cr_assert_eq(find<gateway::send_to_upstream>(run_suspect(daemon, 2, 2)), nullptr);
  cr_assert_neq(find<gateway::send_to_upstream>(run_suspect(daemon, 3, 1)), nullptr);
  const std::vector<gateway::action> next =
      daemon.core.handle(answered(find<gateway::send_to_upstream>(first)->attempt), start + 10ms);
  const gateway::send_to_upstream* second = find<gateway::send_to_upstream>(next);
  cr_assert_neq(second, nullptr);
  cr_assert_eq(second->request.content.attempt_id, "s-2");
}

Test(gate, copies_of_a_suspect_run_one_at_a_time) {
  tested_daemon daemon;
  const std::vector<gateway::action> first = run_suspect(daemon, 1, 0, "/menu/popular");
  cr_assert_neq(find<gateway::send_to_upstream>(first), nullptr); // when it is no suspect yet
  for (const std::uint64_t number : {2, 3}) {
    const std::vector<gateway::action> copy = run_suspect(daemon, number, 1, "/menu/popular");
    cr_assert_eq(find<gateway::send_to_upstream>(copy), nullptr);
  }
  cr_assert_neq(find<gateway::send_to_upstream>(run_suspect(daemon, 4, 1)), nullptr);
  const std::vector<gateway::action> next =
      daemon.core.handle(answered(find<gateway::send_to_upstream>(first)->attempt), start + 10ms);
  const auto starts = std::count_if(next.begin(), next.end(), [](const gateway::action& item) {
    return std::holds_alternative<gateway::send_to_upstream>(item);
  });
  cr_assert_eq(starts, 2); // the answer has cleared them
}

Test(gate, a_suspect_that_has_waited_for_too_long_is_not_to_be_sent_elsewhere) {
  tested_daemon daemon;
  run_suspect(daemon, 1, 1, "/menu/popular");
  run_suspect(daemon, 2, 1, "/menu/popular");
  const std::vector<gateway::action> late = daemon.core.handle(gateway::tick{}, start + 1s);
  const gateway::answer_peer* refusal = find<gateway::answer_peer>(late);
  cr_assert_neq(refusal, nullptr);
  cr_assert_eq(refusal->token, 2);
  cr_assert(refusal->result.outcome == gateway::run_outcome::not_executed);
  cr_assert(refusal->result.is_behind_suspect);
}

Test(gate, suspects_that_wait_for_one_whose_upstream_dies_may_be_sent_elsewhere) {
  tested_daemon daemon;
  const std::vector<gateway::action> first = run_suspect(daemon, 1, 1, "/menu/popular");
  run_suspect(daemon, 2, 1, "/menu/popular");
  gateway::attempt_completed broken{find<gateway::send_to_upstream>(first)->attempt, {}};
  broken.is_broken = true;
  daemon.core.handle(broken, start + 10ms);
  const std::vector<gateway::action> ended =
      daemon.core.handle(gateway::upstream_probed{gateway::probe_outcome::refused}, start + 11ms);
  std::map<std::uint64_t, gateway::run_result> results;
  for (const gateway::action& item : ended) {
    if (const auto* answer = std::get_if<gateway::answer_peer>(&item)) {
      results[answer->token] = answer->result;
    }
  }
  cr_assert_eq(results.size(), 2);
  cr_assert(results[1].outcome == gateway::run_outcome::unknown);
  cr_assert(results[2].outcome == gateway::run_outcome::not_executed);
  cr_assert_not((results[2].is_behind_suspect));
}

Test(gate, requests_that_are_isolated_while_they_are_queued_start_one_at_a_time) {
  tested_daemon daemon;
  const std::vector<std::uint64_t> running = fill_slots(daemon);
  gateway::peer_report report;
  report.host = "10.0.0.2";
  report.process_epoch = 1;
  report.sequence = 1;
  for (const std::uint64_t number : {5, 6}) {
    cr_assert_eq(find<gateway::send_to_upstream>(run_suspect(daemon, number, 0)), nullptr);
    gateway::call content;
    content.message.target = "/menu/" + std::to_string(number);
    report.suspicions.push_back({gateway::fingerprint_of(content), 0, 2, start});
  }
  daemon.core.handle(gateway::reports_received{report.host, {{{report, {}}}, {}}}, start);
  int sent = 0;
  for (const std::uint64_t attempt : running) {
    const std::vector<gateway::action> actions =
        daemon.core.handle(answered(attempt), start + 10ms);
    sent += find<gateway::send_to_upstream>(actions) != nullptr ? 1 : 0;
  }
  cr_assert_eq(sent, 1);
}

Test(gate, a_request_that_is_refused_while_it_is_queued_does_not_start) {
  tested_daemon daemon;
  const std::vector<std::uint64_t> running = fill_slots(daemon);
  run_suspect(daemon, 5, 0);
  run_suspect(daemon, 5 + 100, 3); // another request: known elsewhere to crash, refused at once
  gateway::peer_report report;
  report.host = "10.0.0.2";
  report.process_epoch = 1;
  report.sequence = 1;
  gateway::call content;
  content.message.target = "/menu/5";
  report.suspicions.push_back({gateway::fingerprint_of(content), 0, 3, start});
  daemon.core.handle(gateway::reports_received{report.host, {{{report, {}}}, {}}}, start);
  const std::vector<gateway::action> actions =
      daemon.core.handle(answered(running[0]), start + 10ms);
  cr_assert_eq(find<gateway::send_to_upstream>(actions), nullptr);
  cr_assert_eq(daemon.core.totals().runs, 4);
  cr_assert_eq(daemon.core.totals().runs_refused, 2);
}

Test(gate, an_upstream_that_ends_after_it_has_announced_its_departure_has_not_died) {
  tested_daemon daemon;
  const std::vector<gateway::action> started = daemon.run();
  gateway::heartbeat leaving = heartbeat();
  leaving.sequence = 2;
  leaving.state = gateway::upstream_lifecycle::draining;
  daemon.core.handle(gateway::heartbeat_received{2, leaving}, start);
  gateway::attempt_completed broken{find<gateway::send_to_upstream>(started)->attempt, {}};
  broken.is_broken = true;
  daemon.core.handle(broken, start);
  daemon.core.handle(gateway::upstream_probed{gateway::probe_outcome::refused}, start);
  cr_assert_eq(daemon.core.totals().upstream_deaths, 0);
}
