// The clock of the runtime: wall time read at construction, advanced by the steady clock.
//
// It never goes backwards within a process, and stands still while the process is suspended. Tests
// of the core do not use it: they pass times to the core.
#pragma once

#include "arbutuslb/core/base/time.h"

#include <algorithm>
#include <ctime>

namespace arbutuslb::runtime {

// Thread-safe.
class anchored_clock {
public:
  core::time_point now() const {
    const std::chrono::steady_clock::duration elapsed =
        std::chrono::steady_clock::now() - steady_start_;
    return wall_start_ + std::chrono::duration_cast<core::duration>(elapsed);
  }

  // Returns for how long the process has been suspended since construction.
  core::duration suspended() const {
    const std::chrono::steady_clock::duration elapsed =
        std::chrono::steady_clock::now() - steady_start_;
    const core::duration total = boot_time() - boot_start_;
    return std::max(core::duration::zero(),
                    total - std::chrono::duration_cast<core::duration>(elapsed));
  }

private:
  // Time since the instance booted, with times of suspension.
  static core::duration boot_time() {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<core::duration>(std::chrono::seconds{time.tv_sec} +
                                                      std::chrono::nanoseconds{time.tv_nsec});
  }

  std::chrono::steady_clock::time_point steady_start_ = std::chrono::steady_clock::now();
  core::duration boot_start_ = boot_time();
  core::time_point wall_start_ =
      std::chrono::time_point_cast<core::duration>(std::chrono::system_clock::now());
};

} // namespace arbutuslb::runtime
