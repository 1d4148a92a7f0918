// The parts of the data path on their own.

#include "arbutuslb/core/gateway/mesh_configuration.h"
#include "arbutuslb/core/gateway/peer_directory.h"
#include "arbutuslb/core/gateway/run_queue.h"
#include "arbutuslb/core/gateway/upstream_registry.h"

#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace arbutuslb::core::gateway;
using arbutuslb::core::time_point;

const time_point start{1000s};

heartbeat beat(std::uint64_t sequence, std::int64_t started_ms = 5) {
  heartbeat value;
  value.instance_id = "i-1";
  value.started_ms = started_ms;
  value.sequence = sequence;
  value.service = "menu";
  value.version = "v1";
  value.address = "10.0.0.1:80";
  value.slots = 4;
  return value;
}

peer_report report_of(const std::string& host) {
  peer_report report;
  report.name = host;
  report.host = host;
  report.domain = "a";
  report.process_epoch = 1;
  report.sequence = 1;
  report.service = "menu";
  report.instance_id = "i-" + host;
  report.is_usable = true;
  report.limit = 4;
  return report;
}

upstream_query query_of(int rank) {
  upstream_query query;
  query.service = "menu";
  query.target_latency = 300ms;
  query.rank = rank;
  query.allows_version = [](const std::string&) { return true; };
  return query;
}

} // namespace

// Seen on the bench: in a burst the calls of upstreams, the most urgent of all, were refused
// without being sent, because less urgent requests had just been refused by every gate.
Test(peer_directory, a_refusal_closes_a_gate_only_for_what_is_no_more_urgent) {
  peer_directory directory("a", "10.0.0.9");
  directory.merge(report_of("10.0.0.1"), start);
  arbutuslb::core::random_source random(1);
  directory.on_refused("10.0.0.1", 1, start + 20ms, start);
  cr_assert(directory.choose(query_of(0), {}, start, random).has_value());
  cr_assert_not((directory.choose(query_of(1), {}, start, random).has_value()));
  cr_assert_not((directory.choose(query_of(2), {}, start, random).has_value()));
  upstream_query first_offer = query_of(2);
  first_offer.allows_refused = true;
  cr_assert(directory.choose(first_offer, {}, start, random).has_value());
  cr_assert(directory.choose(query_of(2), {}, start + 20ms, random).has_value());
}

// Seen on the bench (haddad-engrave trouble-2 --seed 988583403121): a gate that had just started
// was held to be the fastest of its service, because it had measured nothing, and got every
// request.
Test(peer_directory, a_gate_that_has_measured_nothing_is_held_to_be_as_fast_as_the_others) {
  peer_directory directory("a", "10.0.0.9");
  for (const char* host : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
    peer_report report = report_of(host);
    report.limit = 16;
    if (host != std::string("10.0.0.1")) {
      report.mean_latency = 200ms;
      report.routes = {{7, 200ms}};
    }
    directory.merge(report, start);
  }
  arbutuslb::core::random_source random(1);
  upstream_query query = query_of(0);
  query.route_hash = 7;
  int at_fresh = 0;
  constexpr int requests = 300;
  for (int i = 0; i < requests; ++i) {
    at_fresh += *directory.choose(query, {}, start, random) == "10.0.0.1" ? 1 : 0;
  }
  cr_assert(at_fresh < requests / 2);
  cr_assert(at_fresh > requests / 6);
}

Test(peer_directory, large_requests_stay_in_the_domain_where_small_ones_leave_it_for_speed) {
  peer_directory directory("a", "10.0.0.9");
  peer_report slow_near = report_of("10.0.0.1");
  slow_near.routes = {{7, 180ms}};
  peer_report fast_far = report_of("10.0.0.2");
  fast_far.domain = "b";
  fast_far.routes = {{7, 60ms}};
  directory.merge(slow_near, start);
  directory.merge(fast_far, start);
  arbutuslb::core::random_source random(1);
  upstream_query query = query_of(0);
  query.route_hash = 7;
  for (int i = 0; i < 20; ++i) {
    query.size = 200;
    cr_assert_eq(*directory.choose(query, {}, start, random), "10.0.0.2");
    query.size = 6000;
    cr_assert_eq(*directory.choose(query, {}, start, random), "10.0.0.1");
  }
}

Test(mesh_configuration, the_longest_prefix_wins) {
  mesh_configuration configuration;
  for (const char* prefix : {"/", "/a/", "/a/b/"}) {
    route_policy route;
    route.name = prefix;
    configuration.routes["x.example"][prefix] = route;
  }
  cr_assert(configuration.match("x.example", "/a/b/c?d=/e/")->name == std::string("/a/b/"));
  cr_assert(configuration.match("X.example:80", "/a/c")->name == std::string("/a/"));
  cr_assert(configuration.match("x.example", "/a")->name == std::string("/"));
  cr_assert(configuration.match("y.example", "/a/") == nullptr);
}

Test(run_queue, urgent_ranks_go_first_and_hopeless_ones_are_refused_at_once) {
  run_queue queue;
  queue.set_limit(1);
  cr_assert(queue.submit({1, 2, start + 1s}, start) == offer_verdict::run);
  cr_assert(queue.submit({2, 2, start + 1s}, start) == offer_verdict::queued);
  cr_assert(queue.submit({3, 0, start + 1s}, start) == offer_verdict::queued);
  cr_assert(queue.submit({4, 2, start + 1ms}, start) == offer_verdict::refused);
  cr_assert_not((queue.next(start).has_value()));
  queue.release(std::nullopt);
  cr_assert(*queue.next(start) == 3);
  queue.release(std::nullopt);
  cr_assert(*queue.next(start) == 2);
}

Test(run_queue, the_rate_of_a_cold_upstream_slides) {
  run_queue queue;
  queue.set_limit(100);
  queue.set_rate(3);
  for (std::uint64_t i = 0; i < 3; ++i) {
    cr_assert(queue.submit({i, 0, start + 5s}, start + i * 100ms) == offer_verdict::run);
  }
  cr_assert(queue.submit({9, 0, start + 5s}, start + 300ms) == offer_verdict::queued);
  cr_assert_not((queue.next(start + 999ms).has_value()));
  cr_assert(*queue.next(start + 1000ms) == 9);
}

Test(upstream_registry, late_repeated_and_reordered_heartbeats_change_nothing) {
  upstream_registry registry("10.0.0.1:80");
  cr_assert(registry.on_heartbeat(beat(2), start) == heartbeat_verdict::accepted);
  cr_assert(registry.on_heartbeat(beat(2), start) == heartbeat_verdict::stale);
  cr_assert(registry.on_heartbeat(beat(1), start) == heartbeat_verdict::stale);
  heartbeat foreign = beat(3);
  foreign.address = "10.0.0.2:80";
  cr_assert(registry.on_heartbeat(foreign, start) == heartbeat_verdict::foreign);
  heartbeat leaving = beat(4);
  leaving.state = upstream_lifecycle::draining;
  cr_assert(registry.on_heartbeat(leaving, start) == heartbeat_verdict::accepted);
  cr_assert(registry.on_heartbeat(beat(5), start) == heartbeat_verdict::already_leaving);
  cr_assert_not((registry.is_usable(start)));
  // The same id, started again: its count starts anew.
  cr_assert(registry.on_heartbeat(beat(1, 9), start) == heartbeat_verdict::accepted);
  cr_assert(registry.is_usable(start));
  cr_assert(registry.on_heartbeat(beat(6, 5), start) == heartbeat_verdict::stale);
}

Test(upstream_registry, one_that_said_goodbye_does_not_return_by_a_late_heartbeat) {
  upstream_registry registry("10.0.0.1:80");
  registry.on_deregistration("i-1", start);
  cr_assert(registry.on_heartbeat(beat(3), start) == heartbeat_verdict::already_leaving);
  cr_assert_not((registry.is_usable(start)));
}

Test(upstream_registry, a_later_start_under_the_id_of_one_that_left_is_taken) {
  upstream_registry registry("10.0.0.1:80");
  registry.on_heartbeat(beat(3, 5), start);
  registry.on_deregistration("i-1", start);
  cr_assert(registry.on_heartbeat(beat(4, 5), start) == heartbeat_verdict::already_leaving);
  cr_assert(registry.on_heartbeat(beat(1, 9), start) == heartbeat_verdict::accepted);
  cr_assert(registry.is_usable(start));
}

Test(upstream_registry, a_departure_that_an_earlier_process_saw_holds) {
  upstream_registry registry("10.0.0.1:80");
  registry.close_until(start + 500ms);
  cr_assert(registry.on_heartbeat(beat(3, 5), start) == heartbeat_verdict::accepted);
  cr_assert_not((registry.is_usable(start)));
  registry.restore_departure({"i-1", 5}, start);
  registry.close_until({});
  cr_assert_not((registry.is_usable(start)));
  cr_assert(registry.on_heartbeat(beat(4, 5), start) != heartbeat_verdict::accepted);
  cr_assert(registry.on_heartbeat(beat(1, 9), start) == heartbeat_verdict::accepted);
  cr_assert(registry.is_usable(start));
}
