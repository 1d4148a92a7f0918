#include "arbutuslb/core/duties/usage_duty.h"

#include <algorithm>

namespace arbutuslb::core::duties {
namespace {

// A call to the store or to the platform that failed is repeated after this time.
constexpr std::chrono::milliseconds retry_delay{300};
constexpr std::chrono::milliseconds post_timeout{800};
// Added to the lease that another daemon waits for. Allows for the different speed of two clocks,
// and for the time between the decision to report and the first byte.
constexpr std::chrono::milliseconds lease_margin{200};
// Fraction of `due` until which the counts of a window may still arrive, and after which a
// candidate assumes that the author of the last record does not report the window.
constexpr double last_chance_fraction = 0.35;
constexpr double overdue_fraction = 0.45;
// An unreported window is given up this long after it was due.
constexpr std::chrono::seconds max_delay{5};
// Eras are counted from 1. The token has the era in its upper half.
constexpr int era_shift = 32;

duration fraction_of(duration value, double fraction) {
  return duration{static_cast<duration::rep>(fraction * static_cast<double>(value.count()))};
}

} // namespace

usage_duty::usage_duty(const usage_settings& settings, std::string author,
                       std::uint64_t author_epoch)
    : settings_(settings), author_(std::move(author)), author_epoch_(author_epoch) {}

bool usage_duty::is_own(const usage_record& record) const {
  return record.author == author_ && record.author_epoch == author_epoch_;
}

bool usage_duty::is_holder() const {
  // A record of an earlier era may have been executed late, after what was there had been lost.
  return state_.log && state_.log->last && is_own(*state_.log->last) &&
         state_.log->last->era == state_.log->era;
}

bool usage_duty::owes_report(time_point true_time) const {
  if (!is_holder()) {
    return false;
  }
  const window_number window = state_.log->last->window;
  const bool is_too_late =
      true_time > window_end(window, settings_.window) + settings_.due + max_delay;
  return !is_too_late && (!state_.reported || *state_.reported < window);
}

window_number usage_duty::next_window() const {
  const std::optional<usage_record>& last = state_.log->last;
  const window_number after_last = last ? last->window + 1 : state_.first_window;
  // A record of an earlier era does not tell what was reported after it.
  return last && last->era == state_.log->era ? after_last
                                              : std::max(after_last, state_.first_window);
}

std::uint64_t usage_duty::token_for_next() const {
  const std::optional<usage_record>& last = state_.log->last;
  if (is_holder()) {
    return last->fencing_token;
  }
  const std::uint64_t era = std::max<std::uint64_t>(state_.log->era, 1) - 1;
  const std::uint64_t by_position = (era << era_shift) + state_.log->end + 1;
  return last ? std::max(last->fencing_token + 1, by_position) : by_position;
}

void usage_duty::pause(time_point now) {
  state_.current = step::idle;
  state_.next_try = now + retry_delay;
}

std::optional<usage_action> usage_duty::append(window_number window, usage_counts counts,
                                               time_point now) {
  const usage_record record{window,        std::move(counts), author_,
                            author_epoch_, token_for_next(),  state_.log->era};
  append_usage_record action{record, state_.log->end};
  // An append that was not answered may still be executed: repeats must have its content.
  if (state_.pending_append && state_.pending_append->expected_end == action.expected_end) {
    action = *state_.pending_append;
  }
  state_.pending_append = action;
  state_.append_sent = state_.append_sent.value_or(now);
  state_.lease_from.reset();
  state_.current = step::appending;
  return action;
}

std::optional<usage_action> usage_duty::report_last(time_point now) {
  const usage_record& last = *state_.log->last;
  const bool may_report =
      state_.lease_from && now + post_timeout <= *state_.lease_from + settings_.lease;
  if (!may_report) {
    return append(last.window, last.counts, now);
  }
  state_.current = step::posting;
  return post_usage{last, post_timeout};
}

bool usage_duty::may_claim(window_number window, time_point now, time_point true_time,
                           std::optional<usage_action>& action) {
  const std::optional<usage_record>& last = state_.log->last;
  const time_point overdue_at =
      window_end(window, settings_.window) + fraction_of(settings_.due, overdue_fraction);
  const bool has_author = last && last->era == state_.log->era;
  if (has_author && true_time < overdue_at) {
    return false;
  }
  if (has_author && state_.checked_window != window) {
    state_.checked_window = window;
    state_.current = step::reading;
    action = read_usage_log{};
    return false;
  }
  return now >= state_.last_seen_since + settings_.lease + lease_margin;
}

std::optional<usage_action> usage_duty::record_next(time_point now, time_point true_time,
                                                    const count_source& counts) {
  const window_number oldest = window_at(true_time - settings_.due - max_delay, settings_.window);
  const window_number window = std::max(next_window(), oldest);
  const time_point end = window_end(window, settings_.window);
  if (true_time < end) {
    return std::nullopt;
  }
  if (!is_holder()) {
    std::optional<usage_action> action;
    if (!may_claim(window, now, true_time, action)) {
      return action;
    }
    const std::optional<usage_record>& last = state_.log->last;
    const bool may_be_unreported =
        last && last->era == state_.log->era &&
        true_time <= window_end(last->window, settings_.window) + settings_.due + max_delay;
    if (may_be_unreported) {
      return append(last->window, last->counts, now);
    }
  }
  const bool is_last_chance = true_time >= end + fraction_of(settings_.due, last_chance_fraction);
  std::optional<usage_counts> found = counts(window, is_last_chance);
  return found ? append(window, std::move(*found), now) : std::nullopt;
}

std::optional<usage_action> usage_duty::on_tick(time_point now, time_point true_time,
                                                bool is_candidate, const count_source& counts) {
  state_.needs_read = state_.needs_read || (is_candidate && !state_.was_candidate);
  state_.was_candidate = is_candidate;
  if (!is_candidate || state_.current != step::idle || now < state_.next_try) {
    return std::nullopt;
  }
  if (!state_.log || state_.needs_read) {
    state_.current = step::reading;
    return read_usage_log{};
  }
  return owes_report(true_time) ? report_last(now) : record_next(now, true_time, counts);
}

void usage_duty::on_log_read(std::optional<usage_log_state> read, time_point now,
                             time_point true_time) {
  pause(now);
  if (!read) {
    return;
  }
  const bool is_new_era = !state_.log || state_.log->era != read->era;
  const bool is_same_last = !is_new_era && state_.log->end == read->end;
  if (is_new_era) {
    state_.first_window = window_at(true_time, settings_.window);
  }
  if (!is_same_last) {
    state_.last_seen_since = now;
  }
  const bool is_mine = read->last && is_own(*read->last);
  const bool is_pending_in_log = is_mine && state_.pending_append && !is_new_era &&
                                 *read->last == state_.pending_append->record;
  if (is_pending_in_log && !is_same_last) {
    state_.lease_from = state_.append_sent;
  } else if (!is_same_last) {
    state_.lease_from.reset();
  }
  if (!is_same_last) {
    // The condition of an append that is still under way no longer holds.
    state_.pending_append.reset();
    state_.append_sent.reset();
  }
  state_.log = std::move(read);
  state_.needs_read = false;
  state_.next_try = now;
}

void usage_duty::on_appended(append_outcome outcome, std::uint64_t era, time_point now) {
  if (state_.current != step::appending) {
    return;
  }
  const bool is_other_era = era != 0 && era != state_.log->era;
  if (outcome == append_outcome::appended && !is_other_era) {
    state_.log->last = state_.pending_append->record;
    state_.log->end = state_.pending_append->expected_end + 1;
    state_.last_seen_since = now;
    state_.lease_from = state_.append_sent;
    state_.pending_append.reset();
    state_.append_sent.reset();
    state_.current = step::idle;
    return;
  }
  pause(now);
  state_.needs_read = outcome != append_outcome::refused || is_other_era;
}

void usage_duty::on_posted(post_outcome outcome, time_point now) {
  if (state_.current != step::posting) {
    return;
  }
  if (outcome == post_outcome::unknown) {
    pause(now);
    return;
  }
  // A report that is rejected would be rejected again.
  state_.current = step::idle;
  state_.reported = state_.log->last->window;
}

} // namespace arbutuslb::core::duties
