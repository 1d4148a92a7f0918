// Writes events to standard output as key=value lines, bounded in rate and size.
//
// Never blocks: what does not fit is dropped and counted, and the count is written when there is
// room again.
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
  // Passes on what has gathered, as far as the reader takes it.
  void flush();
  std::uint64_t dropped() const noexcept { return dropped_; }

private:
  bool has_allowance(core::time_point now);

  int descriptor_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_drops_ = 0;
  double allowance_ = 0; // lines
  core::time_point refilled_at_{};
};

} // namespace arbutuslb::runtime
