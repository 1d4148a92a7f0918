#include "arbutuslb/core/base/hash.h"
#include "arbutuslb/core/routing/admission.h"
#include "arbutuslb/core/routing/endpoint_directory.h"
#include "arbutuslb/core/routing/retry_budget.h"

#include <criterion/criterion.h>

namespace {

using namespace arbutuslb::core;
using namespace arbutuslb::core::routing;
using namespace std::chrono_literals;
using config::request_class;

const time_point now{std::chrono::hours{24}};
const choice_request menu_request{"menu", "v1", request_class::normal, {}};

membership::member_table table_of(int endpoints) {
  membership::member_table table;
  for (int i = 0; i < endpoints; ++i) {
    membership::member each;
    each.name = "e" + std::to_string(i);
    each.id = member_id_of(each.name);
    each.domain = "d1";
    each.service = "menu";
    each.version = "v1";
    table.merge(each, now);
  }
  return table;
}

} // namespace

Test(endpoint_directory, silent_endpoints_are_left_out_even_when_they_are_most) {
  const membership::member_table table = table_of(10);
  const config::configuration configuration;
  random_source random(1);
  endpoint_directory directory(member_id_of("caller"), "d1");
  const std::vector<member_id> ids = table.members_serving("menu");
  for (std::size_t i = 0; i < 7; ++i) {
    directory.stats_of(ids[i], {}).on_no_answer(now);
  }
  for (int i = 0; i < 200; ++i) {
    const member_id chosen =
        directory.choose(menu_request, table, configuration, now, random).value();
    cr_assert_not(directory.stats_of(chosen, {}).is_silent(now));
  }
}

Test(endpoint_directory, errors_of_more_than_half_are_ignored) {
  const membership::member_table table = table_of(10);
  const config::configuration configuration;
  random_source random(1);
  endpoint_directory directory(member_id_of("caller"), "d1");
  for (const member_id id : table.members_serving("menu")) {
    for (int i = 0; i < 5; ++i) {
      directory.stats_of(id, {}).on_failed(now);
    }
  }
  cr_assert(directory.choose(menu_request, table, configuration, now, random).has_value());
}

Test(endpoint_directory, a_new_process_of_an_endpoint_starts_as_unknown) {
  endpoint_directory directory(member_id_of("caller"), "d1");
  directory.stats_of({1}, {1}).on_no_answer(now);
  cr_assert(directory.stats_of({1}, {1}).is_silent(now));
  cr_assert_not(directory.stats_of({1}, {2}).is_silent(now));
}

Test(adaptive_limit, grows_with_good_answers_in_use_and_not_when_idle) {
  adaptive_limit limit(10);
  for (int i = 0; i < 300; ++i) {
    limit.on_answer(1, 10ms, answer_kind::good, 0);
  }
  cr_assert_eq(limit.whole(), 2);
  for (int i = 0; i < 300; ++i) {
    limit.on_answer(1, 10ms, answer_kind::good, limit.whole());
  }
  cr_assert_eq(limit.whole(), 10);
}

Test(adaptive_limit, latency_far_from_the_warm_one_makes_it_cold) {
  adaptive_limit limit(10);
  for (int i = 0; i < 300; ++i) {
    limit.on_answer(1, 10ms, answer_kind::good, limit.whole());
  }
  for (int i = 0; i < 8; ++i) {
    limit.on_answer(1, 60ms, answer_kind::good, limit.whole());
  }
  cr_assert_leq(limit.whole(), 2);
}

Test(admission, expired_requests_are_dropped_before_they_run) {
  admission<fixed_limit> gate(1);
  gate.submit({1, request_class::normal, now + 1s}, now);
  cr_assert_eq(gate.submit({2, request_class::normal, now + 10ms}, now).verdict,
               admission_verdict::queued);
  gate.release();
  cr_assert_not(gate.next(now + 20ms).has_value());
  cr_assert_eq(gate.take_expired(now + 20ms).size(), 1U);
}

Test(admission, a_full_queue_sheds_the_lowest_class) {
  admission<fixed_limit> gate(1);
  gate.submit({1, request_class::normal, now + 1s}, now);
  gate.submit({2, request_class::deferrable, now + 1s}, now);
  const admission<fixed_limit>::submit_result critical =
      gate.submit({3, request_class::critical, now + 1s}, now);
  cr_assert_eq(critical.verdict, admission_verdict::queued);
  cr_assert_eq(critical.shed->token, 2U);
  cr_assert_eq(gate.submit({4, request_class::deferrable, now + 1s}, now).verdict,
               admission_verdict::refused);
}

Test(retry_budget, retries_are_a_fraction_of_calls) {
  retry_budget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.on_call(0.1);
    retries += budget.take() ? 1 : 0;
  }
  cr_assert_leq(retries, 110);
}
