// Tests of requests whose execution takes long, on a simulated fleet with a simulated clock.

#include "arbutuslb/core/gateway/gateway_test_mesh.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace {

// Executions take longer than the route's target latency, but less than its time limit.
struct slow_mesh : mesh_fixture {
  explicit slow_mesh(std::uint64_t seed) : mesh_fixture(seed) {
    auto next = configuration(2);
    for (auto& [prefix, value] : next->routes["shop.example"]) {
      value.timeout = 4000ms;
      value.target_latency = 500ms;
    }
    fleet.publish(next);
    for (const std::size_t at : menu_daemons) {
      fleet.upstream(at).work = 900ms;
      fleet.upstream(at).slots = 18;
    }
    fleet.run_for(3s);
  }

  // Sends several requests at once to one daemon, in turn to all. Returns their tokens.
  std::vector<std::uint64_t> send_groups(int groups, int group_size) {
    std::vector<std::uint64_t> tokens;
    for (int i = 0; i < groups; ++i) {
      for (int j = 0; j < group_size; ++j) {
        tokens.push_back(
            fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/menu/1", true, 4000ms));
      }
      fleet.run_for(125ms);
    }
    fleet.run_for(5s);
    return tokens;
  }
};

// Returns the number of requests that were answered with another status than 200.
std::ptrdiff_t count_failed(mesh_fixture& fixture, const std::vector<std::uint64_t>& tokens) {
  return std::count_if(tokens.begin(), tokens.end(), [&](std::uint64_t token) {
    return fixture.fleet.answers[token].status != status_ok;
  });
}

} // namespace

// Guards against 502 for a request that was being executed: several became overdue at the same
// time, all were cancelled, and the retry budget had a token for one.
Test(overdue, a_running_request_is_not_given_up_without_a_replacement) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    slow_mesh fixture(seed);
    const std::vector<std::uint64_t> tokens = fixture.send_groups(60, 3);
    cr_assert_eq(count_failed(fixture, tokens), 0, "seed %d: %d requests failed",
                 static_cast<int>(seed), static_cast<int>(count_failed(fixture, tokens)));
  }
}

// Guards against 502 for a request that was being executed: it was cancelled and sent to another
// upstream, which refused it.
Test(overdue, a_running_request_survives_the_refusal_of_its_replacement) {
  slow_mesh fixture(1);
  for (const std::size_t at : {std::size_t{1}, std::size_t{4}, std::size_t{5}}) {
    fixture.fleet.upstream(at).sheds = true;
  }
  std::vector<std::uint64_t> tokens;
  for (int i = 0; i < 60; ++i) {
    const std::uint64_t token = fixture.fleet.call(0, "shop.example", "/menu/1", true, 4000ms);
    fixture.fleet.run_for(100ms);
    if (fixture.fleet.runs.contains("attempt-" + std::to_string(token))) {
      tokens.push_back(token);
    }
  }
  fixture.fleet.run_for(5s);
  cr_assert(tokens.size() > 10);
  cr_assert_eq(count_failed(fixture, tokens), 0, "%d of %d requests failed",
               static_cast<int>(count_failed(fixture, tokens)), static_cast<int>(tokens.size()));
}

// Guards against 502 for a request that was being executed: its peer was alive, but its reports
// were lost, and no other upstream was available.
Test(overdue, a_request_at_a_peer_without_reports_is_answered_if_there_is_no_other) {
  gateway_fleet fleet(1);
  for (const char* service : {"orders", "menu", "orders", "orders"}) {
    fleet.add("a", service);
  }
  auto published = configuration(1);
  published->routes["shop.example"]["/menu/"].timeout = 8000ms;
  fleet.publish(published);
  fleet.upstream(1).work = 6s;
  fleet.run_for(4s);
  const std::uint64_t token = fleet.call(0, "shop.example", "/menu/1", true, 8000ms);
  fleet.run_for(100ms);
  fleet.silent_reporters.insert(1);
  fleet.run_for(7s);
  cr_assert_eq(fleet.answers[token].status, status_ok, "status %d", fleet.answers[token].status);
}

// An answer of the first execution ends the second, and the reverse: no work goes on for a request
// that has been answered.
Test(overdue, the_other_execution_is_cancelled_once_one_is_answered) {
  slow_mesh fixture(1);
  fixture.fleet.upstream(0).work = 3s;
  for (const std::size_t at : {std::size_t{1}, std::size_t{4}, std::size_t{5}}) {
    fixture.fleet.upstream(at).work = 50ms;
  }
  fixture.fleet.run_for(2s);
  const std::vector<std::uint64_t> tokens = fixture.send_groups(80, 1);
  cr_assert_eq(count_failed(fixture, tokens), 0);
  int repeated = 0;
  for (const auto& [attempt, count] : fixture.fleet.runs) {
    cr_assert(count <= 2, "%s ran %d times", attempt.c_str(), count);
    repeated += count - 1;
  }
  cr_assert(repeated > 0);
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert_eq(fixture.fleet.daemon(at).totals().unknown, 0);
  }
}

// A caller that leaves ends both executions.
Test(overdue, both_executions_are_cancelled_when_the_caller_leaves) {
  slow_mesh fixture(1);
  for (const std::size_t at : menu_daemons) {
    fixture.fleet.upstream(at).work = 3s;
  }
  const std::uint64_t token = fixture.fleet.call(2, "shop.example", "/menu/1", true, 4000ms);
  const std::string attempt = "attempt-" + std::to_string(token);
  fixture.fleet.run_for(2500ms);
  cr_assert_eq(fixture.fleet.runs[attempt], 2);
  fixture.fleet.leave(2, token);
  fixture.fleet.run_for(200ms);
  for (const std::size_t at : menu_daemons) {
    cr_assert_eq(fixture.fleet.in_flight_of(at), 0);
  }
}
