// The clock of the runtime: wall time read once, carried on by the steady clock.
//
// It never steps back within a process. Tests do not use it: they pass their own times to the core.
#pragma once

#include "arbutuslb/core/base/time.h"

namespace arbutuslb::runtime {

// Thread-safe.
class anchored_clock {
public:
  core::time_point now() const {
    const std::chrono::steady_clock::duration elapsed = std::chrono::steady_clock::now() - steady_;
    return wall_ + std::chrono::duration_cast<core::duration>(elapsed);
  }

private:
  std::chrono::steady_clock::time_point steady_ = std::chrono::steady_clock::now();
  core::time_point wall_ =
      std::chrono::time_point_cast<core::duration>(std::chrono::system_clock::now());
};

} // namespace arbutuslb::runtime
