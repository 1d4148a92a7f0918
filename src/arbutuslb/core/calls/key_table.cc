#include "arbutuslb/core/calls/key_table.h"

#include <utility>

namespace arbutuslb::core::calls {

using protocol::call_outcome;

key_state key_table::begin(std::uint64_t number, std::uint64_t waiter, time_point now) {
  if (number == 0 || number > last_minted_) {
    return key_state::not_minted;
  }
  const std::map<std::uint64_t, entry>::iterator found = entries_.find(number);
  if (found == entries_.end()) {
    if (number < first_retained_) {
      return key_state::evicted;
    }
    entry& added = entries_[number];
    added.started_at = now;
    added.waiters.push_back(waiter);
    return key_state::fresh;
  }
  if (!found->second.is_running) {
    return key_state::finished;
  }
  found->second.waiters.push_back(waiter);
  return key_state::running;
}

void key_table::finish(std::uint64_t number, key_result result) {
  const std::map<std::uint64_t, entry>::iterator found = entries_.find(number);
  if (found == entries_.end()) {
    return;
  }
  entry& stored = found->second;
  if (!stored.is_running && stored.result.outcome == call_outcome::answered) {
    return;
  }
  if (result.outcome == call_outcome::not_executed) {
    entries_.erase(found);
    return;
  }
  stored.is_running = false;
  stored.result = std::move(result);
  answer_bytes_ += stored.result.answer.body.size();
}

std::vector<std::uint64_t> key_table::take_waiters(std::uint64_t number) {
  const std::map<std::uint64_t, entry>::iterator found = entries_.find(number);
  if (found == entries_.end()) {
    return {};
  }
  return std::exchange(found->second.waiters, {});
}

void key_table::evict_lowest() {
  const std::map<std::uint64_t, entry>::iterator lowest = entries_.begin();
  first_retained_ = lowest->first + 1;
  answer_bytes_ -= lowest->second.result.answer.body.size();
  entries_.erase(lowest);
}

void key_table::evict(time_point now) {
  while (!entries_.empty()) {
    const entry& lowest = entries_.begin()->second;
    const bool is_expired = now - lowest.started_at > key_retention;
    const bool is_over_capacity =
        entries_.size() > max_retained_keys || answer_bytes_ > max_retained_bytes;
    if (lowest.is_running || !(is_expired || is_over_capacity)) {
      return;
    }
    evict_lowest();
  }
}

} // namespace arbutuslb::core::calls
