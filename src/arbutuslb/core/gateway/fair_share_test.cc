// Tests that organisations share what is scarce: the queue alone, and a fleet under a load of which
// one organisation sends most.

#include "arbutuslb/core/gateway/gateway_test_mesh.h"
#include "arbutuslb/core/gateway/run_queue.h"

#include <criterion/criterion.h>

namespace {

using arbutuslb::core::time_point;
using gateway::admission_verdict;
using gateway::queued_run;
using gateway::run_queue;

const time_point start{1h};

queued_run request_of(const std::string& organisation, std::uint64_t token,
                      arbutuslb::core::duration cost = 10ms, time_point start_by = start + 1h) {
  return {token, 0, start_by, organisation, cost};
}

// A queue with one slot, in which a request is running.
run_queue busy_queue() {
  run_queue queue;
  queue.set_limit(1);
  queue.submit(request_of("first", 1), start);
  return queue;
}

// Ends the running request and starts the next one. Returns its token, or 0 if none waits.
std::uint64_t serve_one(run_queue& queue, time_point now = start) {
  queue.release(std::nullopt);
  return queue.next(now).value_or(0);
}

} // namespace

Test(fair_share, an_organisation_with_one_request_waits_for_one_of_the_others) {
  run_queue queue = busy_queue();
  for (std::uint64_t i = 0; i < 50; ++i) {
    queue.submit(request_of("large", 100 + i), start);
  }
  queue.submit(request_of("small", 7), start);
  cr_assert_eq(serve_one(queue), 100);
  cr_assert_eq(serve_one(queue), 7);
  cr_assert_eq(serve_one(queue), 101);
}

Test(fair_share, requests_that_run_longer_are_served_less_often) {
  run_queue queue = busy_queue();
  for (std::uint64_t i = 0; i < 100; ++i) {
    queue.submit(request_of("long", 1000 + i, 40ms), start);
    queue.submit(request_of("short", 2000 + i, 10ms), start);
  }
  int of_long = 0;
  for (int i = 0; i < 50; ++i) {
    of_long += serve_one(queue) < 2000 ? 1 : 0;
  }
  cr_assert(of_long >= 9 && of_long <= 11, "%d of 50", of_long);
}

// One that had all slots to itself is not made to wait for that later.
Test(fair_share, what_was_free_may_be_used_and_is_not_held_against_the_user) {
  run_queue queue;
  queue.set_limit(1);
  for (std::uint64_t i = 0; i < 1000; ++i) {
    cr_assert(queue.submit(request_of("large", i), start) == admission_verdict::run);
    queue.release(std::nullopt);
  }
  queue.submit(request_of("other", 1), start);
  for (std::uint64_t i = 0; i < 10; ++i) {
    queue.submit(request_of("large", 100 + i), start);
    queue.submit(request_of("small", 200 + i), start);
  }
  int of_large = 0;
  for (int i = 0; i < 10; ++i) {
    of_large += serve_one(queue) < 200 ? 1 : 0;
  }
  cr_assert(of_large >= 4 && of_large <= 6, "%d of 10", of_large);
}

Test(fair_share, an_urgent_request_goes_before_all_shares) {
  run_queue queue = busy_queue();
  queue.submit({5, 1, start + 1h, "small", 10ms}, start);
  queue.submit({6, 0, start + 1h, "large", 10ms}, start);
  queue.submit({7, 0, start + 1h, "large", 10ms}, start);
  cr_assert_eq(serve_one(queue), 6);
  cr_assert_eq(serve_one(queue), 7);
  cr_assert_eq(serve_one(queue), 5);
}

// The mean latency is 50 ms, and there is one slot: the n-th in line starts after n * 50 ms.
Test(fair_share, a_request_that_has_no_chance_any_more_is_refused_at_once) {
  run_queue queue = busy_queue();
  for (std::uint64_t i = 0; i < 4; ++i) {
    cr_assert(queue.submit(request_of("large", 100 + i, 50ms, start + 200ms), start) ==
              admission_verdict::queued);
    cr_assert_not(queue.take_displaced(0, start).has_value());
  }
  cr_assert(queue.submit(request_of("large", 104, 50ms, start + 200ms), start) ==
            admission_verdict::refused);
  cr_assert(queue.submit(request_of("small", 7, 50ms, start + 200ms), start) ==
            admission_verdict::queued);
  cr_assert_eq(queue.take_displaced(0, start).value(), 103);
  cr_assert_not(queue.take_displaced(0, start).has_value());
  cr_assert_eq(queue.waiting(), 4);
}

Test(fair_share, the_state_of_a_queue_is_bounded) {
  run_queue queue;
  queue.set_limit(1);
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    queue.submit(request_of("organisation-" + std::to_string(i), i), start);
    queue.release(std::nullopt);
  }
  cr_assert(queue.flow_count() <= 300, "%zu", queue.flow_count());
}

// Ten organisations with 8 requests per second each, beside one with 800 for 6 s. There is room for
// 320 per second.
Test(fair_share, small_organisations_are_served_beside_one_that_sends_far_too_much) {
  mesh_fixture fixture;
  std::shared_ptr<gateway::mesh_configuration> value = configuration(2);
  value->organisations.emplace();
  value->organisations->add({"large", std::nullopt}, {"key-large"});
  for (int i = 0; i < 10; ++i) {
    value->organisations->add({"small-" + std::to_string(i), std::nullopt},
                              {"key-" + std::to_string(i)});
  }
  fixture.fleet.publish(value);
  for (const std::size_t at : menu_daemons) {
    fixture.fleet.upstream(at).work = 100ms;
  }
  fixture.fleet.run_for(2s);
  std::vector<std::uint64_t> of_large;
  std::vector<std::uint64_t> of_small;
  const auto send = [&](std::vector<std::uint64_t>& tokens, std::size_t at,
                        const std::string& key) {
    tokens.push_back(fixture.fleet.call(at, "shop.example", "/menu/1", true, 1000ms, key));
  };
  for (std::size_t step = 0; step < 600; ++step) {
    for (std::size_t i = 0; i < 8; ++i) {
      send(of_large, i, "key-large");
    }
    if (step % 5 < 4) {
      send(of_small, step % 8, "key-" + std::to_string(step % 10));
    }
    fixture.fleet.run_for(10ms);
  }
  fixture.fleet.run_for(2s);
  const auto served = [&](const std::vector<std::uint64_t>& tokens) {
    return static_cast<std::size_t>(
        std::count_if(tokens.begin(), tokens.end(), [&](std::uint64_t token) {
          return fixture.fleet.answers[token].status == status_ok;
        }));
  };
  cr_assert(served(of_small) * 20 >= of_small.size() * 19, "%zu of %zu", served(of_small),
            of_small.size());
  const std::size_t all = served(of_small) + served(of_large);
  cr_assert(all >= 6 * 320 * 8 / 10, "%zu served in 6 s", all);
}
