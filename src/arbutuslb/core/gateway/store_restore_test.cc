// Tests of what a fleet does when the store comes back from an older copy of itself.

#include "arbutuslb/core/gateway/gateway_test_mesh.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace {

std::uint64_t version_of(gateway_fleet& fleet, std::size_t at) {
  return fleet.daemon(at).operator_records().configuration()->version;
}

// Returns the number of daemons that treat domain "a" as withdrawn.
std::size_t withdrawn_at(gateway_fleet& fleet) {
  std::size_t count = 0;
  for (std::size_t at = 0; at < 8; ++at) {
    count += fleet.daemon(at).operator_records().is_withdrawn("a") ? 1 : 0;
  }
  return count;
}

} // namespace

Test(store_restore, a_configuration_at_an_offset_that_is_assigned_again_is_in_force) {
  mesh_fixture fixture;
  for (std::uint64_t version = 2; version <= 4; ++version) {
    fixture.fleet.publish(configuration(version));
    fixture.fleet.run_for(500ms);
  }
  fixture.fleet.restore_store(1);
  fixture.fleet.publish(configuration(4));
  fixture.fleet.run_for(1s);
  fixture.fleet.publish(configuration(5));
  fixture.fleet.run_for(1500ms);
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert_eq(version_of(fixture.fleet, at), 5);
  }
}

Test(store_restore, a_record_of_an_earlier_era_that_arrives_late_is_ignored) {
  gateway::operator_state state;
  const gateway::operator_record ordered{{1, 7}, "evacuate/a", "", gateway::domain_withdrawal{"a"}};
  const arbutuslb::core::time_point now{};
  cr_assert(state.apply({{2, 3}, "evacuate/a", "", gateway::record_removed{}}, now) ==
            gateway::apply_result::applied);
  cr_assert(state.apply(ordered, now) == gateway::apply_result::superseded);
  cr_assert_not(state.is_withdrawn("a"));
  const gateway::log_position end{2, 4};
  cr_assert(state.end() == end);
}

Test(store_restore, a_withdrawal_that_is_taken_back_while_records_expire_ends) {
  mesh_fixture fixture;
  fixture.fleet.order("evacuate/a", gateway::domain_withdrawal{"a"});
  fixture.fleet.run_for(1s);
  cr_assert(fixture.fleet.daemon(0).operator_records().is_withdrawn("a"));
  fixture.fleet.order_unseen("evacuate/a", gateway::record_removed{});
  fixture.fleet.run_for(1s);
  cr_assert_eq(withdrawn_at(fixture.fleet), 0);
}

Test(store_restore, a_withdrawal_that_the_copy_lacks_holds_until_it_is_written_again) {
  mesh_fixture fixture;
  fixture.fleet.order("evacuate/a", gateway::domain_withdrawal{"a"});
  fixture.fleet.run_for(1s);
  fixture.fleet.restore_store(1);
  for (int i = 0; i < 30; ++i) {
    fixture.fleet.run_for(50ms);
    cr_assert_eq(withdrawn_at(fixture.fleet), 8);
  }
  fixture.fleet.order("evacuate/a", gateway::domain_withdrawal{"a"});
  for (int i = 0; i < 80; ++i) {
    fixture.fleet.run_for(50ms);
    cr_assert_eq(withdrawn_at(fixture.fleet), 8);
  }
}

Test(store_restore, a_withdrawal_that_nobody_writes_again_ends_everywhere) {
  mesh_fixture fixture;
  fixture.fleet.order("evacuate/a", gateway::domain_withdrawal{"a"});
  fixture.fleet.run_for(1s);
  fixture.fleet.restore_store(1);
  fixture.fleet.run_for(gateway::reconciliation_time + 1s);
  cr_assert_eq(withdrawn_at(fixture.fleet), 0);
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert_eq(version_of(fixture.fleet, at), 1);
  }
}

Test(store_restore, a_withdrawal_that_was_taken_back_does_not_return_with_the_copy) {
  mesh_fixture fixture;
  fixture.fleet.order("evacuate/a", gateway::domain_withdrawal{"a"});
  fixture.fleet.run_for(1s);
  fixture.fleet.order("evacuate/a", gateway::record_removed{});
  fixture.fleet.run_for(1s);
  fixture.fleet.restore_store(2);
  for (int i = 0; i < 80; ++i) {
    if (i == 10) {
      fixture.fleet.order("evacuate/a", gateway::record_removed{});
    }
    fixture.fleet.run_for(50ms);
    cr_assert_eq(withdrawn_at(fixture.fleet), 0);
  }
}

Test(store_restore, an_order_at_an_offset_that_the_earlier_era_had_not_reached_is_new) {
  mesh_fixture fixture;
  fixture.fleet.order("evacuate/a", gateway::domain_withdrawal{"a"});
  fixture.fleet.run_for(1s);
  fixture.fleet.restore_store(2);
  fixture.fleet.order("evacuate/a", gateway::record_removed{});
  fixture.fleet.run_for(1s);
  cr_assert_eq(withdrawn_at(fixture.fleet), 0);
}

Test(store_restore, a_departure_that_the_copy_lacks_outlives_the_process) {
  mesh_fixture fixture;
  const gateway::heartbeat from_before = fixture.fleet.next_heartbeat(0);
  fixture.fleet.upstream(0).is_draining = true;
  fixture.fleet.run_for(2s);
  fixture.fleet.restore_store(1);
  fixture.fleet.run_for(2s);
  cr_assert_not((is_used_after_restart(fixture, from_before)));
}

Test(store_restore, a_daemon_registers_again_in_a_new_era) {
  mesh_fixture fixture;
  gateway::gateway_core& daemon = fixture.fleet.daemon(0);
  arbutuslb::core::time_point now = fixture.fleet.now();
  daemon.handle(gateway::operator_records_received{{}, {2, 1}, true}, now);
  std::vector<std::uint64_t> eras;
  for (int i = 0; i < 100; ++i) {
    now += gateway::tick_period;
    for (const gateway::action& item : daemon.handle(gateway::tick{}, now)) {
      if (const auto* discovery = std::get_if<gateway::discover_peers>(&item)) {
        eras.push_back(discovery->era);
      }
    }
  }
  cr_assert_eq(eras.size(), 1);
  cr_assert_eq(eras.front(), 2);
}

namespace {

// A rollout of `menu` to v2 that has reached a share of the traffic on all daemons.
struct rollout_fixture : mesh_fixture {
  rollout_fixture() {
    for (const std::size_t at : {std::size_t{1}, std::size_t{5}}) {
      fleet.upstream(at).version = "v2";
      fleet.restart(at);
    }
    fleet.run_for(3s);
    fleet.order("rollout/menu", spec);
    run_traffic(6s);
  }

  void run_traffic(arbutuslb::core::duration time) {
    const arbutuslb::core::time_point end = fleet.now() + time;
    for (std::size_t i = 0; fleet.now() < end; ++i) {
      fleet.call(i % 8, "shop.example", "/menu/1");
      fleet.run_for(i % 2 == 0 ? 20ms : 0ms);
    }
  }
  std::size_t count_log(const std::string& event) const {
    return static_cast<std::size_t>(std::count_if(
        fleet.log.begin(), fleet.log.end(), [&](const auto& item) { return item.name == event; }));
  }

  const gateway::rollout_spec spec{"menu", "v2", 16s};
};

} // namespace

Test(store_restore, a_rollout_goes_on_when_its_order_is_written_again_at_another_offset) {
  rollout_fixture fixture;
  const std::size_t ordered = fixture.count_log("rollout_ordered");
  fixture.fleet.restore_store(1);
  fixture.fleet.publish(configuration(2));
  fixture.run_traffic(500ms);
  fixture.fleet.order("rollout/menu", fixture.spec);
  fixture.run_traffic(11s);
  cr_assert_eq(fixture.count_log("rollout_ordered"), ordered);
  cr_assert(fixture.fleet.outcomes.at("menu") == gateway::rollout_phase::completed);
}

Test(store_restore, an_outcome_that_the_copy_lacks_is_recorded_again) {
  rollout_fixture fixture;
  fixture.run_traffic(11s);
  cr_assert(fixture.fleet.outcomes.at("menu") == gateway::rollout_phase::completed);
  fixture.fleet.restore_store(2);
  fixture.run_traffic(3s);
  cr_assert(fixture.fleet.outcomes.contains("menu"));
  cr_assert(fixture.fleet.outcomes.at("menu") == gateway::rollout_phase::completed);
}

Test(store_restore, an_outcome_that_is_appended_in_another_era_than_it_expects_is_read_again) {
  rollout_fixture fixture;
  fixture.run_traffic(11s);
  gateway::gateway_core& daemon = fixture.fleet.daemon(0);
  const arbutuslb::core::time_point now = fixture.fleet.now();
  daemon.handle(gateway::outcomes_read{{}, {1, 0}}, now);
  const std::vector<gateway::action> actions =
      daemon.handle(gateway::outcome_recorded{"menu", true, 2}, now);
  cr_assert(std::any_of(actions.begin(), actions.end(), [](const gateway::action& item) {
    return std::holds_alternative<gateway::read_outcomes>(item);
  }));
}

Test(store_restore, a_rollout_at_the_offset_of_an_earlier_one_does_not_inherit_its_progress) {
  rollout_fixture fixture;
  fixture.run_traffic(11s);
  cr_assert(fixture.fleet.outcomes.at("menu") == gateway::rollout_phase::completed);
  fixture.fleet.restore_store(1);
  const std::size_t steps = fixture.count_log("rollout_step");
  fixture.fleet.order("rollout/orders", gateway::rollout_spec{"orders", "v2", 60s});
  fixture.fleet.run_for(1s);
  cr_assert_eq(fixture.count_log("rollout_step"), steps);
}

Test(store_restore, a_store_that_states_its_first_era_after_a_restore_begins_a_new_one) {
  gateway::operator_state state;
  const arbutuslb::core::time_point now{};
  state.apply({{0, 2}, "evacuate/a", "", gateway::domain_withdrawal{"a"}}, now);
  state.advance_to({1, 1}, now);
  cr_assert(state.is_withdrawn("a"));
  cr_assert(state.reconcile(now + gateway::reconciliation_time));
  cr_assert_not(state.is_withdrawn("a"));
}
