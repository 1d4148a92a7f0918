// The member table when daemons join, restart, die or are isolated, also many at once.

#include "arbutuslb/core/engine/test_support.h"

namespace {

using namespace arbutuslb;
using namespace arbutuslb::core;
using namespace arbutuslb::core::engine;
using namespace arbutuslb::core::engine::testing;
using membership::member_status;

bool membership_converged(test_fleet& fleet, std::size_t count) {
  for (const std::string& name : fleet.names()) {
    if (fleet.is_running(name) && fleet.daemon(name).members().present().size() != count) {
      return false;
    }
  }
  return true;
}

} // namespace

Test(membership, daemons_of_all_domains_find_each_other) {
  for_each_seed(4, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2", "d3"});
    ASSERT_SEED(fleet.run_until([&] { return membership_converged(fleet, 6); }, 10s), seed);
  });
}

Test(membership, a_new_process_finds_peers_through_the_log_when_no_seed_runs) {
  test_fleet fleet(1);
  add_sample_daemons(fleet, {"d1", "d2"});
  fleet.run_for(5s);
  fleet.kill("d1-menu"); // the first two addresses are the seeds
  fleet.kill("d1-pre-orders");
  fleet.run_for(20s);
  fleet.add("d2-late", "d2", "menu", "v1");
  cr_assert(fleet.run_until(
      [&] { return fleet.daemon("d2-late").members().present_members_of("d2").size() == 3; }, 15s));
}

Test(membership, a_dead_daemon_is_detected_and_its_new_process_replaces_it) {
  for_each_seed(4, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    add_sample_daemons(fleet, {"d1", "d2", "d3"});
    start_sample_mesh(fleet);
    fleet.kill("d2-menu");
    ASSERT_SEED(fleet.run_until([&] { return membership_converged(fleet, 5); }, 20s), seed);
    fleet.restart("d2-menu");
    ASSERT_SEED(fleet.run_until([&] { return membership_converged(fleet, 6); }, 10s), seed);
  });
}

Test(membership, isolated_members_do_not_remove_most_of_their_peers) {
  for_each_seed(4, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    for (int i = 0; i < 8; ++i) {
      fleet.add("m" + std::to_string(i), "d1", "menu", "v1");
    }
    start_sample_mesh(fleet);
    fleet.link.datagram_loss = 1.0;
    fleet.link.stream_loss = 1.0;
    fleet.run_for(60s);
    std::size_t present = 0;
    for (const std::string& name : fleet.names()) {
      present += fleet.daemon(name).members().present().size();
    }
    // All links are down. Each daemon may have declared a few members dead before its failure
    // detector recognised its own isolation.
    ASSERT_SEED(present >= 8 * 5, seed);
    fleet.link.datagram_loss = 0.0;
    fleet.link.stream_loss = 0.0;
    ASSERT_SEED(fleet.run_until([&] { return membership_converged(fleet, 8); }, 30s), seed);
  });
}

Test(membership, membership_recovers_when_half_of_all_daemons_restart_together) {
  for_each_seed(3, [](std::uint64_t seed) {
    test_fleet fleet(seed);
    for (const std::string domain : {"d1", "d2"}) {
      for (int i = 0; i < 10; ++i) {
        fleet.add(domain + "-" + std::to_string(i), domain, "menu", "v1");
      }
    }
    start_sample_mesh(fleet);
    const time_point start = fleet.now();
    generate_calls(fleet, "d1-1", "/menu", 100, 30s);
    fleet.run_for(1s);
    for (const std::string domain : {"d1", "d2"}) {
      for (int i = 0; i < 10; i += 2) {
        fleet.kill(domain + "-" + std::to_string(i));
      }
    }
    fleet.run_for(12s);
    for (const std::string domain : {"d1", "d2"}) {
      for (int i = 0; i < 10; i += 2) {
        fleet.restart(domain + "-" + std::to_string(i));
      }
    }
    const bool is_converged = fleet.run_until(
        [&] { return membership_converged(fleet, 20) && fleet.all_at_version(1); }, 15s);
    ASSERT_SEED(is_converged, seed);
    ASSERT_SEED(success_ratio(fleet, start + 10s, fleet.now() - 1s).ratio() > 0.99, seed);
    assert_no_violations(fleet, seed);
  });
}

Test(membership, answers_to_many_joining_daemons_are_limited) {
  test_fleet fleet(1);
  for (int i = 0; i < 30; ++i) {
    fleet.add("m" + std::to_string(i), "d1", "menu", "v1");
  }
  fleet.run_for(30s);
  protocol::message request;
  request.sender = fleet.daemon("m1").self();
  request.body = protocol::membership_request{};
  std::size_t entries = 0;
  constexpr int requests = 100;
  for (int i = 0; i < requests; ++i) {
    for (const action& item : fleet.daemon("m0").handle(peer_message{request}, fleet.now())) {
      const send_message* sent = std::get_if<send_message>(&item);
      const protocol::membership_entries* answer =
          sent == nullptr ? nullptr : std::get_if<protocol::membership_entries>(&sent->value.body);
      entries += answer == nullptr ? 0 : answer->entries.size();
    }
  }
  cr_assert_geq(entries, requests); // every joining daemon gets at least one other address to ask
  cr_assert_leq(entries, requests * entries_per_limited_join_answer + 2 * entries_per_join_answer);
}
