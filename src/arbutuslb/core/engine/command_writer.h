// Appends commands to the log and retries each until its outcome is known or its deadline passes.
//
// If the answer to an append is lost, the same command is appended again; a record whose command id
// was already applied has no effect. A command counts as accepted only after this daemon has
// applied its record from the log.
//
//   writer.submit(record, deadline);
//   for (const completed_command& done : writer.take_completed()) { ... }
#pragma once

#include "arbutuslb/core/engine/context.h"
#include "arbutuslb/core/engine/events.h"

#include <map>

namespace arbutuslb::core::engine {

inline constexpr std::chrono::milliseconds append_timeout{2000};
inline constexpr std::chrono::milliseconds append_retry_delay{200};

enum class command_result : std::uint8_t {
  accepted,
  refused,      // in the log, but refused when applied; the findings are in the outcome
  not_appended, // the log refused every append; the command has no effect
  unknown       // an append may have succeeded; the command may still take effect
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

  // Starts to write the command. Does nothing if a command with the same id is already being
  // written.
  void submit(const config::record& value, time_point deadline);
  bool is_writing(const std::string& command_id) const { return pending_.contains(command_id); }
  void on_log_appended(const log_appended& result);
  void on_tick();
  std::vector<completed_command> take_completed() { return std::exchange(completed_, {}); }

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
  std::vector<completed_command> completed_;
};

} // namespace arbutuslb::core::engine
