// Events that a host delivers to a daemon core: the input of `daemon_core::handle`.
#pragma once

#include "arbutuslb/core/protocol/messages.h"

#include <string>
#include <variant>
#include <vector>

namespace arbutuslb::core::engine {

// Drives timeouts and periodic work. The host delivers one about every `tick_period`.
struct tick {};
inline constexpr std::chrono::milliseconds tick_period{50};

// A message from another daemon.
struct peer_message {
  protocol::message value;
};

// Result of `read_log`: the records of a stream from the requested offset on, in order.
struct log_read {
  std::uint64_t request = 0;
  std::string stream;
  bool failed = false;            // no valid answer from the log; ignore the fields below
  std::uint64_t first_offset = 0; // of the first element of `records`
  std::vector<std::string> records;
  std::uint64_t oldest_offset = 1; // of the oldest record that the log retains
  std::uint64_t next_offset = 1;   // of the next record to be appended
};

// `unknown`: the log did not answer, so the record may or may not have been appended.
enum class append_result : std::uint8_t { appended, refused, unknown };
// Result of `append_log`.
struct log_appended {
  std::uint64_t request = 0;
  append_result result = append_result::unknown;
  std::uint64_t offset = 0; // of the record, if the result is `appended`
};

// A request received from a caller. Answered by one `answer_caller` with the same token.
struct call_received {
  std::uint64_t token = 0;
  protocol::call_content content;
  duration time_left{}; // until the caller's deadline; 0 if the request has none
};
// The caller disconnected before its call was answered.
struct caller_disconnected {
  std::uint64_t token = 0;
};

// The local upstream's complete answer to `execute_request`.
struct upstream_answered {
  std::uint64_t execution = 0;
  protocol::call_answer answer;
};
enum class upstream_fault : std::uint8_t {
  not_connected, // the connection attempt failed, so nothing was sent
  died,          // the connection broke and the upstream no longer accepts connections
  broken,        // the connection or the answer broke; the upstream still accepts connections
  timed_out      // no complete answer before the deadline
};
// The local upstream gave no complete answer to `execute_request`.
struct upstream_failed {
  std::uint64_t execution = 0;
  upstream_fault fault = upstream_fault::broken;
};

// An operator's command. Answered by one `answer_operator` with the same token.
struct operator_command_received {
  std::uint64_t token = 0;
  std::string text;       // the command, such as "move menu from v1 to v2 by +10m"
  std::string document;   // the document of a `publish`; otherwise empty
  std::string command_id; // empty: the daemon generates one
  std::string operator_name;
};

// Requests a planned stop. `exit_process` follows when it is complete.
struct stop_requested {};

using event =
    std::variant<tick, peer_message, log_read, log_appended, call_received, caller_disconnected,
                 upstream_answered, upstream_failed, operator_command_received, stop_requested>;

} // namespace arbutuslb::core::engine
