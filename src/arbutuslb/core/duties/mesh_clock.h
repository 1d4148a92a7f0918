// Estimates the true time from the clocks of many daemons.
//
// The time of day of an instance may be wrong, also for as long as a process lives if the clock was
// wrong when it started. The median of all clocks is right as long as most of them are.
//
//   mesh_clock clock;
//   clock.on_sample("10.0.0.7", their_time - local_time, local_time);
//   time_point true_time = local_time + clock.offset(local_time);
#pragma once

#include "arbutuslb/core/base/time.h"

#include <map>
#include <string>

namespace arbutuslb::core::duties {

// Not thread-safe.
class mesh_clock {
public:
  // A daemon's clock differed from the local one by `offset` when its message was received at
  // `now`.
  void on_sample(const std::string& host, duration offset, time_point now);
  void remove_old(time_point now);
  // Returns the median of the offsets of all daemons with a recent sample, and of this one.
  duration offset(time_point now) const;
  // Returns the number of daemons with a recent sample, and this one.
  std::size_t size(time_point now) const;

private:
  struct sample {
    duration offset{};
    time_point received{};
  };
  std::map<std::string, sample> samples_; // by host
};

} // namespace arbutuslb::core::duties
