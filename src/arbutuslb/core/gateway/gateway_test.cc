// Tests of the guarantees of the data path, on a simulated fleet with a simulated clock.

#include "arbutuslb/core/gateway/gateway_test_mesh.h"

#include <algorithm>
#include <criterion/criterion.h>

Test(gateway, a_request_is_served_from_any_daemon) {
  mesh_fixture fixture;
  for (std::size_t at = 0; at < 8; ++at) {
    const std::uint64_t menu = fixture.fleet.call(at, "shop.example", "/menu/1");
    const std::uint64_t order = fixture.fleet.call(at, "SHOP.example:80", "/orders/1", false);
    fixture.fleet.run_for(200ms);
    cr_assert(fixture.fleet.answers[menu].status == status_ok);
    cr_assert(fixture.fleet.answers[order].status == status_ok);
  }
}

Test(gateway, a_request_without_a_route_gets_503_before_and_404_after_the_first_configuration) {
  gateway_fleet fleet(1);
  fleet.add("a", "menu");
  fleet.run_for(2s);
  const std::uint64_t early = fleet.call(0, "shop.example", "/none/1");
  cr_assert(fleet.answers[early].status == status_unavailable);
  fleet.publish(configuration(1));
  fleet.run_for(1s);
  const std::uint64_t late = fleet.call(0, "shop.example", "/none/1");
  cr_assert(fleet.answers[late].status == status_not_found);
}

Test(gateway, a_non_idempotent_request_is_executed_at_most_once_when_answers_are_lost) {
  mesh_fixture fixture;
  for (const std::size_t at : orders_daemons) {
    fixture.fleet.upstream(at).loses_answers = true;
  }
  for (int i = 0; i < 50; ++i) {
    const std::uint64_t token =
        fixture.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/orders/1", false);
    fixture.fleet.run_for(60ms);
    cr_assert(fixture.fleet.answers[token].status == status_bad_gateway);
  }
  for (const auto& [attempt, count] : fixture.fleet.runs) {
    cr_assert(count <= 1, "%s ran %d times", attempt.c_str(), count);
  }
}

Test(gateway, a_non_idempotent_request_that_failed_at_its_upstream_is_not_retried) {
  mesh_fixture fixture;
  for (const std::size_t at : orders_daemons) {
    fixture.fleet.upstream(at).error_share = 1.0;
  }
  for (int i = 0; i < 20; ++i) {
    fixture.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/orders/1", false);
    fixture.fleet.run_for(60ms);
  }
  cr_assert_eq(fixture.fleet.runs.size(), 20);
  for (const auto& [attempt, count] : fixture.fleet.runs) {
    cr_assert(count == 1, "%s ran %d times", attempt.c_str(), count);
  }
}

// The retry budget is shared by all daemons: a fifth of the requests plus 60 in 10 s. Each daemon
// may use half of its equal share.
Test(gateway, retries_stay_within_the_budget_when_every_upstream_fails) {
  mesh_fixture fixture;
  for (const std::size_t at : menu_daemons) {
    fixture.fleet.upstream(at).error_share = 1.0;
  }
  constexpr int calls = 1000;
  for (int i = 0; i < calls; ++i) {
    fixture.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/menu/1");
    fixture.fleet.run_for(10ms);
  }
  int repeats = 0;
  for (const auto& [attempt, count] : fixture.fleet.runs) {
    repeats += count - 1;
  }
  cr_assert(repeats > 0);
  cr_assert(repeats <= calls / 5 + 60, "%d repeats", repeats);
}

Test(gateway, an_idempotent_request_is_retried_within_the_budget) {
  mesh_fixture fixture;
  fixture.fleet.upstream(0).error_share = 1.0;
  fixture.fleet.upstream(4).error_share = 1.0;
  int good = 0;
  constexpr int calls = 200;
  for (int i = 0; i < calls; ++i) {
    const std::uint64_t token = fixture.fleet.call(1, "shop.example", "/menu/1");
    fixture.fleet.run_for(60ms);
    good += fixture.fleet.answers[token].status == status_ok ? 1 : 0;
  }
  int repeats = 0;
  for (const auto& [attempt, count] : fixture.fleet.runs) {
    cr_assert(count <= 2);
    repeats += count - 1;
  }
  cr_assert(good >= calls * 9 / 10);
  cr_assert(repeats <= calls / 5 + 60);
}

// Guards against a false "not executed": a request that an upstream had answered with 500 was
// retried, the retry was refused, and the caller received 503.
Test(gateway, a_request_whose_retry_is_refused_gets_the_answer_of_its_first_attempt) {
  mesh_fixture fixture;
  fixture.fleet.upstream(0).error_share = 1.0;
  for (const std::size_t at : {std::size_t{1}, std::size_t{4}, std::size_t{5}}) {
    fixture.fleet.upstream(at).sheds = true;
  }
  int executed = 0;
  for (int i = 0; i < 50; ++i) {
    const std::uint64_t token = fixture.fleet.call(0, "shop.example", "/menu/1");
    fixture.fleet.run_for(100ms);
    if (fixture.fleet.runs.contains("attempt-" + std::to_string(token))) {
      ++executed;
      cr_assert_eq(fixture.fleet.answers[token].status, 500);
    }
  }
  cr_assert(executed > 0);
}

Test(gateway, a_request_refused_under_overload_was_not_executed) {
  mesh_fixture fixture;
  for (const std::size_t at : orders_daemons) {
    fixture.fleet.upstream(at).work = 400ms;
    fixture.fleet.upstream(at).slots = 2;
  }
  fixture.fleet.run_for(3s);
  std::vector<std::pair<std::uint64_t, std::string>> sent;
  for (int i = 0; i < 400; ++i) {
    const std::uint64_t token = fixture.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example",
                                                   "/orders/1", false, 1200ms);
    sent.emplace_back(token, "attempt-" + std::to_string(token));
    if (i % 8 == 7) {
      fixture.fleet.run_for(40ms);
    }
  }
  fixture.fleet.run_for(4s);
  int refused = 0;
  for (const auto& [token, attempt] : sent) {
    cr_assert(fixture.fleet.answers.contains(token));
    if (fixture.fleet.answers[token].status == status_unavailable) {
      ++refused;
      cr_assert_not((fixture.fleet.runs.contains(attempt)));
      cr_assert(arbutuslb::core::find_header(fixture.fleet.answers[token].headers, "Retry-After") !=
                nullptr);
    }
  }
  cr_assert(refused > 0);
  for (const std::size_t at : orders_daemons) {
    cr_assert(fixture.fleet.most_running[at] <= 2);
  }
}

Test(gateway, a_cold_upstream_receives_no_more_than_its_rate) {
  mesh_fixture fixture;
  for (const std::size_t at : menu_daemons) {
    fixture.fleet.upstream(at).cold_for = 3s;
  }
  fixture.fleet.run_for(2s);
  const arbutuslb::core::time_point began = fixture.fleet.now();
  for (int i = 0; i < 300; ++i) {
    fixture.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/menu/1");
    fixture.fleet.run_for(20ms);
  }
  for (const std::size_t at : menu_daemons) {
    const auto& starts = fixture.fleet.starts[at];
    for (std::size_t i = 0; i + 10 < starts.size(); ++i) {
      if (starts[i] >= began) {
        cr_assert(static_cast<int>((starts[i + 10] - starts[i]) / 1ms) >= 1000);
      }
    }
  }
}

// After a loss of power every upstream is cold, and the total capacity is what cold upstreams
// sustain.
Test(gateway, a_cold_upstream_is_used_up_to_its_rate) {
  gateway_fleet fleet(1);
  fleet.cold_load_factor = 1.5;
  fleet.add("a", "menu");
  fleet.upstream(0).cold_for = 60s;
  fleet.publish(configuration(1));
  fleet.run_for(4s);
  const arbutuslb::core::time_point began = fleet.now();
  for (int i = 0; i < 200; ++i) {
    fleet.call(0, "shop.example", "/menu/1");
    fleet.run_for(20ms);
  }
  const auto& starts = fleet.starts[0];
  const auto first = std::lower_bound(starts.begin(), starts.end(), began);
  cr_assert(starts.end() - first >= 4 * 15 - 2, "%d starts",
            static_cast<int>(starts.end() - first));
  for (auto start = first; starts.end() - start > 15; ++start) {
    cr_assert(static_cast<int>((start[15] - *start) / 1ms) >= 1000);
  }
}

// Guards against abandoning requests that no other upstream can serve: daemons cancelled them and
// treated the upstream that was executing them as unreachable.
Test(gateway, a_request_stays_at_a_slow_upstream_without_an_alternative) {
  gateway_fleet fleet(1);
  fleet.add("a", "menu");
  fleet.upstream(0).work = 600ms;
  fleet.publish(configuration(1));
  fleet.run_for(4s);
  const std::uint64_t first = fleet.call(0, "shop.example", "/menu/1");
  fleet.run_for(400ms);
  const std::uint64_t second = fleet.call(0, "shop.example", "/menu/1");
  fleet.run_for(900ms);
  cr_assert(fleet.answers[first].status == status_ok);
  cr_assert(fleet.answers[second].status == status_ok);
}

// Guards against overloading a cold upstream: a daemon that restarted while the store was down had
// no configuration, treated the rate of its cold upstream as unlimited, and sent it 31 requests in
// a second.
Test(gateway, a_gate_without_a_configuration_admits_no_requests) {
  mesh_fixture fixture;
  fixture.fleet.is_store_down = true;
  fixture.fleet.upstream(0).cold_for = 3s;
  for (std::size_t at = 1; at < 8; ++at) {
    fixture.fleet.cuts.insert({0, at}); // so that it gets no configuration from peers
  }
  fixture.fleet.restart(0);
  fixture.fleet.run_for(2s);
  const std::size_t before = fixture.fleet.starts[0].size();
  fixture.fleet.cuts.clear();
  for (int i = 0; i < 3; ++i) {
    fixture.fleet.call(1, "shop.example", "/menu/1");
  }
  fixture.fleet.run_for(50ms);
  cr_assert(fixture.fleet.starts[0].size() == before);
}

// A heartbeat sent before the departure may be received seconds late. An acknowledged departure is
// binding for the next process of the daemon too.
Test(gateway, an_acknowledged_departure_outlives_the_process) {
  mesh_fixture fixture;
  const gateway::heartbeat from_before = fixture.fleet.next_heartbeat(0);
  fixture.fleet.upstream(0).is_draining = true;
  gateway::heartbeat leaving = fixture.fleet.next_heartbeat(0);
  leaving.sequence += 1;
  const std::uint64_t token = fixture.fleet.send_heartbeat(0, leaving);
  cr_assert_not((fixture.fleet.acknowledged.contains(token)));
  fixture.fleet.run_for(20ms);
  cr_assert(fixture.fleet.acknowledged.contains(token));
  cr_assert_not((is_used_after_restart(fixture, from_before)));
}

Test(gateway, a_departure_is_acknowledged_within_a_second_without_the_store) {
  mesh_fixture fixture;
  fixture.fleet.is_store_down = true;
  fixture.fleet.upstream(0).is_draining = true;
  gateway::heartbeat leaving = fixture.fleet.next_heartbeat(0);
  leaving.sequence += 1;
  const std::uint64_t token = fixture.fleet.send_heartbeat(0, leaving);
  fixture.fleet.run_for(500ms);
  cr_assert_not((fixture.fleet.acknowledged.contains(token)));
  fixture.fleet.run_for(400ms);
  cr_assert(fixture.fleet.acknowledged.contains(token));
}

Test(gateway, a_departing_upstream_receives_no_new_requests) {
  mesh_fixture fixture;
  fixture.fleet.upstream(0).is_draining = true;
  fixture.fleet.run_for(1600ms);
  const std::size_t before = fixture.fleet.starts[0].size();
  for (int i = 0; i < 100; ++i) {
    const std::uint64_t token = fixture.fleet.call(0, "shop.example", "/menu/1");
    fixture.fleet.run_for(40ms);
    cr_assert(fixture.fleet.answers[token].status == status_ok);
  }
  cr_assert(fixture.fleet.starts[0].size() == before);
}

Test(gateway, a_withdrawn_domain_receives_no_new_requests_and_is_cold_after_its_return) {
  mesh_fixture fixture;
  fixture.fleet.order("evacuate/a", gateway::domain_withdrawal{"a"});
  fixture.fleet.run_for(1s);
  const std::size_t before = fixture.fleet.starts[0].size() + fixture.fleet.starts[1].size();
  for (int i = 0; i < 50; ++i) {
    const std::uint64_t token = fixture.fleet.call(0, "shop.example", "/menu/1");
    fixture.fleet.run_for(40ms);
    cr_assert(fixture.fleet.answers[token].status == status_ok);
  }
  cr_assert(fixture.fleet.starts[0].size() + fixture.fleet.starts[1].size() == before);
  fixture.fleet.order("evacuate/a", gateway::record_removed{});
  fixture.fleet.run_for(1s);
  fixture.fleet.call(0, "shop.example", "/menu/1");
  fixture.fleet.run_for(3s);
  for (int i = 0; i < 20; ++i) {
    fixture.fleet.call(0, "shop.example", "/menu/1");
    fixture.fleet.run_for(40ms);
  }
  cr_assert(fixture.fleet.starts[0].size() + fixture.fleet.starts[1].size() > before);
}

Test(gateway, a_configuration_is_in_force_everywhere_and_never_reverts) {
  mesh_fixture fixture;
  auto next = configuration(2);
  next->routes["shop.example"]["/new/"] = route("r-new", "/new/", "menu", true);
  fixture.fleet.publish(next);
  fixture.fleet.run_for(1500ms);
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert(fixture.fleet.daemon(at).operator_records().configuration()->version == 2);
    const std::uint64_t token = fixture.fleet.call(at, "shop.example", "/new/1");
    fixture.fleet.run_for(100ms);
    cr_assert(fixture.fleet.answers[token].status == status_ok);
  }
  fixture.fleet.publish(configuration(1)); // an older version, written later
  fixture.fleet.run_for(1500ms);
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert(fixture.fleet.daemon(at).operator_records().configuration()->version == 2);
  }
}

Test(gateway, a_daemon_that_restarts_while_the_store_is_down_fetches_records_from_its_peers) {
  mesh_fixture fixture;
  fixture.fleet.is_store_down = true;
  fixture.fleet.restart(0);
  fixture.fleet.run_for(4s);
  const std::uint64_t token = fixture.fleet.call(0, "shop.example", "/menu/1");
  fixture.fleet.run_for(200ms);
  cr_assert(fixture.fleet.answers[token].status == status_ok);
}

Test(gateway, no_request_fails_during_a_planned_stop) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    mesh_fixture fixture(seed);
    std::vector<std::uint64_t> tokens;
    for (int i = 0; i < 100; ++i) {
      if (i == 40) {
        fixture.fleet.stop(0);
      }
      const std::size_t at = 1 + static_cast<std::size_t>(i) % 7;
      tokens.push_back(fixture.fleet.call(at, "shop.example", "/menu/1"));
      tokens.push_back(fixture.fleet.call(at, "shop.example", "/orders/1", false));
      fixture.fleet.run_for(20ms);
    }
    fixture.fleet.run_for(4s);
    cr_assert(fixture.fleet.exited.contains(0));
    for (const std::uint64_t token : tokens) {
      cr_assert(fixture.fleet.answers[token].status == status_ok);
    }
  }
}

Test(gateway, an_isolated_domain_continues_to_serve_requests) {
  mesh_fixture fixture;
  for (std::size_t one = 0; one < 4; ++one) {
    for (std::size_t other = 4; other < 8; ++other) {
      fixture.fleet.cuts.insert({one, other});
    }
  }
  fixture.fleet.run_for(3s);
  for (int i = 0; i < 40; ++i) {
    const std::uint64_t token =
        fixture.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/menu/1");
    fixture.fleet.run_for(60ms);
    cr_assert(fixture.fleet.answers[token].status == status_ok);
  }
  fixture.fleet.cuts.clear();
  fixture.fleet.run_for(4s);
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert(fixture.fleet.daemon(at).directory().live_count(fixture.fleet.now()) == 8);
  }
}

Test(gateway, a_caller_disconnect_drops_its_queued_request) {
  mesh_fixture fixture;
  for (const std::size_t at : orders_daemons) {
    fixture.fleet.upstream(at).slots = 1;
    fixture.fleet.upstream(at).work = 200ms;
  }
  fixture.fleet.run_for(2s);
  for (int i = 0; i < 8; ++i) { // more than there are slots
    fixture.fleet.call(2, "shop.example", "/orders/1", false);
  }
  fixture.fleet.run_for(20ms);
  const std::uint64_t token = fixture.fleet.call(2, "shop.example", "/orders/1", false);
  fixture.fleet.leave(2, token);
  fixture.fleet.run_for(2s);
  cr_assert_not((fixture.fleet.runs.contains("attempt-" + std::to_string(token))));
}

Test(gateway, requests_are_split_by_weight) {
  mesh_fixture fixture;
  auto next = configuration(2);
  next->routes["shop.example"]["/split/"] = route("r-split", "/split/", "menu", true);
  next->routes["shop.example"]["/split/"].split = {{"menu", 90.0}, {"orders", 10.0}};
  fixture.fleet.publish(next);
  fixture.fleet.run_for(1s);
  for (int i = 0; i < 200; ++i) {
    fixture.fleet.call(1, "shop.example", "/split/1");
    fixture.fleet.run_for(40ms);
  }
  std::size_t orders_starts = 0;
  for (const std::size_t at : orders_daemons) {
    orders_starts += fixture.fleet.starts[at].size();
  }
  cr_assert(orders_starts == 20);
}

namespace {

// Runs a rollout of `menu` to v2 on daemons 1 and 5 under steady traffic.
struct rollout_scenario {
  explicit rollout_scenario(double error_share, std::uint64_t seed) : fixture(seed) {
    for (const std::size_t at : {std::size_t{1}, std::size_t{5}}) {
      fixture.fleet.upstream(at).version = "v2";
      fixture.fleet.upstream(at).error_share = error_share;
      fixture.fleet.restart(at);
    }
    fixture.fleet.run_for(3s);
    fixture.fleet.order("rollout/menu", gateway::rollout_spec{"menu", "v2", 16s});
    const std::size_t before = fixture.fleet.runs.size();
    for (int i = 0; i < 1600; ++i) { // 100 requests per second
      fixture.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/menu/1");
      fixture.fleet.run_for(i % 2 == 0 ? 20ms : 0ms);
    }
    total = fixture.fleet.runs.size() - before;
    for (const auto& [attempt, version] : fixture.fleet.run_versions) {
      exposed += version == "v2" ? 1 : 0;
    }
  }
  mesh_fixture fixture;
  std::size_t exposed = 0;
  std::size_t total = 0;
};

} // namespace

Test(gateway, the_rollout_of_a_healthy_version_completes_in_time) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const rollout_scenario scenario(0.0, seed);
    cr_assert(scenario.fixture.fleet.outcomes.contains("menu"));
    cr_assert(scenario.fixture.fleet.outcomes.at("menu") == gateway::rollout_phase::completed);
  }
}

Test(gateway, a_faulty_version_is_rolled_back_after_few_requests) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const rollout_scenario scenario(0.5, seed);
    cr_assert(scenario.fixture.fleet.outcomes.contains("menu"));
    cr_assert(scenario.fixture.fleet.outcomes.at("menu") == gateway::rollout_phase::rolled_back);
    cr_assert(scenario.exposed <= scenario.total / 10 + 50);
  }
}

// Guards against a late rollback: a version that failed one request in twenty, and only under load,
// received 19% of the requests before it was rolled back.
Test(gateway, a_version_with_a_low_error_rate_is_rolled_back) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const rollout_scenario scenario(0.08, seed);
    cr_assert(scenario.fixture.fleet.outcomes.contains("menu"));
    cr_assert(scenario.fixture.fleet.outcomes.at("menu") == gateway::rollout_phase::rolled_back);
  }
}

// Upstreams of a new version may be started before its rollout is requested.
Test(gateway, a_version_without_a_rollout_receives_no_requests) {
  mesh_fixture fixture;
  fixture.fleet.upstream(5).version = "v2";
  fixture.fleet.run_for(3s);
  for (int i = 0; i < 100; ++i) {
    fixture.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/menu/1");
    fixture.fleet.run_for(20ms);
  }
  for (const auto& [attempt, version] : fixture.fleet.run_versions) {
    cr_assert(version == std::string("v1"));
  }
}

// The heartbeat that announces a departure is late, the store is down, and the daemon beside the
// leaving upstream restarts.
Test(gateway, an_upstream_that_says_in_an_answer_that_it_leaves_is_used_by_no_daemon_that_knows) {
  mesh_fixture fixture;
  fixture.fleet.is_store_down = true;
  fixture.fleet.upstream(0).notice.is_leaving = true;
  const auto play = [&fixture](int steps) {
    for (int i = 0; i < steps; ++i) {
      fixture.fleet.call(1, "shop.example", "/menu/1");
      fixture.fleet.run_for(20ms);
    }
  };
  play(50);
  const std::size_t before = fixture.fleet.starts[0].size();
  cr_assert(before > 0);
  play(100);
  cr_assert_eq(fixture.fleet.starts[0].size(), before, "after the answer");
  fixture.fleet.restart(0);
  play(150);
  cr_assert_eq(fixture.fleet.starts[0].size(), before, "after a restart of its daemon");
}

Test(gateway, an_upstream_that_starts_again_after_it_has_left_is_used) {
  mesh_fixture fixture;
  fixture.fleet.upstream(0).notice.is_leaving = true;
  for (int i = 0; i < 20; ++i) {
    fixture.fleet.call(1, "shop.example", "/menu/1");
    fixture.fleet.run_for(20ms);
  }
  fixture.fleet.upstream(0).notice.is_leaving = false;
  const std::size_t before = fixture.fleet.starts[0].size();
  for (int i = 0; i < 200; ++i) {
    if (i % 50 == 0) {
      gateway::heartbeat next = fixture.fleet.next_heartbeat(0);
      next.started_ms += 1000;
      next.sequence = static_cast<std::uint64_t>(i) + 1;
      fixture.fleet.send_heartbeat(0, next);
    }
    fixture.fleet.call(1, "shop.example", "/menu/1");
    fixture.fleet.run_for(20ms);
  }
  cr_assert(fixture.fleet.starts[0].size() > before);
}

namespace {

// Looks like that of a later start of the first daemon's upstream.
gateway::heartbeat heartbeat_of_another_writer(const gateway_fleet& fleet,
                                               const std::string& service) {
  gateway::heartbeat value = fleet.next_heartbeat(0);
  value.instance_id = "i-other";
  value.started_ms += 1;
  value.service = service;
  return value;
}

// Returns whether the first daemon acknowledges the heartbeat.
bool is_taken(gateway_fleet& fleet, const gateway::heartbeat& value) {
  return fleet.acknowledged.contains(fleet.send_heartbeat(0, value));
}

} // namespace

Test(gateway, a_heartbeat_of_another_writer_does_not_replace_the_upstream) {
  mesh_fixture fixture;
  cr_assert_not(
      is_taken(fixture.fleet, heartbeat_of_another_writer(fixture.fleet, "no-such-service")));
  gateway::heartbeat contradictory = fixture.fleet.next_heartbeat(0);
  contradictory.sequence += 1;
  contradictory.service = "orders";
  cr_assert_not(is_taken(fixture.fleet, contradictory));
  const auto& report = fixture.fleet.daemon(1).directory().peers().at("10.0.0.1").report;
  fixture.fleet.run_for(1s);
  cr_assert_eq(report.instance_id, "i-0");
  cr_assert_eq(report.service, "menu");
}

// Guards against requests that bear another service's name (UNASKED): a heartbeat of another writer
// that arrived before the first configuration was checked against nothing and stayed.
Test(gateway, a_heartbeat_of_another_writer_before_the_first_configuration_is_not_taken) {
  mesh_fixture fixture;
  fixture.fleet.is_store_down = true;
  for (std::size_t at = 1; at < 8; ++at) {
    fixture.fleet.cuts.insert({0, at}); // so that it gets no configuration from peers
  }
  fixture.fleet.restart(0);
  cr_assert_not(
      is_taken(fixture.fleet, heartbeat_of_another_writer(fixture.fleet, "no-such-service")));
  fixture.fleet.cuts.clear();
  fixture.fleet.run_for(4s);
  const auto& report = fixture.fleet.daemon(1).directory().peers().at("10.0.0.1").report;
  cr_assert_eq(report.instance_id, "i-0", "the upstream is %s", report.instance_id.c_str());
  cr_assert_eq(report.service, "menu");
}

// Guards against requests that bear another service's name (UNASKED): a heartbeat of another writer
// with a service that the configuration has, and a later start, replaced the upstream.
Test(gateway, a_heartbeat_of_another_configured_service_does_not_replace_the_upstream) {
  mesh_fixture fixture;
  cr_assert_not(is_taken(fixture.fleet, heartbeat_of_another_writer(fixture.fleet, "orders")));
  const arbutuslb::core::engine::write_event& line = fixture.fleet.log.back();
  cr_assert_eq(line.name, "heartbeat_ignored");
  cr_assert(std::ranges::find(line.fields, std::pair<std::string, std::string>(
                                               "service", "orders")) != line.fields.end());
  fixture.fleet.call(0, "shop.example", "/orders/1", false);
  fixture.fleet.run_for(1s);
  cr_assert_eq(fixture.fleet.run_requests.size(), 1);
  const std::string& caller = fixture.fleet.run_requests.begin()->second.caller_service;
  cr_assert_eq(caller, "menu", "the caller is %s", caller.c_str());
  const auto& report = fixture.fleet.daemon(1).directory().peers().at("10.0.0.1").report;
  cr_assert_eq(report.instance_id, "i-0", "the upstream is %s", report.instance_id.c_str());
}

// A daemon that finds no peer at its start has a whole mesh's budget until it finds them.
Test(gateway, the_retry_budget_of_a_daemon_that_starts_alone_shrinks_with_the_peers_that_it_finds) {
  mesh_fixture fixture;
  for (const std::size_t at : menu_daemons) {
    fixture.fleet.upstream(at).error_share = 1.0;
  }
  for (std::size_t other = 1; other < 8; ++other) {
    fixture.fleet.cuts.insert({0, other});
  }
  fixture.fleet.restart(0);
  fixture.fleet.run_for(1s);
  fixture.fleet.call(0, "shop.example", "/menu/1");
  fixture.fleet.cuts.clear();
  fixture.fleet.run_for(5s);
  const std::uint64_t before = fixture.fleet.daemon(0).totals().repeats;
  for (int i = 0; i < 20; ++i) {
    fixture.fleet.call(0, "shop.example", "/menu/1");
    fixture.fleet.run_for(50ms);
  }
  // Half of its share of 60, and a tenth of its calls.
  constexpr std::uint64_t max_repeats = 30 / 8 + 2 + 1;
  cr_assert_leq(fixture.fleet.daemon(0).totals().repeats - before, max_repeats);
}
