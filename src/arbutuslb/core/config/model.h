// The objects of the configuration: services, routes, failure domains and moves.
//
// All are regular value types. Each has the log offset of the record that last changed it, so that
// a command that was issued against an older version can be refused.
#pragma once

#include "arbutuslb/core/base/ids.h"
#include "arbutuslb/core/base/time.h"

#include <map>
#include <string>
#include <vector>

namespace arbutuslb::core::config {

// Priority classes of requests, most important first. Under overload the last class is shed first.
enum class request_class : std::uint8_t { critical, normal, deferrable };

inline constexpr std::size_t request_class_count = 3;

// The command that last changed an object.
struct change_info {
  config_version version = 0;
  std::string command_id;
  std::string operator_name;
  friend bool operator==(const change_info&, const change_info&) = default;
};

struct service {
  std::string name;
  std::vector<std::string> versions;
  std::string active; // the version that receives all traffic while no move is running
  int slots = 10;     // requests that one upstream executes concurrently
  int connections = 120;
  double retry_budget = 0.1; // maximum number of retries as a fraction of calls
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
  bool withdrawn = false; // the domain receives no new calls
  change_info last_change;
  friend bool operator==(const failure_domain&, const failure_domain&) = default;
};

enum class move_state : std::uint8_t { running, done, rolled_back, stopped };

// How much worse than the old version the new one may be before the move is rolled back.
struct move_limits {
  double max_error_increase = 0.02; // of the error rate, as a fraction of calls
  double max_latency_ratio = 1.5;   // latency of the new version to that of the old one
  friend bool operator==(const move_limits&, const move_limits&) = default;
};

// A gradual move of a service's traffic from one version to another.
struct move {
  config_version id = 0; // log offset of the record of the move command
  std::string service;
  std::string from; // the old version
  std::string to;   // the new version
  time_point started;
  time_point deadline; // the time by which the move must be complete
  move_limits limits;
  move_state state = move_state::running;
  int share_permille = 0; // the new version's share of traffic
  std::string reason;     // why the move ended; empty while it is running
  change_info last_change;
  friend bool operator==(const move&, const move&) = default;
};

// The outcome of a command, retained so that a repeated command has one effect and one answer.
struct command_outcome {
  config_version version = 0; // log offset of the command's record
  bool accepted = false;
  std::string text; // the findings of a refused command; empty if it was accepted
  friend bool operator==(const command_outcome&, const command_outcome&) = default;
};

const char* to_string(request_class value);
const char* to_string(move_state value);

} // namespace arbutuslb::core::config
