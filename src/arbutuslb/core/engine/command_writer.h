// Appends commands to the log until it is known what became of them.
//
// A lost answer is cured by appending the same command again: the fold ignores a repeated id. A
// command is accepted only when it was read back.
//
//   writer.submit(record, deadline);
//   for (const completed_command& done : writer.take_completed()) { ... }
#pragma once

#include "arbutuslb/core/engine/context.h"
#include "arbutuslb/core/engine/events.h"

#include <map>

namespace arbutuslb::core::engine {

inline constexpr std::chrono::milliseconds append_timeout{2000};
inline constexpr std::chrono::milliseconds append_retry_pause{200};

enum class command_result : std::uint8_t {
  accepted,
  refused,      // by the fold; the findings are in the outcome
  not_appended, // the log refused each time: the command has no effect
  unknown       // an append may have taken effect
};

struct completed_command {
  std::string command_id;
  command_result how = command_result::unknown;
  config::command_outcome outcome;
};

// Not thread-safe.
class command_writer {
public:
  explicit command_writer(context& shared) : shared_(shared) {}

  // Does nothing if the command is being written already.
  void submit(const config::record& value, time_point deadline);
  bool is_writing(const std::string& command_id) const { return pending_.contains(command_id); }
  void on_log_appended(const log_appended& result);
  void on_tick();
  std::vector<completed_command> take_completed() { return std::exchange(settled_, {}); }

private:
  struct pending_command {
    std::string bytes;
    time_point deadline;
    std::uint64_t request = 0; // the outstanding append; 0 if none
    time_point sent{};
    time_point retry_at{};
    bool is_appended = false;
    bool may_be_appended = false;
  };
  void advance(const std::string& command_id, pending_command& command);

  context& shared_;
  std::map<std::string, pending_command> pending_;
  std::vector<completed_command> settled_;
};

} // namespace arbutuslb::core::engine
