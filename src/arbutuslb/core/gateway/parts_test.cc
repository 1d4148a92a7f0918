// Unit tests of the components of the data path.

#include "arbutuslb/core/gateway/mesh_configuration.h"
#include "arbutuslb/core/gateway/peer_directory.h"
#include "arbutuslb/core/gateway/run_queue.h"
#include "arbutuslb/core/gateway/upstream_registry.h"

#include <criterion/criterion.h>
#include <set>

namespace {

using namespace std::chrono_literals;
using namespace arbutuslb::core::gateway;
using arbutuslb::core::time_point;

const time_point start{1000s};
const local_upstream local{"10.0.0.1:80", "menu", "a"};

heartbeat make_heartbeat(std::uint64_t sequence, std::int64_t started_ms = 5) {
  heartbeat value;
  value.instance_id = "i-1";
  value.started_ms = started_ms;
  value.sequence = sequence;
  value.service = "menu";
  value.domain = "a";
  value.version = "v1";
  value.address = "10.0.0.1:80";
  value.slots = 4;
  return value;
}

peer_report make_report(const std::string& host) {
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

upstream_query make_query(int rank) {
  upstream_query query;
  query.service = "menu";
  query.target_latency = 300ms;
  query.rank = rank;
  query.allows_version = [](const std::string&) { return true; };
  return query;
}

} // namespace

// Guards against refusing urgent requests without an attempt: in a burst, every gate had just
// refused less urgent requests, and the most urgent ones, the calls of upstreams, were refused
// unsent.
Test(peer_directory, a_refusal_excludes_a_peer_only_for_requests_that_are_not_more_urgent) {
  peer_directory directory("a", "10.0.0.9");
  directory.merge(make_report("10.0.0.1"), start);
  arbutuslb::core::random_source random(1);
  directory.on_refused("10.0.0.1", 1, start + 20ms, start);
  cr_assert(directory.choose(make_query(0), {}, start, random).has_value());
  cr_assert_not((directory.choose(make_query(1), {}, start, random).has_value()));
  cr_assert_not((directory.choose(make_query(2), {}, start, random).has_value()));
  upstream_query first_attempt = make_query(2);
  first_attempt.allows_refused = true;
  cr_assert(directory.choose(first_attempt, {}, start, random).has_value());
  cr_assert(directory.choose(make_query(2), {}, start + 20ms, random).has_value());
}

// Guards against overloading a new gate: one that had not measured any latency yet was treated as
// the fastest of its service and received every request.
Test(peer_directory, an_upstream_without_measurements_is_treated_as_typical) {
  peer_directory directory("a", "10.0.0.9");
  for (const char* host : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
    peer_report report = make_report(host);
    report.limit = 16;
    if (host != std::string("10.0.0.1")) {
      report.mean_latency = 200ms;
      report.routes = {{7, 200ms}};
    }
    directory.merge(report, start);
  }
  arbutuslb::core::random_source random(1);
  upstream_query query = make_query(0);
  query.route_hash = 7;
  int at_unmeasured = 0;
  constexpr int requests = 300;
  for (int i = 0; i < requests; ++i) {
    at_unmeasured += *directory.choose(query, {}, start, random) == "10.0.0.1" ? 1 : 0;
  }
  cr_assert(at_unmeasured < requests / 2);
  cr_assert(at_unmeasured > requests / 6);
}

Test(peer_directory, large_requests_stay_in_the_domain_and_small_ones_leave_it_for_latency) {
  peer_directory directory("a", "10.0.0.9");
  peer_report slow_local = make_report("10.0.0.1");
  slow_local.routes = {{7, 180ms}};
  peer_report fast_remote = make_report("10.0.0.2");
  fast_remote.domain = "b";
  fast_remote.routes = {{7, 60ms}};
  directory.merge(slow_local, start);
  directory.merge(fast_remote, start);
  arbutuslb::core::random_source random(1);
  upstream_query query = make_query(0);
  query.route_hash = 7;
  for (int i = 0; i < 20; ++i) {
    query.size = 200;
    cr_assert_eq(*directory.choose(query, {}, start, random), "10.0.0.2");
    query.size = 6000;
    cr_assert_eq(*directory.choose(query, {}, start, random), "10.0.0.1");
  }
}

// The subset of this daemon may lie in domains that are cut off while the rest of the service is
// in reach.
Test(peer_directory, a_live_upstream_outside_the_subset_is_preferred_to_stale_ones_inside) {
  constexpr std::size_t upstreams = 40;
  peer_directory directory("a", "10.0.0.9");
  arbutuslb::core::random_source random(1);
  std::set<std::string> subset;
  for (std::size_t i = 0; i < upstreams; ++i) {
    peer_report report = make_report("10.0.1." + std::to_string(i));
    report.domain = "b";
    directory.merge(report, start);
  }
  for (int i = 0; i < 1000; ++i) {
    subset.insert(*directory.choose(make_query(0), {}, start, random));
  }
  cr_assert_eq(subset.size(), remote_subset_size);
  const time_point later = start + peer_staleness_limit;
  for (std::size_t i = 0; i < upstreams; ++i) {
    const std::string host = "10.0.1." + std::to_string(i);
    if (!subset.contains(host)) {
      directory.on_contact(host, later);
    }
  }
  for (int i = 0; i < 100; ++i) {
    cr_assert_not(subset.contains(*directory.choose(make_query(0), {}, later, random)));
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

Test(run_queue, urgent_ranks_start_first_and_requests_that_cannot_start_in_time_are_refused) {
  run_queue queue;
  queue.set_limit(1);
  cr_assert(queue.submit({1, 2, start + 1s}, start) == admission_verdict::run);
  cr_assert(queue.submit({2, 2, start + 1s}, start) == admission_verdict::queued);
  cr_assert(queue.submit({3, 0, start + 1s}, start) == admission_verdict::queued);
  cr_assert(queue.submit({4, 2, start + 1ms}, start) == admission_verdict::refused);
  cr_assert_not((queue.next(start).has_value()));
  queue.release(std::nullopt);
  cr_assert(*queue.next(start) == 3);
  queue.release(std::nullopt);
  cr_assert(*queue.next(start) == 2);
}

Test(run_queue, the_rate_of_a_cold_upstream_is_limited_over_a_sliding_window) {
  run_queue queue;
  queue.set_limit(100);
  queue.set_rate(3);
  for (std::uint64_t i = 0; i < 3; ++i) {
    cr_assert(queue.submit({i, 0, start + 5s}, start + i * 100ms) == admission_verdict::run);
  }
  cr_assert(queue.submit({9, 0, start + 5s}, start + 300ms) == admission_verdict::queued);
  cr_assert_not((queue.next(start + 999ms).has_value()));
  cr_assert(*queue.next(start + 1000ms) == 9);
}

Test(upstream_registry, late_repeated_and_reordered_heartbeats_are_ignored) {
  upstream_registry registry(local);
  cr_assert(registry.on_heartbeat(make_heartbeat(2), start) == heartbeat_verdict::accepted);
  cr_assert(registry.on_heartbeat(make_heartbeat(2), start) == heartbeat_verdict::stale);
  cr_assert(registry.on_heartbeat(make_heartbeat(1), start) == heartbeat_verdict::stale);
  heartbeat leaving = make_heartbeat(4);
  leaving.state = upstream_lifecycle::draining;
  cr_assert(registry.on_heartbeat(leaving, start) == heartbeat_verdict::accepted);
  cr_assert(registry.on_heartbeat(make_heartbeat(5), start) == heartbeat_verdict::already_leaving);
  cr_assert_not((registry.is_usable(start)));
  // A later incarnation with the same id: its sequence numbers start again.
  cr_assert(registry.on_heartbeat(make_heartbeat(1, 9), start) == heartbeat_verdict::accepted);
  cr_assert(registry.is_usable(start));
  cr_assert(registry.on_heartbeat(make_heartbeat(6, 5), start) == heartbeat_verdict::stale);
}

// Guards against a heartbeat of another writer that replaces the upstream because it is of a later
// start (UNASKED).
Test(upstream_registry, a_heartbeat_that_contradicts_what_is_known_changes_nothing) {
  upstream_registry registry(local);
  heartbeat other_address = make_heartbeat(3, 9);
  other_address.address = "10.0.0.2:80";
  heartbeat other_domain = make_heartbeat(3, 9);
  other_domain.domain = "b";
  heartbeat other_service = make_heartbeat(3, 9);
  other_service.service = "orders";
  heartbeat other_version = make_heartbeat(3);
  other_version.version = "v2";
  cr_assert(registry.on_heartbeat(other_service, start) == heartbeat_verdict::other_service);
  cr_assert_not(registry.upstream().has_value());
  registry.on_heartbeat(make_heartbeat(2), start);
  cr_assert(registry.on_heartbeat(other_address, start) == heartbeat_verdict::foreign);
  cr_assert(registry.on_heartbeat(other_domain, start) == heartbeat_verdict::foreign);
  cr_assert(registry.on_heartbeat(other_service, start) == heartbeat_verdict::other_service);
  cr_assert(registry.on_heartbeat(other_version, start) == heartbeat_verdict::contradictory);
  cr_assert_eq(registry.upstream()->started_ms, 5);
  cr_assert_eq(registry.upstream()->sequence, 2);
  cr_assert_eq(registry.upstream()->version, "v1");
}

// Reports of the remaining cold time are truncated and may be read out of step with the clock.
Test(upstream_registry,
     a_cold_upstream_is_not_taken_for_warm_before_its_cold_time_has_surely_passed) {
  upstream_registry registry(local);
  heartbeat cold = make_heartbeat(1);
  cold.cold_for = 2999ms; // of 2999.9 ms
  registry.on_heartbeat(cold, start);
  cr_assert(registry.is_cold(start + 3000ms));
  heartbeat ending = make_heartbeat(2);
  ending.cold_for = 0ms; // of 0.9 ms
  registry.on_heartbeat(ending, start + 2999ms);
  cr_assert(registry.is_cold(start + 3000ms));
  cr_assert_not((registry.is_cold(start + 3200ms)));
}

// The upstream of a domain that is in use again may be cold; the heartbeat was sent before.
Test(upstream_registry, a_late_heartbeat_does_not_end_the_assumed_cold_time) {
  upstream_registry registry(local);
  registry.on_heartbeat(make_heartbeat(1), start);
  registry.assume_cold(start + 3s);
  registry.on_heartbeat(make_heartbeat(2), start + 500ms);
  cr_assert(registry.is_cold(start + 1s));
}

Test(upstream_registry, a_late_heartbeat_does_not_restore_a_deregistered_upstream) {
  upstream_registry registry(local);
  registry.on_deregistration("i-1", start);
  cr_assert(registry.on_heartbeat(make_heartbeat(3), start) == heartbeat_verdict::already_leaving);
  cr_assert_not((registry.is_usable(start)));
}

Test(upstream_registry, a_later_incarnation_with_the_id_of_a_departed_one_is_accepted) {
  upstream_registry registry(local);
  registry.on_heartbeat(make_heartbeat(3, 5), start);
  registry.on_deregistration("i-1", start);
  cr_assert(registry.on_heartbeat(make_heartbeat(4, 5), start) ==
            heartbeat_verdict::already_leaving);
  cr_assert(registry.on_heartbeat(make_heartbeat(1, 9), start) == heartbeat_verdict::accepted);
  cr_assert(registry.is_usable(start));
}

Test(upstream_registry, a_departure_recorded_by_an_earlier_process_is_restored) {
  upstream_registry registry(local);
  registry.set_unusable_until(start + 500ms);
  cr_assert(registry.on_heartbeat(make_heartbeat(3, 5), start) == heartbeat_verdict::accepted);
  cr_assert_not((registry.is_usable(start)));
  registry.restore_departure({"i-1", 5}, start);
  registry.set_unusable_until({});
  cr_assert_not((registry.is_usable(start)));
  cr_assert(registry.on_heartbeat(make_heartbeat(4, 5), start) != heartbeat_verdict::accepted);
  cr_assert(registry.on_heartbeat(make_heartbeat(1, 9), start) == heartbeat_verdict::accepted);
  cr_assert(registry.is_usable(start));
}
