// Time types of the core.
//
// The core never reads a clock: every entry point receives `now`. The runtime derives it from a
// steady clock anchored once to the wall clock, so that it never decreases within a process.
//
//   core::time_point deadline = now + std::chrono::milliseconds{250};
#pragma once

#include <chrono>

namespace arbutuslb::core {

using duration = std::chrono::microseconds;
using time_point = std::chrono::sys_time<duration>;

// Returns `value` in whole milliseconds, rounded towards zero.
constexpr std::int64_t to_milliseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

// Returns the milliseconds between the epoch of the system clock and `value`.
constexpr std::int64_t to_epoch_milliseconds(time_point value) {
  return to_milliseconds(value.time_since_epoch());
}

} // namespace arbutuslb::core
