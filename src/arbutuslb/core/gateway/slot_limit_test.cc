// Tests of the limit that is learnt from the silence of an upstream.

#include "arbutuslb/core/gateway/slot_limit.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using arbutuslb::core::time_point;
using arbutuslb::core::gateway::slot_limit;

const time_point start{1000s};
constexpr int stated_slots = 8;

// Offers the upstream as many concurrent requests as the limit allows, each second. It answers
// those up to its room after 100 ms; the others are given up after a second.
void offer(slot_limit& limit, int room, int seconds, time_point& now) {
  for (int second = 0; second < seconds; ++second) {
    const int offered = limit.value();
    for (int i = 0; i < std::min(offered, room); ++i) {
      limit.on_answer(now, now + 100ms);
    }
    limit.on_answer(now + 500ms, now + 600ms);
    for (int i = room; i < offered; ++i) {
      limit.on_silence(now, now + 1s);
    }
    now += 1s;
  }
}

} // namespace

Test(slot_limit, the_limit_comes_down_to_the_room_of_a_silent_upstream) {
  slot_limit limit;
  limit.set_stated(stated_slots);
  time_point now = start;
  offer(limit, 5, 1, now);
  cr_assert_eq(limit.value(), 5);
}

Test(slot_limit, the_limit_rises_again_when_there_is_room) {
  slot_limit limit;
  limit.set_stated(stated_slots);
  time_point now = start;
  offer(limit, 2, 1, now);
  cr_assert_eq(limit.value(), 2);
  offer(limit, stated_slots, 120, now);
  cr_assert_eq(limit.value(), stated_slots);
}

// Each attempt to raise the limit may cost a request.
Test(slot_limit, attempts_to_raise_the_limit_become_rare) {
  slot_limit limit;
  limit.set_stated(stated_slots);
  time_point now = start;
  int silent = 0;
  for (int second = 0; second < 120; ++second) {
    silent += std::max(0, limit.value() - 5);
    offer(limit, 5, 1, now);
  }
  cr_assert(silent <= 12, "%d", silent);
}

Test(slot_limit, answers_lost_at_random_do_not_lower_the_limit) {
  slot_limit limit;
  limit.set_stated(stated_slots);
  time_point now = start;
  for (int i = 0; i < 100; ++i) {
    for (int slot = 0; slot < stated_slots; ++slot) {
      limit.on_answer(now, now + 100ms);
    }
    for (int lost = 0; lost < i % 3; ++lost) {
      limit.on_silence(now, now + 1s);
    }
    now += 1s;
  }
  cr_assert_eq(limit.value(), stated_slots);
}

// Nothing that started later was answered: the upstream may be slow, or the link may be cut.
Test(slot_limit, the_silence_of_a_whole_upstream_does_not_lower_the_limit) {
  slot_limit limit;
  limit.set_stated(stated_slots);
  limit.on_answer(start, start + 100ms);
  for (int i = 1; i < 20; ++i) {
    limit.on_silence(start + i * 1s, start + i * 1s + 1s);
  }
  cr_assert_eq(limit.value(), stated_slots);
}

Test(slot_limit, an_upstream_with_one_slot_keeps_it) {
  slot_limit limit;
  limit.set_stated(1);
  limit.on_answer(start + 1s, start + 2s);
  limit.on_silence(start, start + 2s);
  cr_assert_eq(limit.value(), 1);
}

Test(slot_limit, another_number_of_slots_or_another_upstream_discards_what_was_learnt) {
  slot_limit limit;
  limit.set_stated(stated_slots);
  time_point now = start;
  offer(limit, 5, 1, now);
  limit.set_stated(stated_slots);
  cr_assert_eq(limit.value(), 5);
  limit.reset();
  cr_assert_eq(limit.value(), stated_slots);
  limit.set_stated(3);
  cr_assert_eq(limit.value(), 3);
}
