#include "arbutuslb/core/gateway/stated_rate_limit.h"

#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using arbutuslb::core::time_point;
using arbutuslb::core::gateway::stated_rate_limit;

const time_point start{1000s};

} // namespace

Test(stated_rate_limit, holds_until_an_answer_to_a_later_request_states_none) {
  stated_rate_limit limit;
  cr_assert_not(limit.value().has_value());
  limit.on_answer(20.0, start, start + 100ms);
  cr_assert(limit.value() == 20.0);
  limit.on_answer(std::nullopt, start + 50ms, start + 200ms); // started before the limit was stated
  cr_assert(limit.value() == 20.0);
  limit.on_answer(0.0, start + 60ms, start + 210ms);
  cr_assert(limit.value() == 0.0);
  limit.on_answer(std::nullopt, start + 300ms, start + 400ms);
  cr_assert_not(limit.value().has_value());
}

Test(stated_rate_limit, a_hint_of_another_daemon_counts_until_the_first_answer) {
  stated_rate_limit limit;
  limit.on_peer_hint(20.0);
  cr_assert(limit.value() == 20.0);
  limit.on_answer(std::nullopt, start, start + 100ms);
  limit.on_peer_hint(20.0);
  cr_assert_not(limit.value().has_value());
  limit.reset();
  limit.on_peer_hint(5.0);
  cr_assert(limit.value() == 5.0);
}
