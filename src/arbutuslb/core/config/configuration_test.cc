#include "arbutuslb/core/config/configuration.h"

#include <criterion/criterion.h>

namespace {

using namespace arbutuslb::core;
using namespace arbutuslb::core::config;

std::string publish_record(const std::string& id, const std::string& document) {
  record value;
  value.command_id = id;
  value.operator_name = "ann";
  value.body = parse_publish_document(document);
  return serialize(value);
}

const std::string menu_document = R"({
  "domains": [{"name": "d1"}, {"name": "d2"}],
  "services": [{"name": "menu", "versions": ["v1", "v2"]}],
  "routes": [{"name": "menu", "path_prefix": "/menu", "service": "menu"}]
})";

configuration menu_configuration() {
  configuration state;
  state.apply(1, publish_record("c1", menu_document));
  return state;
}

std::string command_record(const std::string& id, command body,
                           std::map<std::string, config_version> expected_versions = {}) {
  record value;
  value.command_id = id;
  value.operator_name = "bob";
  value.expected_versions = std::move(expected_versions);
  value.body = std::move(body);
  return serialize(value);
}

} // namespace

Test(configuration, publish_applies_all_objects) {
  const configuration state = menu_configuration();
  cr_assert_eq(state.version(), 1U);
  cr_assert_not_null(state.find_service("menu"));
  cr_assert_not_null(state.match_route("/menu/today"));
  cr_assert_null(state.match_route("/menus"));
}

Test(configuration, bad_publish_changes_nothing_and_reports_every_place) {
  configuration state = menu_configuration();
  const std::string before = state.find_service("menu")->active;
  const apply_result result = state.apply(2, publish_record("c2", R"({
    "services": [{"name": "menu", "versions": ["v2"]}],
    "routes": [{"name": "pay", "path_prefix": "/pay", "service": "checuot"},
               {"name": "stock", "path_prefix": "/menu", "service": "menu"}]})"));
  cr_assert_eq(result.status, apply_status::refused);
  cr_assert_geq(result.findings.size(), 3U);
  cr_assert_eq(result.findings[1].place, "routes[0].service");
  cr_assert_eq(state.find_service("menu")->active, before);
  cr_assert_null(state.match_route("/pay"));
}

Test(configuration, malformed_records_are_skipped_by_all_daemons_alike) {
  configuration left = menu_configuration();
  configuration right = menu_configuration();
  cr_assert_eq(left.apply(2, "{not json").status, apply_status::malformed);
  cr_assert_eq(right.apply(2, "{not json").status, apply_status::malformed);
  cr_assert_eq(left.version(), 2U);
  cr_assert_eq(left.state_hash(), right.state_hash());
  const std::string deep(100'000, '[');
  cr_assert_eq(left.apply(3, deep).status, apply_status::malformed);
  const std::string large(max_record_bytes + 1, ' ');
  cr_assert_eq(left.apply(4, large).status, apply_status::malformed);
}

Test(configuration, repeated_command_has_one_effect) {
  configuration state = menu_configuration();
  const std::string record = command_record("w1", withdraw_command{"d1"});
  cr_assert_eq(state.apply(2, record).status, apply_status::accepted);
  cr_assert_eq(state.apply(3, record).status, apply_status::repeated);
  cr_assert(state.outcome_of("w1")->accepted);
  cr_assert_eq(state.outcome_of("w1")->version, 2U);
}

Test(configuration, the_later_of_two_conflicting_commands_names_the_earlier_one) {
  configuration state = menu_configuration();
  const std::map<std::string, config_version> expected_versions{{"domain/d1", 1}};
  state.apply(2, command_record("w1", withdraw_command{"d1"}, expected_versions));
  const apply_result late =
      state.apply(3, command_record("w2", withdraw_command{"d1"}, expected_versions));
  cr_assert_eq(late.status, apply_status::refused);
  cr_assert(late.findings[0].text.find("bob changed it at version 2 by command w1") !=
            std::string::npos);
}

Test(configuration, records_with_an_offset_gap_or_an_old_offset_are_rejected) {
  configuration state = menu_configuration();
  cr_assert_eq(state.apply(3, publish_record("c3", menu_document)).status,
               apply_status::out_of_order);
  cr_assert_eq(state.apply(1, publish_record("c4", menu_document)).status,
               apply_status::out_of_order);
  cr_assert_eq(state.version(), 1U);
}

Test(configuration, snapshot_round_trip_preserves_state_and_bytes) {
  configuration state = menu_configuration();
  state.apply(2, command_record("w1", withdraw_command{"d1"}));
  state.apply(3, "garbage");
  const configuration copy = configuration::from_snapshot(state.snapshot());
  cr_assert_eq(copy.version(), state.version());
  cr_assert_eq(copy.state_hash(), state.state_hash());
  cr_assert_eq(copy.snapshot(), state.snapshot());
}

Test(configuration, move_has_one_outcome_and_a_done_move_makes_the_version_active) {
  configuration state = menu_configuration();
  move_command started{"menu", "v1", "v2", time_point{std::chrono::hours{1}}, {}};
  cr_assert_eq(state.apply(2, command_record("m1", started)).status, apply_status::accepted);
  cr_assert_eq(state.apply(3, command_record("m2", started)).status, apply_status::refused);
  cr_assert_eq(state.apply(4, command_record("s1", move_step_command{2, 100})).status,
               apply_status::accepted);
  cr_assert_eq(state.apply(5, command_record("s0", move_step_command{2, 50})).status,
               apply_status::refused);
  state.apply(6, command_record("v1", move_verdict_command{2, true, "good"}));
  cr_assert_eq(state.apply(7, command_record("v2", move_verdict_command{2, false, "bad"})).status,
               apply_status::refused);
  cr_assert_eq(state.find_service("menu")->active, "v2");
}

Test(configuration, the_last_domain_in_use_cannot_be_withdrawn) {
  configuration state = menu_configuration();
  state.apply(2, command_record("w1", withdraw_command{"d1"}));
  cr_assert_eq(state.apply(3, command_record("w2", withdraw_command{"d2"})).status,
               apply_status::refused);
}

Test(configuration, a_service_that_routes_need_cannot_be_removed) {
  configuration state = menu_configuration();
  const apply_result result =
      state.apply(2, publish_record("c2", R"({"remove_services": ["menu"]})"));
  cr_assert_eq(result.status, apply_status::refused);
  cr_assert_eq(result.findings[0].place, "remove_services");
}

Test(configuration, two_routes_may_swap_their_prefixes) {
  configuration state = menu_configuration();
  state.apply(2, publish_record("c2", R"({"routes": [
    {"name": "stock", "path_prefix": "/stock", "service": "menu"}]})"));
  const apply_result swapped = state.apply(3, publish_record("c3", R"({"routes": [
    {"name": "stock", "path_prefix": "/menu", "service": "menu"},
    {"name": "menu", "path_prefix": "/stock", "service": "menu"}]})"));
  cr_assert_eq(swapped.status, apply_status::accepted);
  cr_assert_eq(state.match_route("/menu/today")->name, "stock");
  cr_assert_eq(state.match_route("/stock?x=1")->name, "menu");
}

Test(configuration, the_longest_prefix_of_whole_segments_wins) {
  configuration state = menu_configuration();
  state.apply(2, publish_record("c2", R"({"routes": [
    {"name": "drinks", "path_prefix": "/menu/drinks", "service": "menu"},
    {"name": "rest", "path_prefix": "/", "service": "menu"}]})"));
  cr_assert_eq(state.match_route("/menu/drinks/1")->name, "drinks");
  cr_assert_eq(state.match_route("/menu/drinksx")->name, "menu");
  cr_assert_eq(state.match_route("/menus")->name, "rest");
}
