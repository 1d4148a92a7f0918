// Guarantees under test: a newly started upstream receives no more requests than it sustains;
// withdrawn domains receive no new requests; requests that crash upstreams are contained; the mesh
// recovers from overload without intervention.

#include "arbutuslb/core/engine/test_support.h"

namespace {

using namespace arbutuslb;
using namespace arbutuslb::core;
using namespace arbutuslb::core::engine;
using namespace arbutuslb::core::engine::testing;
using protocol::call_outcome;

const fakes::model_upstream_settings cold_upstream{
    .slots = 10, .cold_slots = 2, .warm_up_requests = 300, .latency = 10ms};

// Sends calls through each of `daemons` until the upstreams are warm.
void warm_up(test_fleet& fleet, const std::vector<std::string>& daemons) {
  for (const std::string& via : daemons) {
    generate_calls(fleet, via, "/menu", 250, 6s);
  }
  fleet.run_for(7s);
}

} // namespace

Test(load, a_newly_started_upstream_is_not_overloaded) {
  for_each_seed(4, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2"}, cold_upstream);
    start_sample_mesh(fleet);
    warm_up(fleet, {"d1-pre-orders", "d2-pre-orders"});
    fleet.upstream("d1-menu").make_cold();
    fleet.restart("d1-menu");
    fleet.run_for(3s);
    const time_point begin = fleet.now();
    generate_calls(fleet, "d1-pre-orders", "/menu", 250, 5s);
    generate_calls(fleet, "d2-pre-orders", "/menu", 250, 5s);
    int was_overloaded = 0;
    for (int i = 0; i < 500; ++i) {
      fleet.run_for(10ms);
      const fakes::model_upstream& restarted = fleet.upstream("d1-menu");
      was_overloaded = std::max(
          was_overloaded, static_cast<int>(restarted.in_flight > 2 * restarted.capacity() + 1));
    }
    fleet.run_for(1s);
    ASSERT_SEED(was_overloaded == 0, seed);
    ASSERT_SEED(success_ratio(fleet, begin, fleet.now()).ratio() > 0.97, seed);
  });
}

Test(load, an_upstream_that_turns_cold_without_notice_receives_fewer_requests) {
  for_each_seed(4, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2"}, cold_upstream);
    start_sample_mesh(fleet);
    warm_up(fleet, {"d1-pre-orders", "d2-pre-orders"});
    fleet.upstream("d1-menu").make_cold();
    const time_point begin = fleet.now();
    generate_calls(fleet, "d1-pre-orders", "/menu", 300, 6s);
    generate_calls(fleet, "d2-pre-orders", "/menu", 300, 6s);
    fleet.run_for(7s);
    ASSERT_SEED(success_ratio(fleet, begin + 1s, fleet.now()).ratio() > 0.95, seed);
    assert_no_violations(fleet, seed);
  });
}

Test(load, all_cold_at_once_sheds_and_recovers_without_collapse) {
  for_each_seed(4, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2"}, cold_upstream);
    start_sample_mesh(fleet);
    const time_point begin = fleet.now();
    for (const std::string via : {"d1-pre-orders", "d2-pre-orders"}) {
      generate_calls(fleet, via, "/menu", 450, 12s);
    }
    fleet.run_for(13s);
    // Two warm upstreams with 10 slots and 10 ms latency sustain 2000 calls/s; the load is 900.
    ASSERT_SEED(success_ratio(fleet, begin + 8s, begin + 12s).ratio() > 0.98, seed);
    ASSERT_SEED(success_ratio(fleet, begin, begin + 4s).good > 400, seed);
    assert_no_violations(fleet, seed);
  });
}

Test(load, goodput_recovers_after_a_spike_without_intervention) {
  for_each_seed(4, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2"}, {.slots = 10, .cold_slots = 10, .latency = 10ms});
    start_sample_mesh(fleet);
    warm_up(fleet, {"d1-pre-orders", "d2-pre-orders"});
    const time_point spike = fleet.now();
    generate_calls(fleet, "d1-pre-orders", "/menu", 300, 12s);
    generate_calls(fleet, "d2-pre-orders", "/menu", 6000, 2s);
    fleet.run_for(13s);
    ASSERT_SEED(success_ratio(fleet, spike + 4s, spike + 12s).ratio() > 0.99, seed);
    assert_no_violations(fleet, seed);
  });
}

Test(load, under_overload_critical_calls_are_kept_and_deferrable_ones_shed) {
  for_each_seed(4, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1"}, {.slots = 10, .cold_slots = 10, .latency = 10ms});
    start_sample_mesh(fleet);
    warm_up(fleet, {"d1-pre-orders"});
    const time_point begin = fleet.now();
    generate_calls(fleet, "d1-pre-orders", "/report", 1500, 4s);
    generate_calls(fleet, "d1-pre-orders", "/pay", 400, 4s);
    fleet.run_for(5s);
    const double critical = success_ratio(fleet, begin + 1s, fleet.now(), "/pay").ratio();
    const double deferrable = success_ratio(fleet, begin + 1s, fleet.now(), "/report").ratio();
    ASSERT_SEED(critical > 0.97, seed);
    ASSERT_SEED(deferrable < critical, seed);
    assert_no_violations(fleet, seed);
  });
}

Test(load, retries_stay_within_their_budget) {
  test_fleet fleet(1);
  add_sample_daemons(fleet, {"d1", "d2"}, {.slots = 2, .cold_slots = 2, .latency = 20ms});
  start_sample_mesh(fleet);
  generate_calls(fleet, "d1-pre-orders", "/menu", 1500, 4s);
  fleet.run_for(5s);
  const statistics& totals = fleet.daemon("d1-pre-orders").totals();
  cr_assert_leq(totals.retries, 6000 * 0.1 + 10);
  assert_no_violations(fleet, 1);
}

Test(domains, a_withdrawn_domain_receives_no_new_requests_and_all_others_are_served) {
  for_each_seed(4, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2", "d3"}, cold_upstream);
    start_sample_mesh(fleet);
    warm_up(fleet, {"d1-pre-orders", "d2-pre-orders", "d3-pre-orders"});
    const time_point begin = fleet.now();
    for (const std::string via : {"d1-pre-orders", "d2-pre-orders", "d3-pre-orders"}) {
      generate_calls(fleet, via, "/menu", 200, 20s);
    }
    fleet.at(begin + 1s, [&] { fleet.send_command("d2-menu", "withdraw d1"); });
    fleet.run_for(4s);
    const std::size_t runs = fleet.upstream("d1-menu").executions_by_body.size();
    fleet.run_for(4s);
    ASSERT_SEED(fleet.upstream("d1-menu").executions_by_body.size() == runs, seed);
    fleet.upstream("d1-menu").make_cold();
    fleet.send_command("d2-menu", "return d1");
    fleet.run_for(13s);
    ASSERT_SEED(fleet.upstream("d1-menu").executions_by_body.size() > runs + 200, seed);
    ASSERT_SEED(success_ratio(fleet, begin, begin + 20s).ratio() > 0.98, seed);
    assert_no_violations(fleet, seed);
  });
}

// The withdrawn daemon must refuse the request itself, because a daemon that has not yet applied
// the withdrawal still sends to it.
Test(domains, a_request_from_a_daemon_without_the_withdrawal_is_refused_as_not_run) {
  test_fleet fleet(1);
  add_sample_daemons(fleet, {"d1", "d2"});
  start_sample_mesh(fleet);
  fleet.ask("d2-menu", "withdraw d1");
  fleet.run_for(3s);
  daemon_core& target = fleet.daemon("d1-menu");
  protocol::message late;
  late.sender = fleet.daemon("d2-pre-orders").self();
  protocol::call_request request;
  request.id = {late.sender.id, late.sender.process_epoch, 1'000'000};
  request.target_epoch = target.self().process_epoch;
  request.service = "menu";
  request.version = "v1";
  request.remaining = 500ms;
  late.body = request;
  std::size_t refusals = 0;
  for (const action& item : target.handle(peer_message{late}, fleet.now())) {
    cr_assert_not(std::holds_alternative<execute_request>(item));
    const send_message* sent = std::get_if<send_message>(&item);
    const protocol::call_reply* reply =
        sent == nullptr ? nullptr : std::get_if<protocol::call_reply>(&sent->value.body);
    refusals += reply != nullptr && reply->outcome == call_outcome::not_executed ? 1 : 0;
  }
  cr_assert_eq(refusals, 1U);
}

Test(domains, a_partitioned_domain_applies_a_withdrawal_received_from_any_peer) {
  for_each_seed(4, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2", "d3"});
    start_sample_mesh(fleet);
    fleet.cut_log("d3");
    fleet.cut("d3", "d1"); // d3 is connected to d2 only
    fleet.run_for(2s);
    cr_assert_eq(fleet.ask("d1-menu", "withdraw d3").result, "accepted");
    fleet.run_for(4s);
    const std::size_t runs = fleet.upstream("d3-menu").executions_by_body.size();
    generate_calls(fleet, "d3-pre-orders", "/menu", 50, 2s);
    fleet.run_for(3s);
    ASSERT_SEED(fleet.upstream("d3-menu").executions_by_body.size() == runs, seed);
    assert_no_violations(fleet, seed);
  });
}

Test(poison, a_repeated_crashing_request_kills_a_bounded_number_of_upstreams) {
  for_each_seed(6, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    for (int i = 0; i < 6; ++i) {
      fleet.add("m" + std::to_string(i), "d1", "menu", "v1");
    }
    start_sample_mesh(fleet);
    const time_point begin = fleet.now();
    generate_calls(fleet, "m0", "/menu", 100, 20s);
    for (int i = 0; i < 40; ++i) {
      fleet.at(begin + 500ms * i,
               [&fleet, i] { fleet.call("m" + std::to_string(i % 6), "/menu", "crash", 400ms); });
      fleet.at(begin + 500ms * i + 400ms, [&fleet] {
        for (const std::string& name : fleet.names()) {
          if (!fleet.upstream(name).is_listening) {
            fleet.restart_upstream(name);
          }
        }
      });
    }
    fleet.run_for(21s);
    ASSERT_SEED(fleet.upstream_deaths() == 2, seed);
    ASSERT_SEED(success_ratio(fleet, begin + 3s, fleet.now(), "/menu").ratio() > 0.95, seed);
    assert_no_violations(fleet, seed);
  });
}
