// What happens to a daemon: the input of `daemon_core::handle`.
#pragma once

#include "arbutuslb/core/protocol/messages.h"

#include <string>
#include <variant>
#include <vector>

namespace arbutuslb::core::engine {

// Time has passed. Expected about every `tick_period`.
struct tick {};
inline constexpr std::chrono::milliseconds tick_period{50};

struct peer_message {
  protocol::message value;
};

// The records of a stream from the asked offset on, in order. `failed` if the log did not answer.
struct log_read {
  std::uint64_t request = 0;
  std::string stream;
  bool failed = false;
  std::uint64_t first_offset = 0;
  std::vector<std::string> records;
  std::uint64_t oldest_offset = 1; // of the records that the log still keeps
  std::uint64_t next_offset = 1;   // that the next record will have
};

enum class append_result : std::uint8_t { appended, refused, unknown };
struct log_appended {
  std::uint64_t request = 0;
  append_result result = append_result::unknown;
  std::uint64_t offset = 0;
};

// A caller's request, as it came in.
struct call_received {
  std::uint64_t token = 0;
  protocol::call_content content;
  duration time_left{}; // until the caller's deadline; zero if the caller gave none
};
// The caller went away.
struct caller_disconnected {
  std::uint64_t token = 0;
};

// The upstream's whole answer.
struct upstream_answered {
  std::uint64_t execution = 0;
  protocol::call_answer answer;
};
enum class upstream_fault : std::uint8_t {
  not_connected, // no connection came about, so nothing was sent
  died,          // the connection broke and the upstream is gone
  broken,        // the connection or the answer broke, the upstream still listens
  timed_out
};
struct upstream_failed {
  std::uint64_t execution = 0;
  upstream_fault fault = upstream_fault::broken;
};

struct operator_command_received {
  std::uint64_t token = 0;
  std::string text;       // the command, such as "move menu from v1 to v2 by +10m"
  std::string document;   // for publish
  std::string command_id; // empty: the daemon makes one
  std::string operator_name;
};

// A planned stop was asked for.
struct stop_requested {};

using event =
    std::variant<tick, peer_message, log_read, log_appended, call_received, caller_disconnected,
                 upstream_answered, upstream_failed, operator_command_received, stop_requested>;

} // namespace arbutuslb::core::engine
