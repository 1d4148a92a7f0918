// The clock of the runtime: wall time read at construction, advanced by the steady clock.
//
// It never goes backwards within a process. Tests of the core do not use it: they pass times to the
// core.
#pragma once

#include "arbutuslb/core/base/time.h"

namespace arbutuslb::runtime {

// Thread-safe.
class anchored_clock {
public:
  core::time_point now() const {
    const std::chrono::steady_clock::duration elapsed =
        std::chrono::steady_clock::now() - steady_start_;
    return wall_start_ + std::chrono::duration_cast<core::duration>(elapsed);
  }

private:
  std::chrono::steady_clock::time_point steady_start_ = std::chrono::steady_clock::now();
  core::time_point wall_start_ =
      std::chrono::time_point_cast<core::duration>(std::chrono::system_clock::now());
};

} // namespace arbutuslb::runtime
