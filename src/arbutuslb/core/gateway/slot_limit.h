// Learns how many concurrent requests an upstream can handle.
//
// An upstream states its slots, but some never answer a request that they have no room for, and the
// room may be less than stated: others may use it, or requests may still be executed that this
// process does not know of. A request without an answer tells nothing by itself, since answers are
// also lost at random. It counts as turned away only if the upstream has answered a request that
// was started later, and has not recently answered one that was started beside as many others.
// Requests that are never answered hold none of the slots and do not count as others.
//
//   slot_limit limit;
//   limit.set_stated(upstream.slots);
//   limit.on_silence(started_at, now);
//   queue.set_limit(limit.value());
//
// Serves the load of an upstream that is offered more than it can queue.
#pragma once

#include "arbutuslb/core/base/time.h"

#include <deque>
#include <vector>

namespace arbutuslb::core::gateway {

// Not thread-safe.
class slot_limit {
public:
  // Sets the number of slots that the upstream states. A change discards what was learnt.
  void set_stated(int slots);
  // Discards what was learnt: the upstream has been replaced or has started again.
  void reset();

  // The upstream answered a request that was started at `started_at`. O(answers kept).
  void on_answer(time_point started_at, time_point now);
  // The upstream did not answer a request in time that was started at `started_at`.
  void on_silence(time_point started_at, time_point now);

  // Returns the number of requests that may be in flight, from 1 to the stated slots.
  int value() const noexcept { return value_; }

private:
  struct execution_time {
    time_point started;
    time_point answered;
  };
  // Returns how many requests the upstream was executing at `time`, as far as it has answered them.
  int executing_at(time_point time) const;

  int stated_ = 1;
  int value_ = 1;
  time_point last_answered_start_{};    // latest start of a request that was answered
  std::deque<execution_time> answered_; // newest last
  // When a request was last answered that was started beside this many others, including itself.
  std::vector<time_point> answered_at_ = std::vector<time_point>(2);
  time_point changed_at_{};
  duration probe_delay_{}; // until the limit is raised again
};

} // namespace arbutuslb::core::gateway
