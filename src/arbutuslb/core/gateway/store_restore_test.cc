// Tests of what a fleet does when the store comes back from an older copy of itself.

#include "arbutuslb/core/gateway/gateway_test_mesh.h"

#include <criterion/criterion.h>

namespace {

std::uint64_t version_of(gateway_fleet& fleet, std::size_t at) {
  return fleet.daemon(at).operator_records().configuration()->version;
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
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert_not(fixture.fleet.daemon(at).operator_records().is_withdrawn("a"));
  }
}

Test(store_restore, a_withdrawal_that_the_copy_lacks_holds_until_it_is_written_again) {
  mesh_fixture fixture;
  fixture.fleet.order("evacuate/a", gateway::domain_withdrawal{"a"});
  fixture.fleet.run_for(1s);
  fixture.fleet.restore_store(1);
  for (int i = 0; i < 30; ++i) {
    fixture.fleet.run_for(50ms);
    cr_assert(fixture.fleet.daemon(0).operator_records().is_withdrawn("a"));
  }
  fixture.fleet.order("evacuate/a", gateway::domain_withdrawal{"a"});
  for (int i = 0; i < 80; ++i) {
    fixture.fleet.run_for(50ms);
    cr_assert(fixture.fleet.daemon(0).operator_records().is_withdrawn("a"));
  }
}

Test(store_restore, a_withdrawal_that_nobody_writes_again_ends_everywhere) {
  mesh_fixture fixture;
  fixture.fleet.order("evacuate/a", gateway::domain_withdrawal{"a"});
  fixture.fleet.run_for(1s);
  fixture.fleet.restore_store(1);
  fixture.fleet.run_for(gateway::reconciliation_time + 1s);
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert_not(fixture.fleet.daemon(at).operator_records().is_withdrawn("a"));
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
    for (std::size_t at = 0; at < 8; ++at) {
      cr_assert_not(fixture.fleet.daemon(at).operator_records().is_withdrawn("a"));
    }
  }
}

Test(store_restore, an_order_at_an_offset_that_the_earlier_era_had_not_reached_is_new) {
  mesh_fixture fixture;
  fixture.fleet.order("evacuate/a", gateway::domain_withdrawal{"a"});
  fixture.fleet.run_for(1s);
  fixture.fleet.restore_store(2);
  fixture.fleet.order("evacuate/a", gateway::record_removed{});
  fixture.fleet.run_for(1s);
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert_not(fixture.fleet.daemon(at).operator_records().is_withdrawn("a"));
  }
}
