// The soak test: runs daemons as processes, injects faults from outside, and checks the promised
// guarantees as seen by callers and upstreams. A seed gives the same faults at the same times.
#pragma once

#include "arbutuslb/core/base/time.h"

#include <cstdint>
#include <string>

namespace arbutuslb::soak {

struct soak_options {
  std::string program;   // path of the daemon's binary
  std::string directory; // for settings and logs
  std::uint64_t seed = 1;
  core::duration fault_time = std::chrono::seconds{20}; // duration of the phase with faults
  std::size_t instances = 8;
  // Also checks the promised time bounds. Disable it on machines of unknown speed.
  bool checks_times = true;
  // Only planned work: stops and reloads, changes of the configuration, and some executions that
  // take more than half of the grace period. Then no request that an upstream executes may stay
  // without an answer, and none of the short ones may be answered as unknown.
  bool is_planned = false;
};

// Prints a line for each broken promise and a line with the result. Returns the number of broken
// promises.
int run_soak(const soak_options& options);

} // namespace arbutuslb::soak
