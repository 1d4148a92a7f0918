// Counts of executions by organisation and time window, merged from all daemons.
//
// Each process of a daemon has counters of its own, which only grow. Merging takes the higher value
// of each counter, so that reports may be lost, repeated, reordered and come over several ways, and
// the counts of a process that has ended remain.
//
//   usage_ledger ledger;
//   ledger.merge(report);
//   usage_counts counts = ledger.counts(window);
#pragma once

#include "arbutuslb/core/base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace arbutuslb::core::duties {

// Number of a time window: window `n` begins `n` lengths after the Unix epoch.
using window_number = std::int64_t;

// Executions by organisation.
using usage_counts = std::map<std::string, std::uint64_t>;

// Returns the window that contains the time.
inline window_number window_at(time_point time, duration length) {
  return time.time_since_epoch() / length;
}
inline time_point window_end(window_number window, duration length) {
  return time_point{length * (window + 1)};
}

// A part of the counters of one process.
struct usage_report {
  struct counter {
    window_number window = 0;
    std::string organisation;
    std::uint64_t count = 0; // so far
    friend bool operator==(const counter&, const counter&) = default;
  };
  std::string host;                // address of the daemon
  std::uint64_t process_epoch = 0; // start of the process
  std::vector<counter> counters;
  std::vector<window_number> complete; // windows whose counters no longer change
  friend bool operator==(const usage_report&, const usage_report&) = default;
};

// Not thread-safe.
class usage_ledger {
public:
  void merge(const usage_report& report);
  // Returns the sums over all processes.
  usage_counts counts(window_number window) const;
  // Returns whether a process of the daemon has reported all of the window.
  bool is_complete(window_number window, const std::string& host) const;
  // Forgets earlier windows.
  void remove_before(window_number window);

private:
  struct window_state {
    // By host, process and organisation.
    std::map<std::string, std::map<std::uint64_t, usage_counts>> counters;
    std::set<std::string> complete; // hosts
  };
  std::map<window_number, window_state> windows_;
};

// The counters of this process, and which of them its collectors do not have yet. Not thread-safe.
class usage_counter {
public:
  void add(window_number window, const std::string& organisation);
  // Marks the window as complete.
  void complete(window_number window);
  // Returns what has changed since the last call, in reports of at most `max_counters` counters.
  std::vector<usage_report> take_changes(std::size_t max_counters);
  // The next changes include everything: a collector is new, or may have missed something.
  void resend_all();
  void remove_before(window_number window);
  bool has_changes() const { return !changed_.empty() || !newly_complete_.empty(); }

private:
  std::map<window_number, usage_counts> counts_;
  std::set<window_number> complete_;
  std::set<std::pair<window_number, std::string>> changed_;
  std::set<window_number> newly_complete_;
};

} // namespace arbutuslb::core::duties
