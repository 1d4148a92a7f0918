// The fault soak: real daemons as processes, faults from outside them, promises checked from what
// callers and upstreams see. A seed gives the same faults at the same times.
#pragma once

#include "arbutuslb/core/base/time.h"

#include <cstdint>
#include <string>

namespace arbutuslb::soak {

struct soak_options {
  std::string program;   // the daemon's binary
  std::string directory; // for settings and logs
  std::uint64_t seed = 1;
  core::duration fault_time = std::chrono::seconds{20};
  std::size_t instances = 8;
  // Also checks what must happen within a time; off where the machine's speed is not known.
  bool checks_times = true;
};

// Prints one line for each broken promise and one for the result. Returns the number of broken
// promises.
int run_soak(const soak_options& options);

} // namespace arbutuslb::soak
