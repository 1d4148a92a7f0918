// The keys that the current process of this daemon has minted, with the state and the outcome of
// each.
//
// The call of a key is started once, and again only if it was provably not executed. A repeat gets
// the answer of the first call, waits for it, or learns that its outcome is unknown. Keys are
// evicted in ascending order of their numbers; an evicted key is never started again.
//
//   switch (table.begin(number, waiter, now)) { case key_state::fresh: ... }
#pragma once

#include "arbutuslb/core/base/time.h"
#include "arbutuslb/core/protocol/messages.h"

#include <map>
#include <vector>

namespace arbutuslb::core::calls {

// Time after the start of a call for which the outcome of its key is retained.
inline constexpr std::chrono::minutes key_retention{10};
inline constexpr std::size_t max_retained_keys = 8192;
// Maximum total size of the bodies of the retained answers, in bytes.
inline constexpr std::size_t max_retained_bytes = std::size_t{8} * 1024 * 1024;

enum class key_state : std::uint8_t {
  fresh,     // not started before; the caller of `begin` must start the call
  running,   // started without an outcome yet; the waiter was added
  finished,  // `result_of` returns the outcome
  evicted,   // too old: its outcome, if any, is no longer retained
  not_minted // not a key of this process
};

struct key_result {
  protocol::call_outcome outcome = protocol::call_outcome::unknown;
  std::string reason;
  protocol::call_answer answer;
};

// Not thread-safe. Operations are O(log keys).
class key_table {
public:
  // Creates a key and returns its number, which is at least 1.
  std::uint64_t mint() { return ++last_minted_; }

  // Returns the state of the key and starts it if it is fresh. Stores `waiter` until `take_waiters`
  // if the result is `fresh` or `running`.
  key_state begin(std::uint64_t number, std::uint64_t waiter, time_point now);

  // The key must be in the table.
  const key_result& result_of(std::uint64_t number) const { return entries_.at(number).result; }

  // Records the outcome. An outcome `not_executed` makes the key fresh again. A later answer
  // replaces an unknown outcome; an answer is never replaced. Does nothing if the key is not in the
  // table.
  void finish(std::uint64_t number, key_result result);

  // Removes and returns the waiters of the key.
  std::vector<std::uint64_t> take_waiters(std::uint64_t number);

  // Evicts expired keys and keys above the maximum number or size, lowest numbers first. Stops at a
  // running key.
  void evict(time_point now);

  std::size_t size() const noexcept { return entries_.size(); }

private:
  struct entry {
    bool is_running = true;
    key_result result;
    time_point started_at;
    std::vector<std::uint64_t> waiters;
  };
  void evict_lowest();

  std::map<std::uint64_t, entry> entries_;
  std::uint64_t last_minted_ = 0;
  std::uint64_t first_retained_ = 1; // lower numbers are evicted
  std::size_t answer_bytes_ = 0;
};

} // namespace arbutuslb::core::calls
