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
const selection_request menu_request{"menu", "v1", request_class::normal, {}};

membership::member_table table_with(int endpoints) {
  membership::member_table table;
  for (int i = 0; i < endpoints; ++i) {
    membership::member endpoint;
    endpoint.name = "e" + std::to_string(i);
    endpoint.id = member_id_of(endpoint.name);
    endpoint.domain = "d1";
    endpoint.service = "menu";
    endpoint.version = "v1";
    table.merge(endpoint, now);
  }
  return table;
}

} // namespace

Test(endpoint_directory, unresponsive_endpoints_are_skipped_even_when_they_are_the_majority) {
  const membership::member_table table = table_with(10);
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
    cr_assert_not(directory.stats_of(chosen, {}).is_unresponsive(now));
  }
}

Test(endpoint_directory, ejection_is_ignored_when_more_than_half_are_ejected) {
  const membership::member_table table = table_with(10);
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

Test(endpoint_directory, a_restarted_endpoint_starts_with_empty_statistics) {
  endpoint_directory directory(member_id_of("caller"), "d1");
  directory.stats_of({1}, {1}).on_no_answer(now);
  cr_assert(directory.stats_of({1}, {1}).is_unresponsive(now));
  cr_assert_not(directory.stats_of({1}, {2}).is_unresponsive(now));
}

Test(adaptive_limit, grows_with_good_answers_only_while_in_use) {
  adaptive_limit limit(10);
  for (int i = 0; i < 300; ++i) {
    limit.on_answer(1, 10ms, answer_kind::good, 0);
  }
  cr_assert_eq(limit.max_in_flight(), 2);
  for (int i = 0; i < 300; ++i) {
    limit.on_answer(1, 10ms, answer_kind::good, limit.max_in_flight());
  }
  cr_assert_eq(limit.max_in_flight(), 10);
}

Test(adaptive_limit, latency_far_above_the_warm_latency_resets_the_limit) {
  adaptive_limit limit(10);
  for (int i = 0; i < 300; ++i) {
    limit.on_answer(1, 10ms, answer_kind::good, limit.max_in_flight());
  }
  for (int i = 0; i < 8; ++i) {
    limit.on_answer(1, 60ms, answer_kind::good, limit.max_in_flight());
  }
  cr_assert_leq(limit.max_in_flight(), 2);
}

Test(admission, expired_requests_are_dropped_before_execution) {
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
