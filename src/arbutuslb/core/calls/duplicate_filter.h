// Recognizes repeated and very late requests of other daemons, in bounded memory.
//
// Sequence numbers of one sender's process rise. The filter remembers a window of the highest; any
// number below the window counts as a repeat.
#pragma once

#include "arbutuslb/core/base/ids.h"

#include <algorithm>
#include <map>
#include <vector>

namespace arbutuslb::core::calls {

// Not thread-safe.
class duplicate_filter {
public:
  // Returns true if the request was not seen before, and remembers it. O(window).
  bool admit(const call_id& id) {
    window& seen = windows_[id.caller];
    if (id.caller_epoch < seen.process_epoch) {
      return false;
    }
    if (id.caller_epoch > seen.process_epoch) {
      seen = window{id.caller_epoch, 0, {}};
    }
    const std::vector<std::uint64_t>::iterator place =
        std::lower_bound(seen.sequences.begin(), seen.sequences.end(), id.sequence);
    const bool is_known = place != seen.sequences.end() && *place == id.sequence;
    if (id.sequence < seen.floor || is_known) {
      return false;
    }
    seen.sequences.insert(place, id.sequence);
    if (seen.sequences.size() > window_size) {
      seen.floor = seen.sequences.front() + 1;
      seen.sequences.erase(seen.sequences.begin());
    }
    return true;
  }

private:
  static constexpr std::size_t window_size = 64;
  struct window {
    incarnation process_epoch;
    std::uint64_t floor = 0;
    std::vector<std::uint64_t> sequences; // in rising order
  };
  std::map<member_id, window> windows_;
};

} // namespace arbutuslb::core::calls
