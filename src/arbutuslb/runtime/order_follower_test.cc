// Tests of the follower of the operators' log against the stand-in store on loopback.

#include "arbutuslb/platform/orders.h"
#include "arbutuslb/runtime/order_follower.h"
#include "arbutuslb/runtime/store_test_support.h"

#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
namespace platform = arbutuslb::platform;
namespace runtime = arbutuslb::runtime;

constexpr std::chrono::milliseconds poll_wait{1200};

// A follower of the operators' log, and what it has delivered.
struct follower_fixture : runtime::store_fixture {
  follower_fixture()
      : follower(
            loop, client, 1,
            [this](const platform::read_result& read, bool) {
              for (const platform::store_record& item : read.records) {
                values[item.key] = item.value;
              }
            },
            [this](bool is_reachable, const std::string&) { is_lost = !is_reachable; }) {}

  void append(const std::string& key, const std::string& value) {
    bool is_done = false;
    client.append(platform::operator_topic, key, value, std::nullopt,
                  [&](const platform::append_result&) { is_done = true; });
    run_until([&] { return is_done; });
  }
  bool has(const std::string& key, const std::string& value) const {
    const auto found = values.find(key);
    return found != values.end() && found->second == value;
  }

  std::map<std::string, std::string> values; // delivered, by key
  bool is_lost = false;                      // the store was last reported as unreachable
  runtime::order_follower follower;
};

} // namespace

Test(order_follower, a_log_that_is_shorter_after_a_restore_is_followed_without_extra_calls) {
  follower_fixture fixture;
  for (const char* value : {"1", "2", "3", "4"}) {
    fixture.append("config", value);
  }
  fixture.follower.set_following(true, poll_wait);
  cr_assert(fixture.run_until([&] { return fixture.has("config", "4"); }));
  fixture.store.restore(1h);
  fixture.append("config", "5");
  cr_assert(fixture.run_until([&] { return fixture.has("config", "5"); }));
  const std::uint64_t before = fixture.store.calls();
  for (int i = 0; i < 20; ++i) {
    fixture.loop.run_for(20ms);
    fixture.loop.restart();
  }
  fixture.append("config", "6");
  cr_assert(fixture.run_until([&] { return fixture.has("config", "6"); }));
  constexpr std::uint64_t max_calls = 5; // the append, and the reads before and after it
  cr_assert(fixture.store.calls() - before <= max_calls, "%lu calls",
            fixture.store.calls() - before);
}

Test(order_follower, a_log_that_has_grown_past_the_position_in_a_new_era_is_read_from_its_newest) {
  follower_fixture fixture;
  fixture.append("config", "1");
  fixture.append("config", "2");
  fixture.follower.set_following(true, poll_wait);
  cr_assert(fixture.run_until([&] { return fixture.has("config", "2"); }));
  fixture.store.restore(1h);
  for (const char* key : {"first", "second", "third"}) {
    fixture.append(key, "again");
  }
  cr_assert(fixture.run_until([&] { return fixture.has("first", "again"); }));
  cr_assert(fixture.has("second", "again") && fixture.has("third", "again"));
}

Test(order_follower, a_log_that_ends_at_the_same_offset_in_a_new_era_is_read_after_the_return) {
  follower_fixture fixture;
  for (const char* value : {"1", "2", "3"}) {
    fixture.append("config", value);
  }
  fixture.follower.set_following(true, poll_wait);
  cr_assert(fixture.run_until([&] { return fixture.has("config", "3"); }));
  fixture.store.restore(1h);
  for (const char* value : {"4", "5", "6"}) {
    fixture.append("config", value);
  }
  cr_assert(fixture.run_until([&] { return fixture.has("config", "6"); }));
}

// The core is stable again 3 s after a disturbance of the store, and a change is due 2 s later.
Test(order_follower, a_poll_that_the_store_never_answers_is_given_up_before_a_change_is_due) {
  constexpr int max_turns = 500;
  follower_fixture fixture;
  fixture.append("config", "1");
  fixture.follower.set_following(true, poll_wait);
  cr_assert(fixture.run_until([&] { return fixture.has("config", "1"); }));
  fixture.store.faults().is_silent = true;
  fixture.follower.restart();
  const std::uint64_t calls = fixture.store.calls();
  cr_assert(fixture.run_until([&] { return fixture.store.calls() > calls; }));
  fixture.store.faults().is_silent = false;
  fixture.append("config", "2");
  cr_assert(fixture.run_until([&] { return fixture.has("config", "2"); }, max_turns));
}

// Every reader may poll for the first time while the store is silent, and a change is due 3 s after
// the store has returned, of which the fetches of the other daemons take one.
Test(order_follower, a_first_poll_into_a_silence_does_not_outlast_it) {
  constexpr int max_turns = 200;
  follower_fixture fixture;
  fixture.append("config", "1");
  fixture.follower.start();
  cr_assert(fixture.run_until([&] { return fixture.has("config", "1"); }));
  fixture.store.faults().is_silent = true;
  const std::uint64_t calls = fixture.store.calls();
  fixture.follower.set_following(true, poll_wait);
  cr_assert(fixture.run_until([&] { return fixture.store.calls() > calls; }));
  fixture.store.faults().is_silent = false;
  fixture.append("config", "2");
  cr_assert(fixture.run_until([&] { return fixture.has("config", "2"); }, max_turns));
}

Test(order_follower, a_retry_into_a_silence_does_not_outlast_it) {
  constexpr int max_turns = 200;
  follower_fixture fixture;
  fixture.append("config", "1");
  fixture.follower.set_following(true, poll_wait);
  cr_assert(fixture.run_until([&] { return fixture.has("config", "1"); }));
  fixture.store.faults().is_silent = true;
  fixture.follower.restart();
  cr_assert(fixture.run_until([&] { return fixture.is_lost; }, 3 * max_turns));
  const std::uint64_t calls = fixture.store.calls();
  cr_assert(fixture.run_until([&] { return fixture.store.calls() > calls; }));
  fixture.store.faults().is_silent = false;
  fixture.append("config", "2");
  cr_assert(fixture.run_until([&] { return fixture.has("config", "2"); }, max_turns));
}

// As many reads as may be pending at once have been sent into the silence when it ends.
Test(order_follower, reads_that_are_all_pending_at_the_end_of_a_silence_do_not_delay_the_next_one) {
  constexpr int max_turns = 120;
  constexpr std::uint64_t pending = 3;
  follower_fixture fixture;
  fixture.append("config", "1");
  fixture.follower.start();
  cr_assert(fixture.run_until([&] { return fixture.has("config", "1"); }));
  fixture.store.faults().is_silent = true;
  const std::uint64_t calls = fixture.store.calls();
  fixture.follower.set_following(true, poll_wait);
  cr_assert(fixture.run_until([&] { return fixture.store.calls() >= calls + pending; }));
  fixture.store.faults().is_silent = false;
  fixture.append("config", "2");
  cr_assert(fixture.run_until([&] { return fixture.has("config", "2"); }, max_turns));
}

// Guards against a change that is late although the store answers again (CONFIG): reads beside an
// unanswered one went out on connections that had been opened before, and had gone silent with it.
Test(order_follower, a_read_beside_an_unanswered_one_uses_a_new_connection) {
  constexpr int max_turns = 250;
  follower_fixture fixture;
  for (const char* key : {"one", "two", "three"}) { // each leaves an idle connection
    fixture.client.append(platform::operator_topic, key, "1", std::nullopt,
                          [](const platform::append_result&) {});
  }
  fixture.follower.set_following(true, poll_wait);
  cr_assert(fixture.run_until([&] { return fixture.values.size() == 3; }));
  fixture.store.faults().is_silent = true;
  fixture.follower.restart();
  const std::uint64_t calls = fixture.store.calls();
  const std::uint64_t opened = fixture.connections.connections_opened();
  cr_assert(fixture.run_until([&] { return fixture.store.calls() >= calls + 2; }, max_turns));
  cr_assert_gt(fixture.connections.connections_opened(), opened);
}

// Guards against a change that is late although the store answers again (CONFIG): the newest
// records were asked for in the last moments of a silence.
Test(order_follower, newest_records_asked_for_at_the_end_of_a_silence_are_asked_for_again) {
  constexpr int max_turns = 100;
  follower_fixture fixture;
  fixture.append("config", "1");
  fixture.store.faults().is_silent = true;
  const std::uint64_t calls = fixture.store.calls();
  fixture.follower.start();
  cr_assert(fixture.run_until([&] { return fixture.store.calls() > calls; }));
  fixture.store.faults().is_silent = false;
  cr_assert(fixture.run_until([&] { return fixture.has("config", "1"); }, max_turns));
}
