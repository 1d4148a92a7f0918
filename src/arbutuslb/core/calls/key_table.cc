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
    if (number < first_remembered_) {
      return key_state::evicted;
    }
    entry& fresh = entries_[number];
    fresh.began = now;
    fresh.waiters.push_back(waiter);
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
  entry& known = found->second;
  if (!known.is_running && known.result.outcome == call_outcome::answered) {
    return;
  }
  if (result.outcome == call_outcome::not_executed) {
    entries_.erase(found);
    return;
  }
  known.is_running = false;
  known.result = std::move(result);
  answer_bytes_ += known.result.answer.body.size();
}

std::vector<std::uint64_t> key_table::take_waiters(std::uint64_t number) {
  const std::map<std::uint64_t, entry>::iterator found = entries_.find(number);
  if (found == entries_.end()) {
    return {};
  }
  return std::exchange(found->second.waiters, {});
}

void key_table::forget_lowest() {
  const std::map<std::uint64_t, entry>::iterator lowest = entries_.begin();
  first_remembered_ = lowest->first + 1;
  answer_bytes_ -= lowest->second.result.answer.body.size();
  entries_.erase(lowest);
}

void key_table::evict(time_point now) {
  while (!entries_.empty()) {
    const entry& lowest = entries_.begin()->second;
    const bool is_old = now - lowest.began > key_retention;
    const bool is_too_much =
        entries_.size() > max_remembered_keys || answer_bytes_ > max_remembered_bytes;
    if (lowest.is_running || !(is_old || is_too_much)) {
      return;
    }
    forget_lowest();
  }
}

} // namespace arbutuslb::core::calls
