// Tests of rollouts on a simulated fleet: how many requests a faulty version gets, and that a sound
// one is completed in time.

#include "arbutuslb/core/gateway/gateway_test_mesh.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace {

constexpr std::size_t new_daemons[] = {1, 5};

// A rollout of `menu` to v2 on daemons 1 and 5, under 200 requests a second of which six have a
// route of their own.
struct rollout_play {
  explicit rollout_play(std::uint64_t seed = 1) : fixture(seed) {
    auto next = configuration(2);
    next->routes["shop.example"]["/quiet/"] = route("r-quiet", "/quiet/", "menu", true);
    fixture.fleet.publish(next);
    for (const std::size_t at : menu_daemons) {
      fixture.fleet.upstream(at).slots = 18;
      fixture.fleet.upstream(at).work = 80ms;
    }
    for (const std::size_t at : new_daemons) {
      fixture.fleet.upstream(at).version = "v2";
      fixture.fleet.restart(at);
    }
    fixture.fleet.run_for(3s);
  }

  void run() {
    fixture.fleet.order("rollout/menu", gateway::rollout_spec{"menu", "v2", time_allowed});
    const std::size_t before = fixture.fleet.runs.size();
    for (arbutuslb::core::duration elapsed{}; elapsed < time_allowed; elapsed += 10ms) {
      on_turn(elapsed);
      for (int i = 0; i < 2; ++i) {
        const char* target = sent_ % 33 == 32 ? "/quiet/1" : "/menu/1";
        fixture.fleet.call(sent_++ % 8, "shop.example", target);
      }
      fixture.fleet.run_for(10ms);
    }
    total = fixture.fleet.runs.size() - before;
    for (const std::size_t at : new_daemons) {
      exposed += fixture.fleet.starts[at].size();
    }
  }
  // Changes the upstreams of v2.
  void change(const std::function<void(arbutuslb::fakes::upstream_behaviour&)>& change_one) {
    for (const std::size_t at : new_daemons) {
      change_one(fixture.fleet.upstream(at));
    }
  }
  std::size_t allowed() const { return total / 10 + 50; }
  bool has_outcome(gateway::rollout_phase phase) const {
    const auto found = fixture.fleet.outcomes.find("menu");
    return found != fixture.fleet.outcomes.end() && found->second == phase;
  }
  long count_log(const std::string& event) const {
    return std::count_if(fixture.fleet.log.begin(), fixture.fleet.log.end(),
                         [&](const auto& item) { return item.name == event; });
  }

  mesh_fixture fixture;
  arbutuslb::core::duration time_allowed = 16s;
  // Called every 10 ms with the time since the order.
  std::function<void(arbutuslb::core::duration)> on_turn = [](arbutuslb::core::duration) {};
  std::size_t exposed = 0; // executions by v2
  std::size_t total = 0;   // executions from the order on

private:
  std::size_t sent_ = 0;
};

} // namespace

Test(rollout, the_reasons_of_a_wait_are_logged) {
  rollout_play play;
  play.run();
  cr_assert_geq(play.count_log("rollout_waits"), 5);  // one for each step
  cr_assert_leq(play.count_log("rollout_waits"), 30); // no more than one a second and step
}

Test(rollout, a_version_that_fails_under_load_gets_a_small_part_of_the_requests) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    for (std::size_t errors_above = 4; errors_above <= 8; ++errors_above) {
      rollout_play play(seed);
      for (const std::size_t at : new_daemons) {
        play.fixture.fleet.upstream(at).error_share = 0.5;
        play.fixture.fleet.upstream(at).errors_above = errors_above;
      }
      play.run();
      cr_assert(play.has_outcome(gateway::rollout_phase::rolled_back));
      cr_assert_leq(play.exposed, play.total / 10 + 50, "seed %d: %d of %d", static_cast<int>(seed),
                    static_cast<int>(play.exposed), static_cast<int>(play.total));
    }
  }
}

Test(rollout, the_evidence_behind_a_verdict_and_unanswered_executions_are_logged) {
  rollout_play play;
  play.change([](auto& upstream) { upstream.work = 700ms; });
  play.run();
  cr_assert_geq(play.count_log("rollout_judged"), 1);
  cr_assert_geq(play.count_log("run_unanswered"), 1);
  for (const auto& line : play.fixture.fleet.log) {
    const bool is_verdict = line.name == "rollout_judged";
    const bool has_calls =
        std::any_of(line.fields.begin(), line.fields.end(),
                    [](const auto& field) { return field.first == "new_calls"; });
    cr_assert(!is_verdict || has_calls);
  }
}

Test(rollout, a_slow_version_gets_a_small_part_of_the_requests) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    for (const arbutuslb::core::duration work : {320ms, 450ms, 640ms, 1280ms, 3000ms}) {
      rollout_play play(seed);
      play.time_allowed = 14s;
      play.change([&](auto& upstream) { upstream.work = work; });
      play.run();
      cr_assert(play.has_outcome(gateway::rollout_phase::rolled_back));
      cr_assert_leq(play.exposed, play.allowed(), "seed %d: %d of %d", static_cast<int>(seed),
                    static_cast<int>(play.exposed), static_cast<int>(play.total));
    }
  }
}

Test(rollout, a_version_that_fails_from_a_moment_on_gets_a_small_part_of_the_requests) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    for (const arbutuslb::core::duration fails_after : {4s, 5s, 6s, 7s, 8s}) {
      for (const bool is_slow : {false, true}) {
        rollout_play play(seed);
        play.time_allowed = 14s;
        play.on_turn = [&](arbutuslb::core::duration elapsed) {
          if (elapsed >= fails_after) {
            play.change([&](auto& upstream) {
              upstream.error_share = is_slow ? 0 : 0.35;
              upstream.work = is_slow ? 640ms : 80ms;
            });
          }
        };
        play.run();
        cr_assert(play.has_outcome(gateway::rollout_phase::rolled_back));
        cr_assert_leq(play.exposed, play.allowed(), "seed %d, after %d s: %d of %d",
                      static_cast<int>(seed), static_cast<int>(fails_after.count() / 1'000'000),
                      static_cast<int>(play.exposed), static_cast<int>(play.total));
      }
    }
  }
}

Test(rollout, a_late_fault_is_found_while_the_evaluator_is_replaced_every_second) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    rollout_play play(seed);
    play.time_allowed = 14s;
    gateway_fleet& fleet = play.fixture.fleet;
    play.on_turn = [&](arbutuslb::core::duration elapsed) {
      if (elapsed >= 6s) {
        play.change([](auto& upstream) { upstream.error_share = 0.5; });
      }
      if (elapsed > 0s && elapsed % 1s == 0s) {
        const std::vector<std::string> holders = fleet.daemon(2).directory().role_holders(
            gateway::rollout_conductor::role_name("menu"), "", 1, fleet.now());
        for (std::size_t index = 0; index < 8 && !holders.empty(); ++index) {
          if (holders.front() == "10.0.0." + std::to_string(index + 1)) {
            fleet.restart(index);
          }
        }
      }
    };
    play.run();
    cr_assert_leq(play.exposed, play.allowed(), "seed %d: %d of %d", static_cast<int>(seed),
                  static_cast<int>(play.exposed), static_cast<int>(play.total));
    cr_assert_not(play.has_outcome(gateway::rollout_phase::completed));
  }
}

Test(rollout, a_sound_version_with_a_quiet_route_is_completed_in_time) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    rollout_play play(seed);
    play.run();
    cr_assert(play.has_outcome(gateway::rollout_phase::completed));
  }
}

Test(rollout, the_recorded_outcome_overrides_what_the_daemons_have_concluded) {
  rollout_play play;
  play.fixture.fleet.record_outcome("menu", "v2", gateway::rollout_phase::rolled_back);
  play.run();
  play.fixture.fleet.run_for(2s); // the daemons had concluded that the version is sound
  const std::size_t before =
      play.fixture.fleet.starts[1].size() + play.fixture.fleet.starts[5].size();
  for (std::size_t daemon = 0; daemon < 8; ++daemon) {
    for (int i = 0; i < 5; ++i) {
      const std::uint64_t token = play.fixture.fleet.call(daemon, "shop.example", "/menu/1");
      play.fixture.fleet.run_for(100ms);
      cr_assert_eq(play.fixture.fleet.answers[token].status, status_ok);
    }
  }
  cr_assert_eq(play.fixture.fleet.starts[1].size() + play.fixture.fleet.starts[5].size(), before);
}

namespace {

// Upstreams of three versions of `menu`; each version but the first has one.
struct versions_play {
  versions_play() {
    for (const std::size_t at : menu_daemons) {
      fixture.fleet.upstream(at).slots = 18;
    }
    fixture.fleet.upstream(second).version = "v2";
    fixture.fleet.upstream(third).version = "v3";
    fixture.fleet.restart(second);
    fixture.fleet.restart(third);
    fixture.fleet.run_for(4s);
  }
  // Sends requests to all daemons for a time.
  void run_for(arbutuslb::core::duration time) {
    for (arbutuslb::core::duration elapsed{}; elapsed < time; elapsed += 10ms) {
      for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        fixture.fleet.call((2 * sent_++ + daemon) % 8, "shop.example", "/menu/1");
      }
      fixture.fleet.run_for(10ms);
    }
  }
  std::size_t executions(std::size_t daemon) { return fixture.fleet.starts[daemon].size(); }

  static constexpr std::size_t second = 1;
  static constexpr std::size_t third = 5;
  mesh_fixture fixture;

private:
  std::size_t sent_ = 0;
};

} // namespace

Test(rollout, a_version_that_was_rolled_back_gets_nothing_during_the_next_rollout) {
  versions_play play;
  play.fixture.fleet.upstream(versions_play::second).error_share = 1.0;
  play.fixture.fleet.order("rollout/menu", gateway::rollout_spec{"menu", "v2", 14s});
  while (!play.fixture.fleet.outcomes.contains("menu")) {
    play.run_for(100ms);
  }
  play.run_for(100ms);
  play.fixture.fleet.order("rollout/menu", gateway::rollout_spec{"menu", "v3", 14s});
  play.fixture.fleet.kill_upstream(0);
  const std::size_t before = play.executions(versions_play::second);
  play.run_for(3s); // the upstream of v2 is still there
  cr_assert_eq(play.executions(versions_play::second), before);
}

Test(rollout, a_version_gets_nothing_before_its_order_while_the_others_start_again) {
  versions_play play;
  play.fixture.fleet.kill_upstream(0);
  play.fixture.fleet.kill_upstream(4);
  play.run_for(4s);
  play.fixture.fleet.restart(2); // without memory, beside old versions that have just started
  play.run_for(5s);
  cr_assert_eq(play.executions(versions_play::second), 0U);
  cr_assert_eq(play.executions(versions_play::third), 0U);
  cr_assert_gt(play.executions(0), 100U);
}

Test(rollout, daemons_without_memory_take_the_recorded_outcome_and_serve) {
  rollout_play play;
  play.run();
  cr_assert(play.has_outcome(gateway::rollout_phase::completed));
  for (std::size_t daemon = 0; daemon < 8; ++daemon) {
    play.fixture.fleet.restart(daemon);
  }
  play.fixture.fleet.upstream(0).is_down = true; // the old version has been stopped
  play.fixture.fleet.upstream(4).is_down = true;
  play.fixture.fleet.run_for(2500ms);
  for (std::size_t daemon = 0; daemon < 8; ++daemon) {
    const std::uint64_t token = play.fixture.fleet.call(daemon, "shop.example", "/menu/1");
    play.fixture.fleet.run_for(300ms);
    cr_assert_eq(play.fixture.fleet.answers[token].status, status_ok);
  }
}
