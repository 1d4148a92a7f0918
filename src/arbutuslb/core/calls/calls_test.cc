#include "arbutuslb/core/calls/duplicate_filter.h"
#include "arbutuslb/core/calls/key_table.h"
#include "arbutuslb/core/calls/minted_key.h"
#include "arbutuslb/core/calls/poison_registry.h"

#include <criterion/criterion.h>

namespace {

using namespace arbutuslb::core;
using namespace arbutuslb::core::calls;
using protocol::call_outcome;

const time_point now{std::chrono::hours{24}};

} // namespace

Test(minted_key, text_round_trips_and_altered_text_is_rejected) {
  const minted_key key{{0xabcdef}, {77}, 5};
  const std::string text = to_string(key);
  cr_assert(parse_minted_key(text) == key);
  std::string altered = text;
  altered[5] = altered[5] == '1' ? '2' : '1';
  for (const std::string& invalid :
       {altered, std::string("order-17"), std::string(""), text + "0", text.substr(0, 10)}) {
    cr_assert_not(parse_minted_key(invalid).has_value(), "%s", invalid.c_str());
  }
}

Test(key_table, a_key_starts_once_and_repeats_get_its_outcome) {
  key_table table;
  const std::uint64_t key = table.mint();
  cr_assert_eq(table.begin(key, 1, now), key_state::fresh);
  cr_assert_eq(table.begin(key, 2, now), key_state::running);
  cr_assert_eq(table.take_waiters(key).size(), 2U);
  table.finish(key, {call_outcome::answered, "", {200, "", "done"}});
  cr_assert_eq(table.begin(key, 3, now), key_state::finished);
  cr_assert_eq(table.result_of(key).answer.body, "done");
}

Test(key_table, only_a_key_that_was_not_executed_starts_again) {
  key_table table;
  const std::uint64_t key = table.mint();
  table.begin(key, 1, now);
  table.finish(key, {call_outcome::not_executed, "", {}});
  cr_assert_eq(table.begin(key, 1, now), key_state::fresh);
  table.finish(key, {call_outcome::unknown, "", {}});
  cr_assert_eq(table.begin(key, 1, now), key_state::finished);
}

Test(key_table, a_late_answer_replaces_unknown_but_never_an_answer) {
  key_table table;
  const std::uint64_t key = table.mint();
  table.begin(key, 1, now);
  table.finish(key, {call_outcome::unknown, "", {}});
  table.finish(key, {call_outcome::answered, "", {200, "", "late"}});
  table.finish(key, {call_outcome::not_executed, "", {}});
  cr_assert_eq(table.result_of(key).outcome, call_outcome::answered);
}

Test(key_table, evicted_and_not_minted_keys_never_start) {
  key_table table;
  const std::uint64_t key = table.mint();
  table.begin(key, 1, now);
  table.finish(key, {call_outcome::answered, "", {}});
  table.evict(now + key_retention + std::chrono::seconds{1});
  cr_assert_eq(table.begin(key, 1, now), key_state::evicted);
  cr_assert_eq(table.begin(key + 1, 1, now), key_state::not_minted);
}

Test(key_table, retained_keys_are_bounded) {
  key_table table;
  for (std::size_t i = 0; i < max_retained_keys + 100; ++i) {
    const std::uint64_t key = table.mint();
    table.begin(key, 1, now);
    table.finish(key, {call_outcome::answered, "", {}});
    table.evict(now);
  }
  cr_assert_leq(table.size(), max_retained_keys);
}

Test(duplicate_filter, repeats_and_numbers_below_the_window_are_dropped) {
  duplicate_filter filter;
  cr_assert(filter.admit({{1}, {1}, 10}));
  cr_assert_not(filter.admit({{1}, {1}, 10}));
  for (std::uint64_t i = 11; i < 200; ++i) {
    cr_assert(filter.admit({{1}, {1}, i}));
  }
  cr_assert_not(filter.admit({{1}, {1}, 5}));
  cr_assert(filter.admit({{1}, {2}, 5}));
  cr_assert_not(filter.admit({{1}, {1}, 500}),
                "a request of an earlier process epoch of the caller");
}

Test(poison_registry, second_death_refuses_only_the_request_common_to_both) {
  poison_registry registry;
  registry.on_death({{1}, {2}, {3}}, 0, now);
  cr_assert_not(registry.is_refused(1, now));
  registry.clear(2, now);
  registry.clear(3, now);
  cr_assert_eq(registry.on_death({registry.find(1, now), {4}, {5}}, 0, now).size(), 1U);
  cr_assert(registry.is_refused(1, now));
  cr_assert_not(registry.is_suspect(4, now));
  cr_assert_not(registry.is_refused(1, now + poison_policy{}.base_refusal_time));
}

Test(poison_registry, deaths_at_the_same_time_are_no_chain) {
  poison_registry registry({.deaths_before_isolation = 2, .deaths_before_refusal = 3});
  for (int i = 0; i < 5; ++i) {
    registry.on_death({{1}, {2}}, 0, now); // begun before any of these deaths was known
  }
  cr_assert_eq(registry.deaths_of(1), 1);
}

Test(poison_registry, upstreams_that_die_at_the_same_time_count_as_one_death_more) {
  poison_registry registry({.deaths_before_isolation = 2, .deaths_before_refusal = 3});
  registry.on_death({{1}}, 7, now);
  registry.on_death({{1}}, 7, now);
  cr_assert_eq(registry.deaths_of(1), 1);
  const suspicion after_first = registry.find(1, now);
  for (std::uint64_t upstream = 8; upstream < 12; ++upstream) {
    registry.on_death({{1}}, upstream, now);
    cr_assert_eq(registry.deaths_of(1), 2);
  }
  registry.on_death({after_first}, 20, now);
  cr_assert(registry.is_refused(1, now));
}

Test(poison_registry, a_death_during_a_cleared_execution_begins_a_new_chain) {
  poison_registry registry({.deaths_before_isolation = 2, .deaths_before_refusal = 3});
  registry.on_death({{1}}, 0, now);
  const suspicion at_start = registry.find(1, now);
  registry.clear(1, now);
  registry.on_death({at_start}, 0, now);
  cr_assert_eq(registry.deaths_of(1), 1);
}

Test(poison_registry, suspicions_merge_alike_in_any_order) {
  const std::vector<suspicion> reported{
      {1, 0, 1, now}, {1, 0, 2, now}, {1, 1, 0, now}, {1, 1, 1, now}};
  std::vector<std::size_t> order{0, 1, 2, 3};
  do {
    poison_registry registry;
    for (const std::size_t index : order) {
      registry.merge(reported[index], now);
    }
    cr_assert(registry.find(1, now) == reported[3]);
  } while (std::next_permutation(order.begin(), order.end()));
}

Test(poison_registry, suspicions_with_upstreams_merge_alike_in_any_order) {
  const std::vector<suspicion> reported{
      {1, 0, 3, now, {4, 5, 6}}, {1, 1, 1, now, {9}}, {1, 1, 2, now, {7}}, {1, 1, 1, now, {3, 8}}};
  const suspicion joined{1, 1, 2, now, {3, 7, 8}};
  std::vector<std::size_t> order{0, 1, 2, 3};
  do {
    poison_registry registry;
    for (const std::size_t index : order) {
      registry.merge(reported[index], now);
      registry.merge(reported[order.front()], now); // repeated
    }
    cr_assert(registry.find(1, now) == joined);
  } while (std::next_permutation(order.begin(), order.end()));
}

Test(poison_registry, many_suspects_displace_those_with_the_fewest_deaths) {
  poison_registry registry({.max_suspects = 10});
  registry.merge({1, 0, 2, now}, now);
  for (std::uint64_t fingerprint = 2; fingerprint < 100; ++fingerprint) {
    registry.merge({fingerprint, 0, 1, now + std::chrono::seconds{fingerprint}}, now);
  }
  cr_assert_eq(registry.entries().size(), 10U);
  cr_assert_eq(registry.deaths_of(1), 2);
  cr_assert_eq(registry.dropped(), 89);
}
