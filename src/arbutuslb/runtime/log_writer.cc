#include "arbutuslb/runtime/log_writer.h"

#include "arbutuslb/runtime/logging.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace arbutuslb::runtime {
namespace {

// About four lines per request at the load of the busiest daemon.
constexpr double lines_per_second = 250;
constexpr double burst_lines = 500;
constexpr std::size_t max_buffered_bytes = std::size_t{64} * 1024;
// A pipe that polls as writable accepts this much without blocking (PIPE_BUF).
constexpr std::size_t atomic_write_size = 4096;
constexpr std::size_t max_writes = 16;

const char* level_name(core::engine::severity level) {
  switch (level) {
  case core::engine::severity::info:
    return "info";
  case core::engine::severity::warning:
    return "warning";
  case core::engine::severity::error:
    return "error";
  }
  return "info";
}

} // namespace

bool log_writer::take_token(core::time_point now) {
  const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(burst_lines, tokens_ + seconds * lines_per_second);
  refilled_at_ = now;
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

void log_writer::write(const core::engine::write_event& event, core::time_point now) {
  if (!take_token(now) || buffer_.size() >= max_buffered_bytes) {
    ++dropped_;
    return;
  }
  if (dropped_ != reported_dropped_) {
    buffer_ += "event=log_lines_dropped total=" + std::to_string(dropped_) + "\n";
    reported_dropped_ = dropped_;
  }
  buffer_ += "time_ms=" + std::to_string(core::to_epoch_milliseconds(now)) +
             " level=" + level_name(event.level) + " " + format_event(event) + "\n";
}

void log_writer::flush() {
  for (std::size_t i = 0; i < max_writes && !buffer_.empty(); ++i) {
    pollfd ready{descriptor_, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    const ssize_t written =
        ::write(descriptor_, buffer_.data(), std::min(buffer_.size(), atomic_write_size));
    if (written <= 0) {
      return; // the reader has exited; lines are dropped once the buffer is full
    }
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
}

} // namespace arbutuslb::runtime
