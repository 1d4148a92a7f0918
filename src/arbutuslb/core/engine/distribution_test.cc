// Guarantees of the distribution: a daemon's version never decreases, no route exists without its
// service, no version is applied in part, a version is in force everywhere within 3 s, and
// conflicting commands have one outcome.

#include "arbutuslb/core/base/hash.h"
#include "arbutuslb/core/engine/test_support.h"

namespace {

using namespace arbutuslb;
using namespace arbutuslb::core;
using namespace arbutuslb::core::engine;
using namespace arbutuslb::core::engine::testing;
using operators::exit_code;
using operators::report;

constexpr std::chrono::seconds in_force_bound{3};
const std::string add_stock = R"({"routes": [
  {"name": "stock2", "path_prefix": "/stock2", "service": "menu"}]})";

std::uint64_t highest_version(test_fleet& fleet) {
  std::uint64_t version = 0;
  for (const std::string& name : fleet.names()) {
    if (fleet.is_running(name)) {
      version = std::max(version, fleet.daemon(name).configuration().version());
    }
  }
  return version;
}

} // namespace

Test(distribution, a_published_version_is_in_force_everywhere_within_the_bound) {
  for_each_seed(5, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2", "d3"});
    start_sample_mesh(fleet);
    const report accepted = fleet.ask("d1-menu", "publish", add_stock);
    ASSERT_SEED(accepted.result == "accepted", seed);
    ASSERT_SEED(fleet.run_until([&] { return fleet.all_at_version(2); }, in_force_bound), seed);
    const report wait = fleet.ask("d3-menu", "wait 2 within 3");
    ASSERT_SEED(wait.code == exit_code::ok, seed);
    assert_no_violations(fleet, seed);
  });
}

Test(distribution, reordered_repeated_and_lost_messages_never_lower_a_version) {
  for_each_seed(5, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    fleet.link.max_delay = 200ms;
    fleet.link.datagram_loss = 0.2;
    fleet.link.repeat = 0.3;
    add_sample_daemons(fleet, {"d1", "d2", "d3"});
    fleet.run_for(5s);
    fleet.ask("d1-menu", "publish", fakes::sample_mesh);
    for (int i = 0; i < 12; ++i) {
      fleet.ask(i % 2 == 0 ? "d2-menu" : "d1-menu", i % 4 < 2 ? "withdraw d3" : "return d3");
    }
    const std::uint64_t last = highest_version(fleet);
    ASSERT_SEED(fleet.run_until([&] { return fleet.all_at_version(last); }, in_force_bound), seed);
    assert_no_violations(fleet, seed);
  });
}

Test(distribution, a_version_is_in_force_within_the_bound_when_all_readers_die) {
  for_each_seed(5, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    for (int i = 0; i < 10; ++i) {
      fleet.add("m" + std::to_string(i), "d1", "menu", "v1");
    }
    start_sample_mesh(fleet);
    const std::vector<member_id> readers = membership::highest_ranked(
        context::role_hash("reader", "d1"), fleet.daemon("m0").members().present_members_of("d1"),
        readers_per_domain);
    std::string remaining_daemon;
    for (const std::string& name : fleet.names()) {
      const bool is_reader =
          std::find(readers.begin(), readers.end(), member_id_of(name)) != readers.end();
      if (is_reader) {
        fleet.kill(name);
      } else {
        remaining_daemon = name;
      }
    }
    // Stands for a record written by another domain's daemon: no daemon of the fleet has read it
    // yet.
    config::record value;
    value.command_id = "from-elsewhere";
    value.body = config::withdraw_command{"d2"};
    fleet.store.append(config_stream, config::serialize(value));
    ASSERT_SEED(fleet.run_until([&] { return fleet.all_at_version(2); }, in_force_bound), seed);
    assert_no_violations(fleet, seed);
  });
}

Test(distribution, an_append_repeated_after_a_lost_answer_takes_effect_once) {
  for_each_seed(3, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2"});
    start_sample_mesh(fleet);
    fleet.log.lose_answers = 1;
    const report accepted = fleet.ask("d1-menu", "withdraw d2", {}, "w1");
    ASSERT_SEED(accepted.result == "accepted", seed);
    fleet.run_for(6s);
    const report repeated = fleet.ask("d2-menu", "withdraw d2", {}, "w1");
    ASSERT_SEED(repeated.result == "accepted", seed);
    ASSERT_SEED(fleet.daemon("d1-menu").configuration().domains().at("d2").withdrawn, seed);
    assert_no_violations(fleet, seed);
  });
}

Test(distribution, of_two_conflicting_commands_one_is_accepted_everywhere) {
  for_each_seed(5, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2", "d3"});
    start_sample_mesh(fleet);
    const std::uint64_t left =
        fleet.send_command("d1-menu", "move menu from v1 to v2 by +10m", {}, "left", "ann");
    const std::uint64_t right =
        fleet.send_command("d2-menu", "move menu from v1 to v2 by +20m", {}, "right", "bob");
    fleet.run_for(3s);
    const report first = fleet.answer_to(left).value();
    const report second = fleet.answer_to(right).value();
    ASSERT_SEED((first.result == "accepted") != (second.result == "accepted"), seed);
    const report& loser = first.result == "accepted" ? second : first;
    const std::string winner = first.result == "accepted" ? "ann" : "bob";
    ASSERT_SEED(loser.code == exit_code::refused, seed);
    ASSERT_SEED(loser.findings[0].text.find(winner) != std::string::npos, seed);
    assert_no_violations(fleet, seed);
  });
}

Test(distribution, an_invalid_document_is_refused_with_all_findings_and_changes_nothing) {
  test_fleet fleet(1);
  add_sample_daemons(fleet, {"d1", "d2"});
  start_sample_mesh(fleet);
  const report refused = fleet.ask("d1-menu", "publish", R"({"routes": [
    {"name": "a", "path_prefix": "/a", "service": "nowhere"},
    {"name": "b", "path_prefix": "/b", "service": "menuu"}]})");
  cr_assert_eq(refused.code, exit_code::refused);
  cr_assert_eq(refused.findings.size(), 2U);
  cr_assert_eq(highest_version(fleet), 1U);
}

Test(distribution, a_malformed_record_is_skipped_by_all_daemons) {
  test_fleet fleet(1);
  add_sample_daemons(fleet, {"d1", "d2"});
  start_sample_mesh(fleet);
  fleet.store.append(config_stream, "\x01\x02 not a record");
  cr_assert(fleet.run_until([&] { return fleet.all_at_version(2); }, in_force_bound));
  cr_assert(fleet.has_event("record_malformed offset=2"));
  cr_assert_eq(fleet.ask("d1-menu", "withdraw d2").result, "accepted");
  assert_no_violations(fleet, 1);
}

Test(distribution, a_new_process_starts_from_peers_while_the_log_is_down) {
  for_each_seed(5, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2", "d3"});
    start_sample_mesh(fleet);
    fleet.log.is_down = true;
    fleet.run_for(5s);
    fleet.restart("d2-menu");
    const bool has_started =
        fleet.run_until([&] { return fleet.daemon("d2-menu").configuration().version() == 1; }, 5s);
    ASSERT_SEED(has_started, seed);
    fleet.run_for(3s);
    const answer_caller answer = fleet.call_and_wait("d2-menu", "/menu", "x", 500ms);
    ASSERT_SEED(answer.outcome == protocol::call_outcome::answered, seed);
    const report refused = fleet.ask("d1-menu", "withdraw d3");
    ASSERT_SEED(refused.code == exit_code::not_accepted, seed);
    assert_no_violations(fleet, seed);
  });
}

Test(distribution, a_new_process_is_not_ready_below_the_version_of_its_peers) {
  test_fleet fleet(1);
  for (const std::string name : {"a", "b", "c"}) {
    fleet.add(name, "d1", "menu", "v1");
  }
  start_sample_mesh(fleet);
  const std::string first = fleet.daemon("a").configuration().snapshot();
  fleet.ask("a", "publish", add_stock);
  fleet.run_for(1s);
  core_settings settings;
  settings.instance = "fresh";
  settings.domain = "d1";
  settings.service = "menu";
  settings.version = "v1";
  daemon_core fresh(settings, 1, fleet.now());
  time_point now = fleet.now();
  const auto receive = [&](const std::string& peer, config_version held,
                           protocol::message_body body) {
    protocol::message value;
    value.sender = fleet.daemon(peer).self();
    value.sender_digest.version = held;
    value.body = std::move(body);
    fresh.handle(peer_message{value}, now);
    now += tick_period;
    fresh.handle(tick{}, now);
  };
  const auto is_ready = [&] {
    const std::vector<action> actions =
        fresh.handle(call_received{1, {"GET", "/menu", "", "", "", 0}, 500ms}, now);
    const answer_caller* refusal = std::get_if<answer_caller>(&actions.front());
    return refusal == nullptr || refusal->reason != "no configuration yet";
  };
  for (const std::string peer : {"b", "c"}) {
    fresh.handle(tick{}, now);
    receive("a", 1, protocol::membership_entries{"d1", {fleet.daemon(peer).self()}, false, {}});
  }
  receive("a", 1, protocol::config_snapshot{first});
  cr_assert_eq(fresh.configuration().version(), 1U);
  cr_assert_not(is_ready(), "only one peer's digest was received");
  receive("b", 2, protocol::version_report{});
  receive("c", 2, protocol::version_report{});
  cr_assert_not(is_ready(), "two peers have a higher version");
  receive("b", 2, protocol::config_push{2, {fleet.store.read(config_stream, 2, 1).records.at(0)}});
  cr_assert_eq(fresh.configuration().version(), 2U);
  cr_assert(is_ready());
}

Test(distribution, snapshots_preserve_the_state_beyond_the_logs_retention) {
  for_each_seed(2, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2"});
    start_sample_mesh(fleet);
    for (int i = 0; i < 140; ++i) {
      config::record value;
      value.command_id = "w" + std::to_string(i);
      value.body = i % 2 == 0 ? config::command{config::withdraw_command{"d2"}}
                              : config::command{config::return_command{"d2"}};
      fleet.store.append(config_stream, config::serialize(value));
    }
    fleet.run_for(20s);
    ASSERT_SEED(fleet.has_event("snapshot_written"), seed);
    fleet.store.set_retention(5);
    fleet.store.append(config_stream, "expire the rest");
    for (const std::string& name : fleet.names()) {
      fleet.kill(name); // afterwards no process has the state in memory
    }
    for (const std::string& name : fleet.names()) {
      fleet.restart(name);
    }
    ASSERT_SEED(fleet.run_until([&] { return fleet.all_at_version(142); }, 20s), seed);
    ASSERT_SEED(fleet.daemon("d1-menu").configuration().find_service("menu") != nullptr, seed);
    assert_no_violations(fleet, seed);
  });
}

Test(distribution, an_isolated_domain_serves_reports_its_knowledge_age_and_catches_up) {
  for_each_seed(3, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2", "d3"});
    start_sample_mesh(fleet);
    fleet.cut("d3", "d1");
    fleet.cut("d3", "d2");
    fleet.cut_log("d3");
    fleet.run_for(20s);
    ASSERT_SEED(fleet.ask("d1-menu", "publish", add_stock).result == "accepted", seed);
    const answer_caller answer = fleet.call_and_wait("d3-menu", "/menu", "x", 500ms);
    ASSERT_SEED(answer.outcome == protocol::call_outcome::answered, seed);
    const report isolated_report = fleet.ask("d3-menu", "what is in force");
    ASSERT_SEED(isolated_report.code == exit_code::refused, seed);
    const std::map<std::string, std::string> facts(isolated_report.facts.begin(),
                                                   isolated_report.facts.end());
    ASSERT_SEED(std::stoi(facts.at("knowledge_age")) >= 15, seed);
    const report connected_report = fleet.ask("d1-menu", "wait 2 within 2");
    ASSERT_SEED(connected_report.code == exit_code::refused, seed);
    fleet.heal();
    ASSERT_SEED(fleet.run_until([&] { return fleet.all_at_version(2); }, in_force_bound), seed);
    assert_no_violations(fleet, seed);
  });
}

Test(distribution, what_is_in_force_queries_again_when_one_collector_missed_a_report) {
  for_each_seed(10, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2", "d3"});
    start_sample_mesh(fleet);
    fleet.link.datagram_loss = 0.1;
    ASSERT_SEED(fleet.ask("d1-menu", "publish", add_stock).result == "accepted", seed);
    ASSERT_SEED(fleet.ask("d1-menu", "wait 2 within 25").code == exit_code::ok, seed);
    fleet.link.datagram_loss = 0.0; // lost reports are not sent again at once
    ASSERT_SEED(fleet.ask("d3-menu", "what is in force").code == exit_code::ok, seed);
    assert_no_violations(fleet, seed);
  });
}

Test(distribution, different_state_hashes_at_one_version_are_logged_as_a_mismatch) {
  test_fleet fleet(1);
  add_sample_daemons(fleet, {"d1", "d2"});
  start_sample_mesh(fleet);
  protocol::message forged;
  forged.sender = fleet.daemon("d2-menu").self();
  forged.sender_digest = {1, 12345, {}, 0, {}};
  forged.body = protocol::version_report{};
  const std::vector<action> actions =
      fleet.daemon("d1-menu").handle(peer_message{forged}, fleet.now());
  const auto is_alarm = [](const action& item) {
    const write_event* event = std::get_if<write_event>(&item);
    return event != nullptr && event->name == "state_mismatch";
  };
  cr_assert(std::any_of(actions.begin(), actions.end(), is_alarm));
}
