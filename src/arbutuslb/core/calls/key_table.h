// The calls of one home: what became of each key that its present process minted.
//
// A key is started at most once. A repeat is given the answer of the first, waits for it, or is
// told that the outcome is unknown; it is started again only if the first was provably not run.
// Keys are forgotten from the lowest number on; a forgotten key is never started.
//
//   switch (table.begin(number, waiter, now)) { case key_state::fresh: ... }
#pragma once

#include "arbutuslb/core/base/time.h"
#include "arbutuslb/core/protocol/messages.h"

#include <map>
#include <vector>

namespace arbutuslb::core::calls {

// How long the outcome of a key is kept after its call began.
inline constexpr std::chrono::minutes key_retention{10};
inline constexpr std::size_t max_remembered_keys = 8192;
// The total size of the answers that are kept, in bytes.
inline constexpr std::size_t max_remembered_bytes = std::size_t{8} * 1024 * 1024;

enum class key_state : std::uint8_t {
  fresh,     // not started before: the caller of `begin` must start it
  running,   // started, no outcome yet: the waiter will be told
  finished,  // `result_of` has the outcome
  evicted,   // too old to know
  not_minted // no key of this process
};

struct key_result {
  protocol::call_outcome outcome = protocol::call_outcome::unknown;
  std::string reason;
  protocol::call_answer answer;
};

// Not thread-safe. Operations are O(log keys).
class key_table {
public:
  // Returns the number of a new key.
  std::uint64_t mint() { return ++last_minted_; }

  // `waiter` is remembered if the call runs, until `take_waiters`.
  key_state begin(std::uint64_t number, std::uint64_t waiter, time_point now);

  const key_result& result_of(std::uint64_t number) const { return entries_.at(number).result; }

  // Records the outcome. An outcome `not_executed` makes the key fresh again. A later answer
  // replaces an unknown outcome; nothing replaces an answer.
  void finish(std::uint64_t number, key_result result);

  // Returns the waiters of the key and forgets them.
  std::vector<std::uint64_t> take_waiters(std::uint64_t number);

  // Forgets what is old or too much.
  void evict(time_point now);

  std::size_t size() const noexcept { return entries_.size(); }

private:
  struct entry {
    bool is_running = true;
    key_result result;
    time_point began;
    std::vector<std::uint64_t> waiters;
  };
  void forget_lowest();

  std::map<std::uint64_t, entry> entries_;
  std::uint64_t last_minted_ = 0;
  std::uint64_t first_remembered_ = 1;
  std::size_t answer_bytes_ = 0;
};

} // namespace arbutuslb::core::calls
