// Tests of planned stops under requests that take long, on a simulated fleet with a simulated
// clock.

#include "arbutuslb/core/gateway/gateway_test_mesh.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace {

constexpr int status_gateway_timeout = 504;

// Executions take more than half of the grace period, and callers wait longer than that.
struct stop_fixture : mesh_fixture {
  explicit stop_fixture(std::uint64_t seed) : mesh_fixture(seed) {
    auto next = configuration(2);
    for (auto& [prefix, value] : next->routes["shop.example"]) {
      value.timeout = 8000ms;
      value.target_latency = 4000ms;
      value.max_upstreams = 1;
    }
    fleet.publish(next);
    for (std::size_t at = 0; at < 8; ++at) {
      fleet.upstream(at).work = 3400ms;
      fleet.upstream(at).slots = 200;
    }
    fleet.run_for(3s);
    for (int i = 0; i < 40; ++i) {
      send(0);
      fleet.run_for(100ms);
    }
    fleet.run_for(4s);
    sent.clear();
  }

  // Sends a request of each kind to the daemon.
  void send(std::size_t at) {
    sent.push_back(fleet.call(at, "shop.example", "/menu/1", true, 8000ms));
    sent.push_back(fleet.call(at, "shop.example", "/orders/1", false, 8000ms));
  }

  std::vector<std::uint64_t> sent;
};

} // namespace

// Guards against requests without an answer: one that was read late in the grace period was passed
// on although its execution could not end before the process.
Test(planned_stop, every_request_that_was_read_is_answered_before_the_process_exits) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    stop_fixture fixture(seed);
    fixture.fleet.stop(0);
    for (int i = 0; i < 55; ++i) { // callers are read for 2.2 s
      fixture.send(0);
      fixture.fleet.run_for(40ms);
    }
    fixture.fleet.run_for(5s);
    cr_assert(fixture.fleet.exited.contains(0));
    int executed = 0;
    for (const std::uint64_t token : fixture.sent) {
      cr_assert(fixture.fleet.answers.contains(token), "request %d has no answer",
                static_cast<int>(token));
      const int status = fixture.fleet.answers[token].status;
      const bool has_run = fixture.fleet.runs.contains("attempt-" + std::to_string(token));
      executed += has_run ? 1 : 0;
      cr_assert_eq(status, has_run ? status_ok : status_unavailable, "status %d, executed: %d",
                   status, static_cast<int>(has_run));
    }
    cr_assert(executed > 20);
  }
}

// Guards against requests without an answer: executions that take longer than any before are still
// running when the grace period ends.
Test(planned_stop, requests_that_outlast_the_grace_period_are_answered) {
  stop_fixture fixture(1);
  for (std::size_t at = 0; at < 8; ++at) {
    fixture.fleet.upstream(at).work = 20s;
  }
  fixture.send(0); // before the stop
  fixture.fleet.stop(0);
  fixture.send(0); // after it
  fixture.fleet.run_for(6s);
  cr_assert(fixture.fleet.exited.contains(0));
  for (const std::uint64_t token : fixture.sent) {
    cr_assert(fixture.fleet.answers.contains(token), "request %d has no answer",
              static_cast<int>(token));
    const int status = fixture.fleet.answers[token].status;
    cr_assert(status == status_gateway_timeout || status == status_bad_gateway, "status %d",
              status);
  }
}

// Guards against requests without an answer on other daemons: a request of a peer that the stopping
// daemon executes is answered before the process exits.
Test(planned_stop, executions_for_peers_that_outlast_the_grace_period_are_answered) {
  stop_fixture fixture(1);
  for (std::size_t at = 0; at < 8; ++at) {
    fixture.fleet.upstream(at).work = 20s;
  }
  for (std::size_t at = 1; at < 8; ++at) {
    fixture.send(at);
  }
  fixture.fleet.run_for(100ms);
  fixture.fleet.stop(0);
  fixture.fleet.run_for(5800ms);
  cr_assert(fixture.fleet.exited.contains(0));
  int answered = 0;
  for (const std::uint64_t token : fixture.sent) {
    answered += fixture.fleet.answers.contains(token) ? 1 : 0;
  }
  cr_assert(answered > 0);
}

// Guards against requests without an answer: a second signal postponed the time until which callers
// are read, but not the end of the process.
Test(planned_stop, a_second_signal_changes_nothing) {
  stop_fixture fixture(1);
  fixture.fleet.stop(0);
  fixture.fleet.run_for(2s);
  fixture.fleet.stop(0);
  fixture.fleet.run_for(300ms);
  cr_assert(fixture.fleet.not_reading.contains(0));
}

// Guards against executions that fail during a stop: the requests that they send through their own
// daemon found no listener once reading had ended.
Test(planned_stop, callers_are_read_while_executions_at_the_local_upstream_go_on) {
  stop_fixture fixture(1);
  fixture.fleet.run_for(2s);
  for (std::size_t at = 0; at < 8; ++at) {
    fixture.send(at);
  }
  fixture.fleet.run_for(100ms);
  cr_assert_gt(fixture.fleet.in_flight_of(0), 0);
  fixture.fleet.stop(0);
  fixture.fleet.run_for(3s);
  cr_assert_gt(fixture.fleet.in_flight_of(0), 0);
  cr_assert_not(fixture.fleet.not_reading.contains(0));
  fixture.fleet.run_for(500ms);
  cr_assert_eq(fixture.fleet.in_flight_of(0), 0);
  cr_assert(fixture.fleet.not_reading.contains(0));
  fixture.fleet.run_for(500ms);
  cr_assert(fixture.fleet.exited.contains(0));
}

// Guards against a request that was cut: the process exited while it was being received.
Test(planned_stop, the_process_waits_for_requests_that_have_begun_to_arrive) {
  stop_fixture fixture(1);
  fixture.fleet.slow_callers.insert(0);
  fixture.fleet.stop(0);
  fixture.fleet.run_for(4s);
  cr_assert(fixture.fleet.not_reading.contains(0));
  cr_assert_not(fixture.fleet.exited.contains(0));
  fixture.fleet.run_for(1600ms); // not beyond the time of the last answer
  cr_assert(fixture.fleet.exited.contains(0));
}

// Guards against a departure without an acknowledgement: it was announced shortly before the
// process exited, and was still being recorded.
Test(planned_stop, a_departure_that_was_announced_is_acknowledged_before_the_process_exits) {
  stop_fixture fixture(1);
  fixture.fleet.run_for(4s);
  fixture.fleet.stop(0);
  fixture.fleet.run_for(2s);
  fixture.fleet.is_store_down = true;
  fixture.fleet.run_for(190ms);
  gateway::heartbeat leaving = fixture.fleet.next_heartbeat(0);
  leaving.state = gateway::upstream_lifecycle::draining;
  leaving.sequence += 100;
  const std::uint64_t token = fixture.fleet.send_heartbeat(0, leaving);
  fixture.fleet.run_for(3s);
  cr_assert(fixture.fleet.exited.contains(0));
  cr_assert(fixture.fleet.acknowledged.contains(token));
}
