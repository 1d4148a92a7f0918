// Actions that a daemon core requests from its host: the output of `daemon_core::handle`.
#pragma once

#include "arbutuslb/core/protocol/messages.h"

#include <limits>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace arbutuslb::core::engine {

// Datagrams may be lost. Messages on the stream stay in order as long as the connection is open.
enum class channel : std::uint8_t { datagram, stream };

struct send_message {
  peer_address to;
  protocol::message value;
  channel via = channel::datagram;
};

// Offset that stands for the newest record of a stream.
inline constexpr std::uint64_t latest_record = std::numeric_limits<std::uint64_t>::max();
// Reads a stream of the log. Answered by one `log_read` with the same request number.
struct read_log {
  std::uint64_t request = 0;
  std::string stream;
  std::uint64_t from_offset = 1; // offset of the first record to read, or `latest_record`
  duration wait{};               // longest wait for a record if there is none yet; 0: no wait
};
// Appends a record to a stream. Answered by one `log_appended` with the same request number.
struct append_log {
  std::uint64_t request = 0;
  std::string stream;
  std::string record;
};

// Answers the call that `call_received` submitted with the same token.
struct answer_caller {
  std::uint64_t token = 0;
  protocol::call_outcome outcome = protocol::call_outcome::unknown;
  std::string reason; // empty if the outcome is `answered`
  protocol::call_answer answer;
  // The remaining fields are for metrics only.
  config::request_class priority = config::request_class::normal;
  std::string service; // empty if the call was refused before a route was found
  duration latency{};  // from the receipt of the call to this answer
};

// Sends a request to the local upstream. Answered by one `upstream_answered` or `upstream_failed`
// with the same execution number.
struct execute_request {
  std::uint64_t execution = 0;
  protocol::call_content content;
  duration time_left{}; // until the request's deadline
};
// Cancels a request at the local upstream because its answer is no longer needed. The execution
// still ends with one `upstream_answered` or `upstream_failed`.
struct cancel_execution {
  std::uint64_t execution = 0;
};

// Answers the command that `operator_command_received` submitted with the same token.
struct answer_operator {
  std::uint64_t token = 0;
  int exit_code = 0; // of the operator's command-line tool
  std::string body;  // JSON
};

enum class severity : std::uint8_t { info, warning, error };
// Writes one event to the daemon's log output, as key=value pairs.
struct write_event {
  severity level = severity::info;
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;
};

// Ends the process; the planned stop is complete.
struct exit_process {};

using action = std::variant<send_message, read_log, append_log, answer_caller, execute_request,
                            cancel_execution, answer_operator, write_event, exit_process>;

} // namespace arbutuslb::core::engine
