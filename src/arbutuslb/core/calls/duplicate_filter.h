// Rejects repeated and very late requests, with bounded memory for each calling daemon.
//
// The sequence numbers of one process of a caller increase. The filter keeps a window of the
// highest ones and treats each number below the window as a repeat.
#pragma once

#include "arbutuslb/core/base/ids.h"

#include <algorithm>
#include <map>
#include <vector>

namespace arbutuslb::core::calls {

// Not thread-safe.
class duplicate_filter {
public:
  // Records the request and returns true if it is new. Returns false if it is a repeat, is below
  // the window, or comes from an earlier process epoch of the caller. O(window).
  bool admit(const call_id& id) {
    window& sender_window = windows_[id.caller];
    if (id.caller_epoch < sender_window.process_epoch) {
      return false;
    }
    if (id.caller_epoch > sender_window.process_epoch) {
      sender_window = window{id.caller_epoch, 0, {}};
    }
    const std::vector<std::uint64_t>::iterator position = std::lower_bound(
        sender_window.sequences.begin(), sender_window.sequences.end(), id.sequence);
    const bool is_repeat = position != sender_window.sequences.end() && *position == id.sequence;
    if (id.sequence < sender_window.lowest_accepted || is_repeat) {
      return false;
    }
    sender_window.sequences.insert(position, id.sequence);
    if (sender_window.sequences.size() > window_size) {
      sender_window.lowest_accepted = sender_window.sequences.front() + 1;
      sender_window.sequences.erase(sender_window.sequences.begin());
    }
    return true;
  }

private:
  static constexpr std::size_t window_size = 64;
  struct window {
    incarnation process_epoch;
    std::uint64_t lowest_accepted = 0;    // lower sequence numbers are repeats
    std::vector<std::uint64_t> sequences; // in ascending order
  };
  std::map<member_id, window> windows_; // by caller
};

} // namespace arbutuslb::core::calls
