// Writes events to standard output as key=value lines, bounded in rate and size.
//
// Never blocks: lines beyond the limits are dropped and counted, and the count is written with the
// next line that is accepted.
#pragma once

#include "arbutuslb/core/base/time.h"
#include "arbutuslb/core/engine/actions.h"

#include <string>

namespace arbutuslb::runtime {

// Not thread-safe.
class log_writer {
public:
  explicit log_writer(int descriptor) : descriptor_(descriptor) {}

  void write(const core::engine::write_event& event, core::time_point now);
  // Writes buffered lines to the descriptor, as far as it accepts them without blocking.
  void flush();
  std::uint64_t dropped() const noexcept { return dropped_; }

private:
  // Returns whether the rate limit (a token bucket) admits another line.
  bool take_token(core::time_point now);

  int descriptor_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
  double tokens_ = 0; // one per line
  core::time_point refilled_at_{};
};

} // namespace arbutuslb::runtime
