// The configuration's objects: services, routes, failure domains and moves.
//
// All are regular value types. Each remembers the offset of the record that last changed it, which
// is what a later command is checked against.
#pragma once

#include "arbutuslb/core/base/ids.h"
#include "arbutuslb/core/base/time.h"

#include <map>
#include <string>
#include <vector>

namespace arbutuslb::core::config {

// The order in which work is shed: the lowest value is kept longest.
enum class request_class : std::uint8_t { critical, normal, deferrable };

inline constexpr std::size_t request_class_count = 3;

// Who changed an object last.
struct change_info {
  config_version version = 0;
  std::string command_id;
  std::string operator_name;
  friend bool operator==(const change_info&, const change_info&) = default;
};

struct service {
  std::string name;
  std::vector<std::string> versions;
  std::string active; // the version that takes all traffic while no move runs
  int slots = 10;     // requests that one upstream runs at once
  int connections = 120;
  double retry_budget = 0.1; // retries as a fraction of calls
  change_info last_change;
  friend bool operator==(const service&, const service&) = default;
};

struct route {
  std::string name;
  std::string path_prefix;
  std::string service;
  bool idempotent = true;
  request_class priority = request_class::normal;
  change_info last_change;
  friend bool operator==(const route&, const route&) = default;
};

struct failure_domain {
  std::string name;
  std::string region;
  bool withdrawn = false;
  change_info last_change;
  friend bool operator==(const failure_domain&, const failure_domain&) = default;
};

enum class move_state : std::uint8_t { running, done, rolled_back, stopped };

// What the new version may cost against the old one before it is taken back.
struct move_limits {
  double max_error_increase = 0.02; // as a fraction of calls
  double max_latency_ratio = 1.5;
  friend bool operator==(const move_limits&, const move_limits&) = default;
};

// A planned move of a service's traffic. Its id is the offset of the record that commanded it.
struct move {
  config_version id = 0;
  std::string service;
  std::string from;
  std::string to;
  time_point started;
  time_point deadline;
  move_limits limits;
  move_state state = move_state::running;
  int share_permille = 0; // the new version's share of traffic
  std::string reason;     // why it ended; empty while it runs
  change_info last_change;
  friend bool operator==(const move&, const move&) = default;
};

// What became of a command, kept so that a repeated command has one effect and one answer.
struct command_outcome {
  config_version version = 0;
  bool accepted = false;
  std::string text; // the findings of a refused command
  friend bool operator==(const command_outcome&, const command_outcome&) = default;
};

const char* to_string(request_class value);
const char* to_string(move_state value);

} // namespace arbutuslb::core::config
