// Reports usage to the platform, one daemon at a time, agreed on through the platform's log.
//
// Before anything is reported, its content is appended to a log under the condition that nothing
// has been appended since the daemon read it. The record fixes the counts of a window for good:
// whoever reports the window sends these counts. Its author may report for `lease` from the moment
// at which it sent the append. Another daemon may append only after it has seen the same record as
// the last one for `lease` and a margin. So a report of the former author cannot arrive after one
// of the new author, unless it is held up on its way, whatever either of them knows of the other.
// Times are of a clock that also counts while the process is suspended; clocks of different daemons
// are never compared.
//
// The fencing token rises whenever the author changes. It contains the era of the store, so that it
// rises also if the store comes back from a copy that lacks the latest records. Then only windows
// are reported that had not ended when the new era was noticed: what was reported before of the
// others is not known.
//
//   usage_duty duty(settings, "instance-1", process_epoch);
//   for (const usage_action& item : duty.on_tick(now, true_time, is_candidate, counts)) { ... }
#pragma once

#include "arbutuslb/core/duties/usage_ledger.h"

#include <compare>
#include <functional>
#include <optional>
#include <variant>

namespace arbutuslb::core::duties {

struct usage_settings {
  bool is_enabled = false;
  duration window = std::chrono::seconds{5}; // length of a window
  duration due = std::chrono::seconds{10};   // a window must be reported this long after its end
  // A daemon may report for this long after it has claimed the duty, and another one may claim it
  // only later.
  duration lease = std::chrono::seconds{3};
  friend auto operator<=>(const usage_settings&, const usage_settings&) = default;
};

struct usage_record {
  window_number window = 0;
  usage_counts counts;
  std::string author; // name of the instance
  std::uint64_t author_epoch = 0;
  std::uint64_t fencing_token = 0;
  std::uint64_t era = 0; // of the store, as known to the author
  friend auto operator<=>(const usage_record&, const usage_record&) = default;
};

// --- actions ---

// Reads the last record. Completed by `on_log_read`.
struct read_usage_log {
  friend auto operator<=>(const read_usage_log&, const read_usage_log&) = default;
};
// Appends a record if the log ends at `expected_end`. Completed by `on_appended`.
struct append_usage_record {
  usage_record record;
  std::uint64_t expected_end = 0;
  friend auto operator<=>(const append_usage_record&, const append_usage_record&) = default;
};
// Sends a report. Completed by `on_posted`, after `timeout` at the latest; then nothing of it may
// remain on its way.
struct post_usage {
  usage_record record;
  duration timeout{};
  friend auto operator<=>(const post_usage&, const post_usage&) = default;
};
using usage_action = std::variant<read_usage_log, append_usage_record, post_usage>;

// --- results ---

struct usage_log_state {
  std::uint64_t era = 0;
  std::uint64_t end = 0;
  std::optional<usage_record> last;
  friend auto operator<=>(const usage_log_state&, const usage_log_state&) = default;
};
enum class append_outcome : std::uint8_t { appended, conflict, refused, unknown };
enum class post_outcome : std::uint8_t { accepted, rejected, unknown };

// Not thread-safe. A value: a copy goes on independently, which tests use to try all interleavings.
class usage_duty {
public:
  // Returns the counts of a window; nothing while more may arrive. `is_last_chance`: returns what
  // there is.
  using count_source =
      std::function<std::optional<usage_counts>(window_number window, bool is_last_chance)>;

  usage_duty(const usage_settings& settings, std::string author, std::uint64_t author_epoch);

  // `now` never decreases and includes times of suspension; `true_time` is the estimated time of
  // day. Only a candidate starts anything. Returns at most one action.
  std::optional<usage_action> on_tick(time_point now, time_point true_time, bool is_candidate,
                                      const count_source& counts);
  // `state` is empty if the log could not be read.
  void on_log_read(std::optional<usage_log_state> state, time_point now, time_point true_time);
  void on_appended(append_outcome outcome, std::uint64_t era, time_point now);
  void on_posted(post_outcome outcome, time_point now);

  // Returns whether this daemon wrote the last record that it knows of, in this era of the store.
  bool is_holder() const;
  // Returns the last window whose report this process has seen accepted.
  std::optional<window_number> last_reported() const { return state_.reported; }

  friend auto operator<=>(const usage_duty& one, const usage_duty& other) {
    return one.state_ <=> other.state_;
  }
  friend bool operator==(const usage_duty& one, const usage_duty& other) {
    return one.state_ == other.state_;
  }

private:
  enum class step : std::uint8_t { idle, reading, appending, posting };

  struct state {
    step current = step::idle;
    bool was_candidate = false;
    std::optional<usage_log_state> log; // as last read or written
    bool needs_read = true;             // the log must be read before anything is appended
    // The log has been read since this window became overdue.
    std::optional<window_number> checked_window;
    time_point last_seen_since{}; // when `log->last` was first seen
    // The first window that may be reported while the log does not tell in which era it was
    // written.
    window_number first_window = 0;
    std::optional<append_usage_record> pending_append;
    // When the earliest append was sent that may have put the last record there, or still may.
    std::optional<time_point> append_sent;
    std::optional<time_point> lease_from; // set while this process may report `log->last`
    std::optional<window_number> reported;
    time_point next_try{};
    friend auto operator<=>(const state&, const state&) = default;
  };

  bool is_own(const usage_record& record) const;
  // Returns whether the last record is to be reported by this daemon and has not been accepted yet.
  bool owes_report(time_point true_time) const;
  window_number next_window() const;
  std::uint64_t token_for_next() const;
  std::optional<usage_action> append(window_number window, usage_counts counts, time_point now);
  // Reports the last record, or claims the duty once more if the lease does not allow that any
  // longer.
  std::optional<usage_action> report_last(time_point now);
  std::optional<usage_action> record_next(time_point now, time_point true_time,
                                          const count_source& counts);
  // For a daemon that is not the holder: returns whether it may claim the duty, and requests a read
  // of the log or waits otherwise.
  bool may_claim(window_number window, time_point now, time_point true_time,
                 std::optional<usage_action>& action);
  void pause(time_point now);

  usage_settings settings_;
  std::string author_;
  std::uint64_t author_epoch_;
  state state_;
};

} // namespace arbutuslb::core::duties
