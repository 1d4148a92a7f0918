// Tests of second attempts for requests that take longer than most: the policy alone, and a fleet
// in which some executions are slow.

#include "arbutuslb/core/gateway/gateway_test_mesh.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace {

using arbutuslb::core::duration;
using arbutuslb::core::routing::hedge_policy;
using arbutuslb::core::routing::latency_distribution;

// A mesh in which the daemons may send five more attempts for each hundred requests.
struct hedging_mesh {
  explicit hedging_mesh(double extra_share) : fleet(1) {
    fleet.hedging.extra_share = extra_share;
    for (const char* domain : {"a", "b"}) {
      for (const char* service : {"menu", "menu", "orders", "orders"}) {
        fleet.add(domain, service);
      }
    }
    std::shared_ptr<gateway::mesh_configuration> value = configuration(1);
    value->routes["shop.example"]["/menu/"].target_latency = 800ms;
    value->routes["shop.example"]["/menu/"].timeout = 3000ms;
    value->routes["shop.example"]["/orders/"].timeout = 3000ms;
    fleet.publish(value);
    fleet.run_for(4s);
  }

  // Sends requests at all daemons, 100 per second, while each upstream of the service is slow for
  // 30 ms of each second. Returns the 99th percentile of the time to the answer.
  duration play(const std::string& target, bool is_get, const std::size_t (&daemons)[4],
                int requests = 2000) {
    std::map<std::uint64_t, arbutuslb::core::time_point> sent;
    std::vector<duration> latencies;
    for (int i = 0; i < requests * 2 || (!sent.empty() && i < requests * 3); ++i) {
      for (std::size_t at = 0; at < 4; ++at) {
        const bool is_slow =
            i % 200 >= static_cast<int>(at) * 50 && i % 200 < static_cast<int>(at) * 50 + 6;
        fleet.upstream(daemons[at]).work = is_slow ? 600ms : 20ms;
      }
      if (i % 2 == 0 && i < requests * 2) {
        sent[fleet.call(static_cast<std::size_t>(i / 2) % 8, "shop.example", target, is_get,
                        3000ms)] = fleet.now();
      }
      fleet.run_for(5ms);
      std::erase_if(sent, [&](const auto& item) {
        const bool is_answered = fleet.answers.contains(item.first);
        if (is_answered) {
          latencies.push_back(fleet.now() - item.second);
        }
        return is_answered;
      });
    }
    std::sort(latencies.begin(), latencies.end());
    return latencies[latencies.size() * 99 / 100];
  }

  std::uint64_t hedges() {
    std::uint64_t count = 0;
    for (std::size_t at = 0; at < 8; ++at) {
      count += fleet.daemon(at).totals().hedges;
    }
    return count;
  }

  gateway_fleet fleet;
};

} // namespace

Test(hedging, a_quantile_is_known_after_enough_samples_and_follows_changes) {
  latency_distribution latencies;
  cr_assert_not(latencies.quantile(0.95).has_value());
  for (int i = 1; i <= 1000; ++i) {
    latencies.add(std::chrono::milliseconds{i});
  }
  const auto p95 = latencies.quantile(0.95).value();
  cr_assert(p95 >= 950ms && p95 <= 1050ms, "%lld us", static_cast<long long>(p95.count()));
  for (int i = 0; i < 20'000; ++i) {
    latencies.add(10ms);
  }
  cr_assert(latencies.quantile(0.95).value() <= 12ms);
}

Test(hedging, the_extra_work_stays_within_its_share) {
  hedge_policy policy({0.05, 0.95});
  int taken = 0;
  for (int i = 0; i < 10'000; ++i) {
    policy.on_request();
    policy.on_answer(20ms);
    taken += policy.is_due(1s) && policy.take() ? 1 : 0;
  }
  cr_assert(taken >= 400 && taken <= 505, "%d", taken);
}

Test(hedging, the_slowest_answers_come_sooner_within_the_share) {
  hedging_mesh without(0.0);
  hedging_mesh with(0.05);
  without.play("/menu/1", true, menu_daemons); // the latencies become known
  with.play("/menu/1", true, menu_daemons);
  const duration before = without.play("/menu/1", true, menu_daemons);
  const duration after = with.play("/menu/1", true, menu_daemons);
  cr_assert_eq(without.hedges(), 0);
  cr_assert(with.hedges() > 20 && with.hedges() <= 2 * 2000 / 20 + 8 * 5, "%d",
            static_cast<int>(with.hedges()));
  cr_assert(after * 2 < before, "99th percentile %lld us before, %lld us with second attempts",
            static_cast<long long>(before.count()), static_cast<long long>(after.count()));
}

// Guards against a second execution of a request that may run once at most.
Test(hedging, a_request_that_is_not_idempotent_is_never_sent_twice) {
  hedging_mesh mesh(0.05);
  mesh.play("/orders/1", false, orders_daemons);
  cr_assert_eq(mesh.hedges(), 0);
  for (const auto& [attempt, count] : mesh.fleet.runs) {
    cr_assert_eq(count, 1);
  }
}

// Guards against extra work that makes an overload worse.
Test(hedging, nothing_is_sent_twice_while_the_service_is_overloaded) {
  hedging_mesh mesh(0.05);
  mesh.play("/menu/1", true, menu_daemons, 500);
  for (const std::size_t at : menu_daemons) {
    mesh.fleet.upstream(at).work = 150ms;
  }
  const auto send = [&](int steps) {
    for (int i = 0; i < steps; ++i) { // 400 per second, room for 213
      for (std::size_t at = 0; at < 4; ++at) {
        mesh.fleet.call((at + 4 * static_cast<std::size_t>(i)) % 8, "shop.example", "/menu/1", true,
                        3000ms);
      }
      mesh.fleet.run_for(10ms);
    }
  };
  send(100); // the load becomes known
  const std::uint64_t before = mesh.hedges();
  send(300);
  cr_assert_eq(mesh.hedges() - before, 0);
}
