// Tests of the duty to report usage: every interleaving of two daemons that both believe to be
// responsible, with a store and a platform that lose answers, and the steps of a hand-over.

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/core/duties/usage_duty.h"

#include <criterion/criterion.h>
#include <map>
#include <set>
#include <utility>

namespace {

using namespace std::chrono_literals;
using namespace arbutuslb::core;
using namespace arbutuslb::core::duties;

constexpr time_point first_time{1000s};
constexpr std::chrono::seconds call_timeout{2};
constexpr std::chrono::seconds time_step{2};

usage_settings test_settings() {
  usage_settings settings;
  settings.is_enabled = true;
  settings.window = 2s;
  settings.due = 4s;
  return settings;
}

// What the platform has received so far, as far as it decides what it may receive next.
struct platform_model {
  std::uint64_t highest_token = 0;
  std::optional<std::size_t> last_author;
  std::map<window_number, usage_counts> windows;
  std::map<std::size_t, time_point> last_arrivals; // by author
  friend auto operator<=>(const platform_model&, const platform_model&) = default;

  void receive(std::size_t author, const usage_record& report, time_point now) {
    const auto [window, is_new] = windows.emplace(report.window, report.counts);
    cr_assert(window->second == report.counts, "two reports of one window differ");
    cr_assert(report.fencing_token >= highest_token, "a lower token after a higher one");
    cr_assert(report.fencing_token > highest_token || last_author == author,
              "two authors with one token");
    const auto earlier = last_arrivals.find(author);
    const bool has_changed = last_author.has_value() && last_author != author;
    cr_assert(!has_changed || earlier == last_arrivals.end() ||
                  now - earlier->second > test_settings().lease,
              "authors change to and fro within the lease");
    highest_token = report.fencing_token;
    last_author = author;
    last_arrivals[author] = now;
  }
};

// A daemon, and the call that it waits for.
struct daemon_model {
  usage_duty duty;
  std::optional<usage_action> call;
  time_point sent{};
  bool is_executed = false; // the call has reached the store or the platform
  usage_log_state read;     // what an executed read has found
  append_outcome appended = append_outcome::unknown;
  friend auto operator<=>(const daemon_model&, const daemon_model&) = default;
};

// Two daemons, the store and the platform. Both daemons believe to be responsible and disagree on
// the counts. The clock advances in steps of a second.
struct world {
  time_point now{};
  std::vector<daemon_model> daemons;
  std::uint64_t log_end = 0;
  std::optional<usage_record> last_record;
  platform_model platform;
  std::vector<append_usage_record> late_appends; // lost on their way, may arrive later
  time_point ends_at = first_time + 8s;
  int losses_left = 1; // answers and calls that may still be lost
  friend auto operator<=>(const world&, const world&) = default;
};

world new_world() {
  world value;
  value.now = first_time;
  for (std::size_t i = 0; i < 2; ++i) {
    value.daemons.push_back({usage_duty(test_settings(), "daemon-" + std::to_string(i), i + 1),
                             std::nullopt,
                             first_time,
                             false,
                             {},
                             append_outcome::unknown});
  }
  return value;
}

void append_to_log(world& value, const usage_record& record) {
  value.last_record = record;
  ++value.log_end;
  std::erase_if(value.late_appends, [&](const append_usage_record& item) {
    return item.expected_end < value.log_end; // its condition no longer holds
  });
}

void execute(world& value, daemon_model& caller, std::size_t index) {
  caller.is_executed = true;
  if (std::holds_alternative<read_usage_log>(*caller.call)) {
    caller.read = {1, value.log_end, value.last_record};
  } else if (const auto* append = std::get_if<append_usage_record>(&*caller.call)) {
    const bool is_at_end = append->expected_end == value.log_end;
    caller.appended = is_at_end ? append_outcome::appended : append_outcome::conflict;
    if (is_at_end) {
      append_to_log(value, append->record);
    }
  } else {
    value.platform.receive(index, std::get<post_usage>(*caller.call).record, value.now);
  }
}

// Completes the call. `is_answered` is false if the answer, or the call itself, was lost.
void complete(world& value, daemon_model& caller, bool is_answered) {
  const usage_action call = *std::exchange(caller.call, std::nullopt);
  if (std::holds_alternative<read_usage_log>(call)) {
    caller.duty.on_log_read(is_answered ? std::optional(caller.read) : std::nullopt, value.now,
                            value.now);
  } else if (std::holds_alternative<append_usage_record>(call)) {
    caller.duty.on_appended(is_answered ? caller.appended : append_outcome::unknown, 1, value.now);
  } else {
    caller.duty.on_posted(is_answered ? post_outcome::accepted : post_outcome::unknown, value.now);
  }
  caller.is_executed = false;
}

void tick(world& value, std::size_t index) {
  daemon_model& ticked = value.daemons[index];
  const usage_duty::count_source counts = [index](window_number window, bool) {
    return usage_counts{{"acme", static_cast<std::uint64_t>(window) * 10 + index}};
  };
  ticked.call = ticked.duty.on_tick(value.now, value.now, true, counts);
  ticked.sent = value.now;
  ticked.is_executed = false;
}

// Adds the worlds that one step can lead to.
void add_successors(const world& from, std::vector<world>& next) {
  for (std::size_t i = 0; i < from.daemons.size(); ++i) {
    const daemon_model& acting = from.daemons[i];
    if (!acting.call) {
      world value = from;
      tick(value, i);
      if (value.daemons[i].call) {
        next.push_back(value);
      }
      continue;
    }
    if (!acting.is_executed) {
      // A report that is not delivered in time is lost with its connection.
      const auto* post = std::get_if<post_usage>(&*acting.call);
      if (post == nullptr || from.now <= acting.sent + post->timeout) {
        world value = from;
        execute(value, value.daemons[i], i);
        if (post == nullptr && std::holds_alternative<read_usage_log>(*acting.call)) {
          complete(value, value.daemons[i], true); // a late one is as good as an earlier one
        }
        next.push_back(value);
      }
      if (from.losses_left > 0) {
        world value = from;
        --value.losses_left;
        const auto* append = std::get_if<append_usage_record>(&*acting.call);
        if (append != nullptr && append->expected_end == value.log_end) {
          value.late_appends.push_back(*append);
        }
        complete(value, value.daemons[i], false);
        next.push_back(value);
      }
    } else {
      world value = from;
      complete(value, value.daemons[i], true);
      next.push_back(value);
      if (from.losses_left > 0) {
        world lost = from;
        --lost.losses_left;
        complete(lost, lost.daemons[i], false);
        next.push_back(lost);
      }
    }
  }
  for (const append_usage_record& append : from.late_appends) {
    if (append.expected_end == from.log_end) {
      world value = from;
      append_to_log(value, append.record);
      next.push_back(value);
    }
  }
  // Time passes; for a daemon that does nothing meanwhile it is a suspension.
  const bool has_post_under_way =
      std::any_of(from.daemons.begin(), from.daemons.end(), [](const daemon_model& item) {
        return item.call && std::holds_alternative<post_usage>(*item.call) && !item.is_executed;
      });
  const bool has_overdue_call =
      std::any_of(from.daemons.begin(), from.daemons.end(), [&](const daemon_model& item) {
        return item.call && from.now - item.sent >= call_timeout;
      });
  if (!has_post_under_way && !has_overdue_call && from.now < from.ends_at) {
    world value = from;
    value.now += time_step;
    next.push_back(value);
  }
}

} // namespace

// Guards against two reports of a window with different counts, against tokens that fall, and
// against authors that change to and fro within the lease.
Test(usage_duty, no_interleaving_of_two_authors_breaks_a_promise) {
  std::set<world> known;
  std::vector<world> open{new_world()};
  std::size_t with_changes = 0; // of the author
  while (!open.empty()) {
    world current = std::move(open.back());
    open.pop_back();
    with_changes += current.platform.last_arrivals.size() > 1 ? 1 : 0;
    std::vector<world> next;
    add_successors(current, next);
    known.insert(std::move(current));
    for (world& value : next) {
      if (!known.contains(value)) {
        open.push_back(std::move(value));
      }
    }
  }
  cr_assert(known.size() > 100'000, "%zu states", known.size());
  cr_assert(with_changes > 1'000, "%zu states after a change of the author", with_changes);
}

// The same over a longer time and with more losses, along random paths.
Test(usage_duty, no_random_history_of_two_authors_breaks_a_promise) {
  random_source random(1);
  std::size_t with_changes = 0;
  for (int walk = 0; walk < 2'000; ++walk) {
    world current = new_world();
    current.ends_at = first_time + 60s;
    current.losses_left = 12;
    std::vector<world> next;
    std::size_t suspended = 2;
    for (add_successors(current, next); !next.empty(); add_successors(current, next)) {
      if (random.fraction() < 0.1) {
        suspended = random.below(4); // mostly one of the two
      }
      std::vector<world> possible;
      std::copy_if(next.begin(), next.end(), std::back_inserter(possible), [&](const world& item) {
        return suspended > 1 || item.daemons[suspended] == current.daemons[suspended];
      });
      current = possible.empty() ? next[random.below(next.size())]
                                 : possible[random.below(possible.size())];
      next.clear();
    }
    with_changes += current.platform.last_arrivals.size() > 1 ? 1 : 0;
  }
  cr_assert(with_changes > 100, "%zu walks with a change of the author", with_changes);
}
