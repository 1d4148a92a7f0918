// Guarantees under test: a non-idempotent request is executed at most once; a request that is
// answered with "not run" was not executed; a caller receives the complete answer to its own
// request and never that to another.

#include "arbutuslb/core/engine/test_support.h"

namespace {

using namespace arbutuslb;
using namespace arbutuslb::core;
using namespace arbutuslb::core::engine;
using namespace arbutuslb::core::engine::testing;
using protocol::call_outcome;

// Sends `calls` keyed calls at intervals of `pause`, and repeats each three times with the same key
// through random daemons.
void send_repeated_keyed_calls(test_fleet& fleet, int calls, duration pause) {
  const std::vector<std::string> names = fleet.names();
  for (int i = 0; i < calls; ++i) {
    const std::string first = names[fleet.random().below(names.size())];
    if (!fleet.is_running(first)) {
      fleet.run_for(pause);
      continue;
    }
    const std::string key = fleet.mint_key(first);
    const std::string body = "order-" + std::to_string(i);
    fleet.call(first, "/pre-orders", body, 400ms, key);
    for (int repeat = 0; repeat < 3; ++repeat) {
      const duration delay = fleet.random().jitter(900ms);
      const std::string other = names[fleet.random().below(names.size())];
      fleet.at(fleet.now() + delay, [&fleet, other, body, key] {
        if (fleet.is_running(other)) {
          fleet.call(other, "/pre-orders", body, 400ms, key);
        }
      });
    }
    fleet.run_for(pause);
  }
  fleet.run_for(3s);
}

void assert_at_most_once(const test_fleet& fleet, std::uint64_t seed) {
  ASSERT_SEED(fleet.most_executions_of_a_key() <= 1, seed);
  assert_no_violations(fleet, seed);
}

} // namespace

Test(at_most_once, repeats_through_any_daemon_over_a_faulty_link_are_executed_once) {
  for_each_seed(8, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2", "d3"});
    start_sample_mesh(fleet);
    fleet.link.max_delay = 150ms;
    fleet.link.repeat = 0.3;
    fleet.link.stream_loss = 0.1;
    send_repeated_keyed_calls(fleet, 60, 40ms);
    ASSERT_SEED(fleet.most_executions_of_a_key() == 1, seed);
    assert_at_most_once(fleet, seed);
  });
}

Test(at_most_once, restarted_owners_and_upstream_daemons_do_not_execute_a_key_again) {
  for_each_seed(8, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2", "d3"});
    start_sample_mesh(fleet);
    fleet.link.max_delay = 100ms;
    fleet.link.repeat = 0.2;
    const std::vector<std::string> names = fleet.names();
    for (int i = 0; i < 12; ++i) {
      const std::string victim = names[fleet.random().below(names.size())];
      fleet.at(fleet.now() + fleet.random().jitter(3s),
               [&fleet, victim] { fleet.restart(victim); });
    }
    send_repeated_keyed_calls(fleet, 60, 50ms);
    assert_at_most_once(fleet, seed);
  });
}

Test(at_most_once, a_partition_between_caller_and_owner_gives_unknown_and_no_second_execution) {
  for_each_seed(8, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2"});
    start_sample_mesh(fleet);
    const std::string key = fleet.mint_key("d1-menu");
    cr_assert_eq(fleet.call_and_wait("d1-menu", "/pre-orders", "a", 500ms, key).outcome,
                 call_outcome::answered);
    fleet.cut("d1", "d2");
    const answer_caller repeat = fleet.call_and_wait("d2-menu", "/pre-orders", "a", 500ms, key);
    ASSERT_SEED(repeat.outcome == call_outcome::unknown, seed);
    fleet.heal();
    const answer_caller after = fleet.call_and_wait("d2-menu", "/pre-orders", "a", 500ms, key);
    ASSERT_SEED(after.outcome == call_outcome::answered, seed);
    assert_at_most_once(fleet, seed);
  });
}

Test(at_most_once, keys_of_an_owner_that_restarted_are_unknown_everywhere) {
  for_each_seed(4, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2"});
    start_sample_mesh(fleet);
    const std::string key = fleet.mint_key("d1-menu");
    fleet.call_and_wait("d1-menu", "/pre-orders", "a", 500ms, key);
    fleet.restart("d1-menu");
    fleet.run_for(5s);
    for (const std::string via : {"d1-menu", "d2-menu"}) {
      const answer_caller repeat = fleet.call_and_wait(via, "/pre-orders", "a", 500ms, key);
      ASSERT_SEED(repeat.outcome == call_outcome::unknown, seed);
    }
    assert_at_most_once(fleet, seed);
  });
}

Test(at_most_once, an_owner_that_resumes_after_a_freeze_does_not_execute_twice) {
  for_each_seed(6, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2"});
    start_sample_mesh(fleet);
    const std::string key = fleet.mint_key("d1-menu");
    fleet.call("d1-menu", "/pre-orders", "a", 500ms, key);
    fleet.freeze("d1-menu");
    for (int i = 0; i < 10; ++i) {
      fleet.call("d2-menu", "/pre-orders", "a", 500ms, key);
      fleet.run_for(2s);
    }
    fleet.thaw("d1-menu");
    fleet.run_for(5s);
    const answer_caller after = fleet.call_and_wait("d2-menu", "/pre-orders", "a", 500ms, key);
    ASSERT_SEED(after.outcome != call_outcome::not_executed, seed);
    assert_at_most_once(fleet, seed);
  });
}

Test(at_most_once, first_attempts_are_served_while_the_log_is_down_for_an_hour) {
  test_fleet fleet(1);
  add_sample_daemons(fleet, {"d1", "d2"});
  start_sample_mesh(fleet);
  fleet.log.is_down = true;
  for (int minute = 0; minute < 60; minute += 6) {
    fleet.run_for(6min);
    const std::string key = fleet.mint_key("d1-menu");
    const answer_caller answer =
        fleet.call_and_wait("d1-menu", "/pre-orders", "m" + std::to_string(minute), 500ms, key);
    cr_assert_eq(answer.outcome, call_outcome::answered, "%s", answer.reason);
  }
  assert_at_most_once(fleet, 1);
}

// A restarted daemon cannot tell whether its earlier process executed a request, so it must not
// reply "not run" to a request for that process.
Test(at_most_once, a_restarted_upstream_daemon_never_replies_not_run_for_its_earlier_process) {
  for_each_seed(4, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    fleet.add("home", "d1", "menu", "v1");
    fleet.add("runner", "d1", "pre-orders", "v1");
    start_sample_mesh(fleet);
    fleet.link.min_delay = 50ms;
    fleet.link.max_delay = 60ms;
    const std::string key = fleet.mint_key("home");
    const std::uint64_t token = fleet.call("home", "/pre-orders", "a", 2s, key);
    fleet.run_for(40ms);
    fleet.restart("runner"); // the request is delivered to the new process
    fleet.run_for(3s);
    ASSERT_SEED(fleet.call_of(token).answer->outcome != call_outcome::not_executed, seed);
    assert_at_most_once(fleet, seed);
  });
}

Test(at_most_once, a_copy_delivered_to_a_restarted_daemon_does_not_allow_a_second_execution) {
  for_each_seed(20, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    fleet.add("home", "d1", "menu", "v1");
    fleet.add("runner", "d1", "pre-orders", "v1");
    start_sample_mesh(fleet);
    // One copy of the request is executed by the earlier process; another is delivered to the new
    // one.
    fleet.link.repeat = 1.0;
    fleet.link.min_delay = 10ms;
    fleet.link.max_delay = 300ms;
    const std::string key = fleet.mint_key("home");
    fleet.call("home", "/pre-orders", "a", 3s, key);
    fleet.run_for(150ms);
    fleet.restart("runner");
    fleet.run_for(5s);
    fleet.call("home", "/pre-orders", "a", 1s, key);
    fleet.run_for(2s);
    assert_at_most_once(fleet, seed);
  });
}

Test(at_most_once, calls_without_a_minted_key_are_refused_as_not_run) {
  test_fleet fleet(1);
  add_sample_daemons(fleet, {"d1"});
  start_sample_mesh(fleet);
  for (const std::string key : {"", "order-17", "k1-1-2-3-4"}) {
    const answer_caller answer =
        fleet.call_and_wait("d1-menu", "/pre-orders", "a" + key, 500ms, key);
    cr_assert_eq(answer.outcome, call_outcome::not_executed);
    cr_assert_eq(answer.answer.status, 400);
  }
  assert_at_most_once(fleet, 1);
}

Test(calls, bad_requests_are_refused_as_not_run) {
  test_fleet fleet(1);
  add_sample_daemons(fleet, {"d1"});
  start_sample_mesh(fleet);
  cr_assert_eq(fleet.call_and_wait("d1-menu", "/menu", "a", 0ms).answer.status, 400);
  cr_assert_eq(fleet.call_and_wait("d1-menu", "/nowhere", "b", 500ms).answer.status, 404);
  const std::string huge(protocol::max_body_bytes + 1, 'x');
  cr_assert_eq(fleet.call_and_wait("d1-menu", "/menu", huge, 500ms).answer.status, 413);
  assert_no_violations(fleet, 1);
}

Test(calls, late_and_reordered_answers_are_never_delivered_to_another_caller) {
  for_each_seed(6, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2"}, {.latency = 20ms});
    start_sample_mesh(fleet);
    fleet.link.max_delay = 80ms;
    fleet.link.repeat = 0.5;
    generate_calls(fleet, "d1-menu", "/menu", 100, 3s,
                   60ms); // many answers are received after the deadline
    generate_calls(fleet, "d1-pre-orders", "/menu", 50, 3s, 300ms);
    fleet.at(fleet.now() + 1s, [&] { fleet.restart("d2-menu"); });
    fleet.at(fleet.now() + 2s, [&] { fleet.restart("d1-menu"); });
    fleet.run_for(5s);
    assert_no_violations(fleet, seed);
  });
}

Test(calls, a_planned_stop_cuts_no_request) {
  for_each_seed(6, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2"}, {.latency = 20ms});
    start_sample_mesh(fleet);
    const time_point begin = fleet.now();
    generate_calls(fleet, "d1-pre-orders", "/menu", 150, 6s);
    fleet.at(begin + 2s, [&] { fleet.stop("d1-menu"); });
    fleet.run_for(7s);
    ASSERT_SEED(!fleet.is_running("d1-menu"), seed);
    const fakes::call_success share = success_ratio(fleet, begin, fleet.now());
    ASSERT_SEED(share.calls == share.good, seed);
    assert_no_violations(fleet, seed);
  });
}

Test(calls, a_leaving_upstream_gets_no_new_work_after_a_few_seconds) {
  for_each_seed(4, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2"}, {.latency = 5ms});
    start_sample_mesh(fleet);
    // The daemon announces that it is leaving although a slow call delays its exit.
    fleet.upstream("d1-menu").settings.latency = 8s;
    fleet.call("d1-menu", "/menu", "slow", 20s);
    fleet.run_for(100ms);
    fleet.stop("d1-menu");
    fleet.run_for(3s);
    fleet.upstream("d1-menu").settings.latency = 5ms;
    const std::size_t before = fleet.upstream("d1-menu").executions_by_body.size();
    generate_calls(fleet, "d1-pre-orders", "/menu", 100, 2s);
    fleet.run_for(2s);
    ASSERT_SEED(fleet.upstream("d1-menu").executions_by_body.size() == before, seed);
    assert_no_violations(fleet, seed);
  });
}
