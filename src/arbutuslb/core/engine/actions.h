// What a daemon wants done: the output of `daemon_core::handle`.
#pragma once

#include "arbutuslb/core/protocol/messages.h"

#include <limits>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace arbutuslb::core::engine {

// Datagrams may be lost; the stream is ordered while the connection holds.
enum class channel : std::uint8_t { datagram, stream };

struct send_message {
  peer_address to;
  protocol::message value;
  channel via = channel::datagram;
};

inline constexpr std::uint64_t latest_record = std::numeric_limits<std::uint64_t>::max();
// Read a stream of the log. Answered by one `log_read` with the same request number.
struct read_log {
  std::uint64_t request = 0;
  std::string stream;
  std::uint64_t from_offset = 1; // or `latest_record`
  duration wait{};               // for a record to come
};
// Answered by one `log_appended` with the same request number.
struct append_log {
  std::uint64_t request = 0;
  std::string stream;
  std::string record;
};

struct answer_caller {
  std::uint64_t token = 0;
  protocol::call_outcome outcome = protocol::call_outcome::unknown;
  std::string reason;
  protocol::call_answer answer;
  // For metrics.
  config::request_class priority = config::request_class::normal;
  std::string service;
  duration latency{};
};

// Answered by one `upstream_answered` or `upstream_failed`.
struct execute_request {
  std::uint64_t execution = 0;
  protocol::call_content content;
  duration time_left{};
};
// The caller no longer wants the answer.
struct cancel_execution {
  std::uint64_t execution = 0;
};

struct answer_operator {
  std::uint64_t token = 0;
  int exit_code = 0;
  std::string body; // JSON
};

enum class severity : std::uint8_t { info, warning, error };
// One event for the log, as key=value pairs.
struct write_event {
  severity level = severity::info;
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;
};

// The planned stop is complete.
struct exit_process {};

using action = std::variant<send_message, read_log, append_log, answer_caller, execute_request,
                            cancel_execution, answer_operator, write_event, exit_process>;

} // namespace arbutuslb::core::engine
