// Tests of how the data path spreads and limits load, on a simulated fleet with a simulated clock.

#include "arbutuslb/core/gateway/gateway_test_mesh.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <numeric>

// An upstream with less room than it states never answers the requests that it cannot take.
Test(gateway, an_upstream_that_ignores_requests_beyond_its_room_is_offered_no_more) {
  mesh_fixture fixture;
  for (const std::size_t at : orders_daemons) {
    fixture.fleet.upstream(at).mute_above = 3; // states 8 slots
    fixture.fleet.upstream(at).work = 100ms;
  }
  const auto play = [&fixture](int steps) {
    std::vector<std::uint64_t> tokens;
    for (int i = 0; i < steps; ++i) { // 200 requests per second, there is room for 120
      for (std::size_t caller = i % 2; caller < 8; caller += 2) {
        tokens.push_back(fixture.fleet.call(caller, "shop.example", "/orders/1", false));
      }
      fixture.fleet.run_for(20ms);
    }
    return tokens;
  };
  play(150); // learns
  fixture.fleet.run_for(2s);
  const std::size_t ignored_before = fixture.fleet.unanswered.size();
  const std::vector<std::uint64_t> tokens = play(250);
  fixture.fleet.run_for(2s);
  const std::size_t ignored = fixture.fleet.unanswered.size() - ignored_before;
  cr_assert(ignored * 50 < tokens.size(), "%zu of %zu ignored", ignored, tokens.size());
  std::size_t served = 0;
  for (const std::uint64_t token : tokens) {
    const std::string attempt = "attempt-" + std::to_string(token);
    const int status = fixture.fleet.answers[token].status;
    served += status == status_ok ? 1 : 0;
    cr_assert_not(fixture.fleet.unanswered.contains(attempt) && status == status_unavailable,
                  "a request that an upstream may have executed is reported as not executed");
  }
  for (const auto& [attempt, count] : fixture.fleet.runs) {
    cr_assert_eq(count, 1);
  }
  cr_assert(served * 10 >= tokens.size() * 5, "%zu of %zu served", served, tokens.size());
}

// The remaining cold time is reported in whole milliseconds, rounded down.
Test(gateway, queued_requests_are_not_released_to_an_upstream_that_is_still_cold) {
  gateway_fleet fleet(1);
  fleet.cold_load_factor = 1.5;
  fleet.add("a", "menu");
  fleet.publish(configuration(1)); // a cold upstream of `menu` sustains 10 * 1.5 per second
  fleet.run_for(4s);
  const arbutuslb::core::time_point cold_since = fleet.now();
  const arbutuslb::core::time_point cold_until = cold_since + 3000900us;
  gateway::heartbeat first_cold = fleet.next_heartbeat(0);
  ++first_cold.sequence;
  first_cold.cold_for = 3000ms;
  fleet.send_heartbeat(0, first_cold);
  while (fleet.now() < cold_until) {
    const arbutuslb::core::duration cold_at_next_tick =
        cold_until - (fleet.now() + gateway::tick_period);
    fleet.upstream(0).cold_for =
        std::chrono::duration_cast<std::chrono::milliseconds>(cold_at_next_tick);
    fleet.call(0, "shop.example", "/menu/1");
    fleet.run_for(gateway::tick_period);
  }
  const auto& starts = fleet.starts[0];
  const auto first = std::lower_bound(starts.begin(), starts.end(), cold_since);
  const auto last = std::lower_bound(starts.begin(), starts.end(), cold_until);
  cr_assert(last - first >= 40);
  for (auto start = first; last - start > 15; ++start) {
    cr_assert(static_cast<int>((start[15] - *start) / 1ms) >= 1000, "16 requests in %d ms",
              static_cast<int>((start[15] - *start) / 1ms));
  }
}

// Ten daemons in a row are killed beside an upstream that stays cold.
Test(gateway, restarts_of_its_daemon_do_not_overload_a_cold_upstream) {
  gateway_fleet fleet(1);
  fleet.cold_load_factor = 1.5;
  fleet.cold_load_extra = 4;
  fleet.add("a", "menu");
  fleet.add("a", "other");
  fleet.upstream(0).cold_for = 60s;
  fleet.publish(configuration(1));
  fleet.run_for(4s);
  const arbutuslb::core::time_point began = fleet.now();
  for (int i = 0; i < 1000; ++i) {
    if (i % 110 == 69) {
      fleet.restart(0);
      fleet.send_heartbeat(0, fleet.next_heartbeat(0));
    }
    fleet.call(1, "shop.example", "/menu/1");
    fleet.run_for(20ms);
  }
  const auto& starts = fleet.starts[0];
  const auto first = std::lower_bound(starts.begin(), starts.end(), began);
  constexpr int allowed = 10 * 1.5 + 4;
  for (auto start = first; starts.end() - start > allowed; ++start) {
    const int span = static_cast<int>((start[allowed] - *start) / 1ms);
    cr_assert(span >= 1000, "%d requests in %d ms", allowed + 1, span);
  }
  cr_assert(starts.end() - first >= 100, "%d requests", static_cast<int>(starts.end() - first));
}

// Half of the upstreams of a service state that they take 5 requests per second from all daemons.
Test(gateway,
     an_upstream_that_states_a_limit_is_offered_no_more_even_after_a_restart_of_its_daemon) {
  mesh_fixture fixture;
  for (const std::size_t at : {0, 4}) {
    fixture.fleet.upstream(at).notice.rate_limit = 5;
  }
  const auto play = [&fixture](int steps) {
    std::vector<std::uint64_t> tokens;
    for (int i = 0; i < steps; ++i) { // 100 requests per second
      for (std::size_t caller = i % 4; caller < 8; caller += 4) {
        tokens.push_back(fixture.fleet.call(caller, "shop.example", "/menu/1"));
      }
      fixture.fleet.run_for(20ms);
    }
    return tokens;
  };
  play(25); // learns
  const arbutuslb::core::time_point began = fixture.fleet.now() + 500ms;
  std::vector<std::uint64_t> tokens = play(150);
  fixture.fleet.restart(0);
  for (const std::uint64_t token : play(300)) {
    tokens.push_back(token);
  }
  fixture.fleet.run_for(2s);
  for (const std::size_t at : {0, 4}) {
    const auto& starts = fixture.fleet.starts[at];
    const auto first = std::lower_bound(starts.begin(), starts.end(), began);
    constexpr int allowed = 1.5 * 5 * 4 + 5; // in 4 s
    for (auto start = first; starts.end() - start > allowed; ++start) {
      const int span = static_cast<int>((start[allowed] - *start) / 1ms);
      cr_assert(span >= 4000, "%d requests in %d ms", allowed + 1, span);
    }
    cr_assert(starts.end() - first >= 9 * 4, "%d requests", static_cast<int>(starts.end() - first));
  }
  std::size_t served = 0;
  for (const std::uint64_t token : tokens) {
    served += fixture.fleet.answers[token].status == status_ok ? 1 : 0;
  }
  cr_assert(served * 100 >= tokens.size() * 98, "%zu of %zu served", served, tokens.size());
}

Test(gateway, a_restarted_daemon_keeps_the_limit_that_its_upstream_stated_to_other_daemons) {
  mesh_fixture fixture;
  for (const std::size_t at : menu_daemons) {
    fixture.fleet.upstream(at).slots = 16;
    fixture.fleet.upstream(at).work = 400ms;
  }
  fixture.fleet.upstream(0).notice.rate_limit = 1;
  const auto play = [&fixture](int steps) {
    for (int i = 0; i < steps; ++i) { // 200 requests per second
      for (std::size_t caller = 1; caller < 8; caller += 2) {
        fixture.fleet.call(caller, "shop.example", "/menu/1");
      }
      fixture.fleet.run_for(20ms);
    }
  };
  play(100);
  fixture.fleet.restart(0);
  const arbutuslb::core::time_point restarted = fixture.fleet.now();
  play(250);
  const auto& starts = fixture.fleet.starts[0];
  const auto first = std::lower_bound(starts.begin(), starts.end(), restarted);
  const auto last = std::lower_bound(starts.begin(), starts.end(), restarted + 4s);
  constexpr int allowed = 1.5 * 1 * 4 + 5; // in 4 s
  cr_assert(last - first <= allowed, "%d requests", static_cast<int>(last - first));
  cr_assert(last != first);
}

namespace {

// One domain of a large fleet: 48 daemons whose callers use the 20 upstreams of `menu`.
struct spread_scenario {
  // `works` are the execution times, which the upstreams take in turn.
  spread_scenario(const std::vector<arbutuslb::core::duration>& works, int requests_per_10_ms)
      : fleet(3) {
    for (std::size_t i = 0; i < callers; ++i) {
      fleet.add("a", i < upstreams ? "menu" : "other");
      fleet.upstream(i).slots = 6;
      fleet.upstream(i).work = works[i % works.size()];
    }
    fleet.publish(configuration(1));
    fleet.run_for(4s);
    play(requests_per_10_ms, 300); // so that latencies are measured
    std::vector<std::size_t> before;
    for (std::size_t i = 0; i < upstreams; ++i) {
      before.push_back(fleet.starts[i].size());
    }
    play(requests_per_10_ms, 1000);
    fleet.run_for(2s);
    for (std::size_t i = 0; i < upstreams; ++i) {
      starts.push_back(fleet.starts[i].size() - before[i]);
    }
  }
  void play(int requests, int steps) {
    arbutuslb::core::random_source random(7);
    for (int step = 0; step < steps; ++step) {
      for (int i = 0; i < requests; ++i) {
        fleet.call(random.below(callers), "shop.example", "/menu/1");
      }
      fleet.run_for(step % 2 == 0 ? 20ms : 0ms);
    }
  }
  static constexpr std::size_t callers = 48;
  static constexpr std::size_t upstreams = 20;
  gateway_fleet fleet;
  std::vector<std::size_t> starts; // by upstream
};

} // namespace

Test(gateway, equal_upstreams_share_the_requests_of_many_callers) {
  constexpr int light_load = 3; // a third of the slots
  constexpr int heavy_load = 6; // two thirds of the slots
  for (const int load : {light_load, heavy_load}) {
    const spread_scenario scenario({140ms}, load);
    const auto [fewest, most] = std::minmax_element(scenario.starts.begin(), scenario.starts.end());
    const std::size_t total =
        std::accumulate(scenario.starts.begin(), scenario.starts.end(), std::size_t{0});
    constexpr double max_ratio_to_mean = 1.3;
    cr_assert(static_cast<double>(*most * spread_scenario::upstreams) <
                  max_ratio_to_mean * static_cast<double>(total),
              "load %d: %zu to %zu of %zu", load, *fewest, *most, total);
  }
}

// Callers that hold the same reports must not all turn to the same upstream: with two thirds of the
// slots in use there is room for every request in time.
Test(gateway, upstreams_of_unequal_speed_serve_many_callers_in_time) {
  const spread_scenario scenario({80ms, 110ms, 140ms, 170ms, 200ms}, 6);
  std::size_t ended = 0;
  std::size_t late = 0;
  for (const arbutuslb::core::engine::write_event& line : scenario.fleet.log) {
    for (const auto& [key, value] : line.fields) {
      if (line.name == "request_ended" && key == "ms") {
        ++ended;
        late += std::stoi(value) > 300 ? 1 : 0;
      }
    }
  }
  cr_assert_eq(ended, 7800);
  cr_assert(late * 1000 < ended, "%zu of %zu are late", late, ended);
}

// The load: all upstreams of a service are offered three times what they can execute. Guards
// against requests that each full upstream refuses in turn: their transfers and the time of their
// callers are lost.
Test(gateway, a_request_that_was_refused_is_offered_only_where_there_is_room) {
  mesh_fixture fixture;
  for (const std::size_t at : menu_daemons) {
    fixture.fleet.upstream(at).work = 150ms; // 8 slots each: 213 per second
  }
  std::vector<std::uint64_t> tokens;
  for (int i = 0; i < 400; ++i) { // 640 per second
    for (std::size_t k = 0; k < 4 + (i % 5 < 2 ? 1 : 0) * 6; ++k) {
      tokens.push_back(
          fixture.fleet.call((k + static_cast<std::size_t>(i)) % 8, "shop.example", "/menu/1"));
    }
    fixture.fleet.run_for(10ms);
  }
  fixture.fleet.run_for(2s);
  std::size_t served = 0;
  for (const std::uint64_t token : tokens) {
    served += fixture.fleet.answers[token].status == status_ok ? 1 : 0;
  }
  std::uint64_t refused_offers = 0;
  for (std::size_t at = 0; at < 8; ++at) {
    refused_offers += fixture.fleet.daemon(at).totals().runs_refused;
  }
  const std::size_t not_served = tokens.size() - served;
  cr_assert(refused_offers * 2 <= not_served * 3, "%d offers were refused of %zu requests",
            static_cast<int>(refused_offers), not_served);
  cr_assert(served >= 4 * 213 * 9 / 10, "%zu served of room for %d", served, 4 * 213);
}
