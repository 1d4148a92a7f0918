// The promises of the data path, on several daemons and a paused clock.

#include "arbutuslb/fakes/gateway_fleet.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using arbutuslb::fakes::gateway_fleet;
namespace gateway = arbutuslb::core::gateway;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

gateway::route_policy route(const std::string& name, const std::string& prefix,
                            const std::string& service, bool is_idempotent) {
  gateway::route_policy value;
  value.name = name;
  value.host = "shop.example";
  value.path_prefix = prefix;
  value.is_idempotent = is_idempotent;
  value.timeout = 1000ms;
  value.target_latency = 300ms;
  value.max_upstreams = 2;
  value.split = {{service, 1.0}};
  return value;
}

std::shared_ptr<gateway::mesh_configuration> configuration(std::uint64_t version) {
  auto value = std::make_shared<gateway::mesh_configuration>();
  value->version = version;
  for (const char* name : {"menu", "orders", "other"}) {
    gateway::service_policy service;
    service.name = name;
    service.cold_rate = 10;
    value->services[name] = service;
  }
  value->routes["shop.example"]["/menu/"] = route("r-menu", "/menu/", "menu", true);
  value->routes["shop.example"]["/orders/"] = route("r-orders", "/orders/", "orders", false);
  return value;
}

// Two domains with two upstreams of each service, warm and known to each other.
struct world {
  explicit world(std::uint64_t seed = 1) : fleet(seed) {
    for (const char* domain : {"a", "b"}) {
      for (const char* service : {"menu", "menu", "orders", "orders"}) {
        fleet.add(domain, service);
      }
    }
    fleet.publish(configuration(1));
    fleet.run_for(4s);
  }
  gateway_fleet fleet;
};

constexpr std::size_t menu_daemons[] = {0, 1, 4, 5};
constexpr std::size_t order_daemons[] = {2, 3, 6, 7};

} // namespace

Test(gateway, a_request_is_served_from_any_daemon) {
  world w;
  for (std::size_t at = 0; at < 8; ++at) {
    const std::uint64_t menu = w.fleet.call(at, "shop.example", "/menu/1");
    const std::uint64_t order = w.fleet.call(at, "SHOP.example:80", "/orders/1", false);
    w.fleet.run_for(200ms);
    cr_assert(w.fleet.answers[menu].status == status_ok);
    cr_assert(w.fleet.answers[order].status == status_ok);
  }
}

Test(gateway, without_a_configuration_it_says_503_and_with_one_404) {
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

Test(gateway, an_unsafe_request_runs_once_when_answers_are_lost) {
  world w;
  for (const std::size_t at : order_daemons) {
    w.fleet.upstream(at).loses_answers = true;
  }
  for (int i = 0; i < 50; ++i) {
    const std::uint64_t token =
        w.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/orders/1", false);
    w.fleet.run_for(60ms);
    cr_assert(w.fleet.answers[token].status == status_bad_gateway);
  }
  for (const auto& [attempt, count] : w.fleet.runs) {
    cr_assert(count <= 1, "%s ran %d times", attempt.c_str(), count);
  }
}

Test(gateway, an_unsafe_request_that_failed_at_its_upstream_is_not_run_again) {
  world w;
  for (const std::size_t at : order_daemons) {
    w.fleet.upstream(at).error_share = 1.0;
  }
  for (int i = 0; i < 20; ++i) {
    w.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/orders/1", false);
    w.fleet.run_for(60ms);
  }
  cr_assert_eq(w.fleet.runs.size(), 20);
  for (const auto& [attempt, count] : w.fleet.runs) {
    cr_assert(count == 1, "%s ran %d times", attempt.c_str(), count);
  }
}

// The budget holds over all daemons together: a fifth of the requests and 60 more in 10 s, of which
// each daemon may spend half of its equal share.
Test(gateway, repeats_stay_within_the_budget_when_every_upstream_fails) {
  world w;
  for (const std::size_t at : menu_daemons) {
    w.fleet.upstream(at).error_share = 1.0;
  }
  constexpr int calls = 1000;
  for (int i = 0; i < calls; ++i) {
    w.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/menu/1");
    w.fleet.run_for(10ms);
  }
  int repeats = 0;
  for (const auto& [attempt, count] : w.fleet.runs) {
    repeats += count - 1;
  }
  cr_assert(repeats > 0);
  cr_assert(repeats <= calls / 5 + 60, "%d repeats", repeats);
}

Test(gateway, a_safe_request_is_sent_again_within_the_budget) {
  world w;
  w.fleet.upstream(0).error_share = 1.0;
  w.fleet.upstream(4).error_share = 1.0;
  int good = 0;
  constexpr int calls = 200;
  for (int i = 0; i < calls; ++i) {
    const std::uint64_t token = w.fleet.call(1, "shop.example", "/menu/1");
    w.fleet.run_for(60ms);
    good += w.fleet.answers[token].status == status_ok ? 1 : 0;
  }
  int repeats = 0;
  for (const auto& [attempt, count] : w.fleet.runs) {
    cr_assert(count <= 2);
    repeats += count - 1;
  }
  cr_assert(good >= calls * 9 / 10);
  cr_assert(repeats <= calls / 5 + 60);
}

Test(gateway, a_refusal_as_not_run_is_true_under_overload) {
  world w;
  for (const std::size_t at : order_daemons) {
    w.fleet.upstream(at).work = 400ms;
    w.fleet.upstream(at).slots = 2;
  }
  w.fleet.run_for(3s);
  std::vector<std::pair<std::uint64_t, std::string>> sent;
  for (int i = 0; i < 400; ++i) {
    const std::uint64_t token =
        w.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/orders/1", false, 1200ms);
    sent.emplace_back(token, "attempt-" + std::to_string(token));
    if (i % 8 == 7) {
      w.fleet.run_for(40ms);
    }
  }
  w.fleet.run_for(4s);
  int refused = 0;
  for (const auto& [token, attempt] : sent) {
    cr_assert(w.fleet.answers.contains(token));
    if (w.fleet.answers[token].status == status_unavailable) {
      ++refused;
      cr_assert(w.fleet.runs.contains(attempt) ? 1 : 0 == 0);
      cr_assert(arbutuslb::core::find_header(w.fleet.answers[token].headers, "Retry-After") !=
                nullptr);
    }
  }
  cr_assert(refused > 0);
  for (const std::size_t at : order_daemons) {
    cr_assert(w.fleet.most_running[at] <= 2);
  }
}

Test(gateway, a_cold_upstream_gets_no_more_than_its_rate) {
  world w;
  for (const std::size_t at : menu_daemons) {
    w.fleet.upstream(at).cold_for = 3s;
  }
  w.fleet.run_for(2s);
  const arbutuslb::core::time_point began = w.fleet.now();
  for (int i = 0; i < 300; ++i) {
    w.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/menu/1");
    w.fleet.run_for(20ms);
  }
  for (const std::size_t at : menu_daemons) {
    const auto& starts = w.fleet.starts[at];
    for (std::size_t i = 0; i + 10 < starts.size(); ++i) {
      if (starts[i] >= began) {
        cr_assert(static_cast<int>((starts[i + 10] - starts[i]) / 1ms) >= 1000);
      }
    }
  }
}

// After all power is lost every upstream is cold, and what they bear together is all there is.
Test(gateway, a_cold_upstream_is_used_up_to_what_it_bears) {
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

// Seen on the bench: daemons took back requests that nobody else could serve, and held the upstream
// that was working on them to be unreachable.
Test(gateway, a_slow_upstream_without_an_alternative_keeps_its_request) {
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

// Seen on the bench: a daemon that was restarted while the store was down held no configuration,
// took its cold upstream's rate for unlimited, and gave it 31 requests in a second.
Test(gateway, a_gate_without_a_configuration_lets_nothing_in) {
  world w;
  w.fleet.is_store_down = true;
  w.fleet.upstream(0).cold_for = 3s;
  for (std::size_t at = 1; at < 8; ++at) {
    w.fleet.cuts.insert({0, at}); // nor does it hear of one from its peers
  }
  w.fleet.restart(0);
  w.fleet.run_for(2s);
  const std::size_t before = w.fleet.starts[0].size();
  w.fleet.cuts.clear();
  for (int i = 0; i < 3; ++i) {
    w.fleet.call(1, "shop.example", "/menu/1");
  }
  w.fleet.run_for(50ms);
  cr_assert(w.fleet.starts[0].size() == before);
}

// A heartbeat from before may arrive seconds late, and the acknowledgement binds the next process.
Test(gateway, an_acknowledged_departure_outlives_the_process) {
  world w;
  const gateway::heartbeat from_before = w.fleet.next_heartbeat(0);
  w.fleet.upstream(0).is_draining = true;
  gateway::heartbeat leaving = w.fleet.next_heartbeat(0);
  leaving.sequence += 1;
  const std::uint64_t token = w.fleet.send_heartbeat(0, leaving);
  cr_assert_not((w.fleet.acknowledged.contains(token)));
  w.fleet.run_for(20ms);
  cr_assert(w.fleet.acknowledged.contains(token));
  w.fleet.upstream(1).is_draining = true; // so that callers would want the first
  w.fleet.restart(0);
  const std::size_t before = w.fleet.starts[0].size();
  w.fleet.send_heartbeat(0, from_before);
  for (int i = 0; i < 30; ++i) {
    w.fleet.call(0, "shop.example", "/menu/1");
    w.fleet.run_for(10ms);
  }
  cr_assert(w.fleet.starts[0].size() == before);
}

Test(gateway, a_departure_is_acknowledged_within_a_second_without_the_store) {
  world w;
  w.fleet.is_store_down = true;
  w.fleet.upstream(0).is_draining = true;
  gateway::heartbeat leaving = w.fleet.next_heartbeat(0);
  leaving.sequence += 1;
  const std::uint64_t token = w.fleet.send_heartbeat(0, leaving);
  w.fleet.run_for(500ms);
  cr_assert_not((w.fleet.acknowledged.contains(token)));
  w.fleet.run_for(400ms);
  cr_assert(w.fleet.acknowledged.contains(token));
}

Test(gateway, a_leaving_upstream_gets_no_new_work) {
  world w;
  w.fleet.upstream(0).is_draining = true;
  w.fleet.run_for(1600ms);
  const std::size_t before = w.fleet.starts[0].size();
  for (int i = 0; i < 100; ++i) {
    const std::uint64_t token = w.fleet.call(0, "shop.example", "/menu/1");
    w.fleet.run_for(40ms);
    cr_assert(w.fleet.answers[token].status == status_ok);
  }
  cr_assert(w.fleet.starts[0].size() == before);
}

Test(gateway, a_withdrawn_domain_gets_no_new_work_and_returns_as_cold) {
  world w;
  w.fleet.order("evacuate/a", gateway::domain_withdrawal{"a"});
  w.fleet.run_for(1s);
  const std::size_t before = w.fleet.starts[0].size() + w.fleet.starts[1].size();
  for (int i = 0; i < 50; ++i) {
    const std::uint64_t token = w.fleet.call(0, "shop.example", "/menu/1");
    w.fleet.run_for(40ms);
    cr_assert(w.fleet.answers[token].status == status_ok);
  }
  cr_assert(w.fleet.starts[0].size() + w.fleet.starts[1].size() == before);
  w.fleet.order("evacuate/a", gateway::record_removed{});
  w.fleet.run_for(1s);
  w.fleet.call(0, "shop.example", "/menu/1");
  w.fleet.run_for(3s);
  for (int i = 0; i < 20; ++i) {
    w.fleet.call(0, "shop.example", "/menu/1");
    w.fleet.run_for(40ms);
  }
  cr_assert(w.fleet.starts[0].size() + w.fleet.starts[1].size() > before);
}

Test(gateway, a_configuration_is_in_force_everywhere_and_never_reverts) {
  world w;
  auto next = configuration(2);
  next->routes["shop.example"]["/new/"] = route("r-new", "/new/", "menu", true);
  w.fleet.publish(next);
  w.fleet.run_for(1500ms);
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert(w.fleet.daemon(at).operator_records().configuration()->version == 2);
    const std::uint64_t token = w.fleet.call(at, "shop.example", "/new/1");
    w.fleet.run_for(100ms);
    cr_assert(w.fleet.answers[token].status == status_ok);
  }
  w.fleet.publish(configuration(1)); // an older one, written later
  w.fleet.run_for(1500ms);
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert(w.fleet.daemon(at).operator_records().configuration()->version == 2);
  }
}

Test(gateway, a_daemon_that_restarts_while_the_store_is_down_learns_from_its_peers) {
  world w;
  w.fleet.is_store_down = true;
  w.fleet.restart(0);
  w.fleet.run_for(4s);
  const std::uint64_t token = w.fleet.call(0, "shop.example", "/menu/1");
  w.fleet.run_for(200ms);
  cr_assert(w.fleet.answers[token].status == status_ok);
}

Test(gateway, a_planned_stop_cuts_no_request) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    world w(seed);
    std::vector<std::uint64_t> tokens;
    for (int i = 0; i < 100; ++i) {
      if (i == 40) {
        w.fleet.stop(0);
      }
      const std::size_t at = 1 + static_cast<std::size_t>(i) % 7;
      tokens.push_back(w.fleet.call(at, "shop.example", "/menu/1"));
      tokens.push_back(w.fleet.call(at, "shop.example", "/orders/1", false));
      w.fleet.run_for(20ms);
    }
    w.fleet.run_for(4s);
    cr_assert(w.fleet.exited.contains(0));
    for (const std::uint64_t token : tokens) {
      cr_assert(w.fleet.answers[token].status == status_ok);
    }
  }
}

Test(gateway, a_domain_that_is_cut_off_serves_what_it_can) {
  world w;
  for (std::size_t one = 0; one < 4; ++one) {
    for (std::size_t other = 4; other < 8; ++other) {
      w.fleet.cuts.insert({one, other});
    }
  }
  w.fleet.run_for(3s);
  for (int i = 0; i < 40; ++i) {
    const std::uint64_t token =
        w.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/menu/1");
    w.fleet.run_for(60ms);
    cr_assert(w.fleet.answers[token].status == status_ok);
  }
  w.fleet.cuts.clear();
  w.fleet.run_for(4s);
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert(w.fleet.daemon(at).directory().live_count(w.fleet.now()) == 8);
  }
}

Test(gateway, a_caller_that_leaves_takes_its_waiting_request_along) {
  world w;
  for (const std::size_t at : order_daemons) {
    w.fleet.upstream(at).slots = 1;
    w.fleet.upstream(at).work = 200ms;
  }
  w.fleet.run_for(2s);
  for (int i = 0; i < 8; ++i) { // more than run at once
    w.fleet.call(2, "shop.example", "/orders/1", false);
  }
  w.fleet.run_for(20ms);
  const std::uint64_t token = w.fleet.call(2, "shop.example", "/orders/1", false);
  w.fleet.leave(2, token);
  w.fleet.run_for(2s);
  cr_assert_not((w.fleet.runs.contains("attempt-" + std::to_string(token))));
}

Test(gateway, a_split_keeps_its_weights) {
  world w;
  auto next = configuration(2);
  next->routes["shop.example"]["/split/"] = route("r-split", "/split/", "menu", true);
  next->routes["shop.example"]["/split/"].split = {{"menu", 90.0}, {"orders", 10.0}};
  w.fleet.publish(next);
  w.fleet.run_for(1s);
  for (int i = 0; i < 200; ++i) {
    w.fleet.call(1, "shop.example", "/split/1");
    w.fleet.run_for(40ms);
  }
  std::size_t orders = 0;
  for (const std::size_t at : order_daemons) {
    orders += w.fleet.starts[at].size();
  }
  cr_assert(orders == 20);
}

namespace {

// Plays a rollout of `menu` to v2 on daemons 1 and 5 under steady traffic.
struct rollout_play {
  explicit rollout_play(double error_share, std::uint64_t seed) : w(seed) {
    for (const std::size_t at : {std::size_t{1}, std::size_t{5}}) {
      w.fleet.upstream(at).version = "v2";
      w.fleet.upstream(at).error_share = error_share;
      w.fleet.restart(at);
    }
    w.fleet.run_for(3s);
    w.fleet.order("rollout/menu", gateway::rollout_spec{"menu", "v2", 16s});
    const std::size_t before = w.fleet.runs.size();
    for (int i = 0; i < 1600; ++i) { // 100 requests a second
      w.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/menu/1");
      w.fleet.run_for(i % 2 == 0 ? 20ms : 0ms);
    }
    total = w.fleet.runs.size() - before;
    for (const auto& [attempt, version] : w.fleet.run_versions) {
      exposed += version == "v2" ? 1 : 0;
    }
  }
  world w;
  std::size_t exposed = 0;
  std::size_t total = 0;
};

} // namespace

Test(gateway, a_good_version_is_completed_in_time) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const rollout_play play(0.0, seed);
    cr_assert(play.w.fleet.outcomes.contains("menu"));
    cr_assert(play.w.fleet.outcomes.at("menu") == gateway::rollout_phase::completed);
  }
}

Test(gateway, a_bad_version_is_taken_back_with_little_exposed) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const rollout_play play(0.5, seed);
    cr_assert(play.w.fleet.outcomes.contains("menu"));
    cr_assert(play.w.fleet.outcomes.at("menu") == gateway::rollout_phase::rolled_back);
    cr_assert(play.exposed <= play.total / 10 + 50);
  }
}

// Seen on the bench (haddad-engrave trouble-1, seed 793357791956): a version that failed one
// request in twenty, and only under load, got 19% of the requests before it was taken back.
Test(gateway, a_version_that_fails_a_little_is_taken_back) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const rollout_play play(0.08, seed);
    cr_assert(play.w.fleet.outcomes.contains("menu"));
    cr_assert(play.w.fleet.outcomes.at("menu") == gateway::rollout_phase::rolled_back);
  }
}

// Versions may be started ahead of the order to move traffic to them.
Test(gateway, a_version_that_nobody_ordered_gets_nothing) {
  world w;
  w.fleet.upstream(5).version = "v2";
  w.fleet.run_for(3s);
  for (int i = 0; i < 100; ++i) {
    w.fleet.call(static_cast<std::size_t>(i) % 8, "shop.example", "/menu/1");
    w.fleet.run_for(20ms);
  }
  for (const auto& [attempt, version] : w.fleet.run_versions) {
    cr_assert(version == std::string("v1"));
  }
}
