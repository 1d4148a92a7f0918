// The records of the configuration's log.
//
// One record is one command. It is accepted or refused as a whole by `configuration::fold`.
//
//   record parsed = parse_record(bytes);        // throws findings_error
//   std::string bytes = serialize(parsed);
#pragma once

#include "arbutuslb/core/config/model.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace arbutuslb::core::config {

// The longest record that is accepted, in bytes.
inline constexpr std::size_t max_record_bytes = std::size_t{256} * 1024;

// Creates or replaces objects, and removes others.
struct publish_command {
  std::vector<failure_domain> domains;
  std::vector<service> services;
  std::vector<route> routes;
  std::vector<std::string> removed_services;
  std::vector<std::string> removed_routes;
  friend bool operator==(const publish_command&, const publish_command&) = default;
};

struct move_command {
  std::string service;
  std::string from;
  std::string to;
  time_point deadline;
  move_limits limits;
  friend bool operator==(const move_command&, const move_command&) = default;
};

// Ends a running move by an operator's word: traffic goes back to the old version.
struct stop_move_command {
  std::string service;
  friend bool operator==(const stop_move_command&, const stop_move_command&) = default;
};

// Written by a judge: the next share of a running move.
struct move_step_command {
  config_version move_id = 0;
  int share_permille = 0;
  friend bool operator==(const move_step_command&, const move_step_command&) = default;
};

// Written by a judge. The first verdict in the order of the log stands.
struct move_verdict_command {
  config_version move_id = 0;
  bool done = false; // false: taken back
  std::string reason;
  friend bool operator==(const move_verdict_command&, const move_verdict_command&) = default;
};

struct withdraw_command {
  std::string domain;
  friend bool operator==(const withdraw_command&, const withdraw_command&) = default;
};

struct return_command {
  std::string domain;
  friend bool operator==(const return_command&, const return_command&) = default;
};

using command = std::variant<publish_command, move_command, stop_move_command, move_step_command,
                             move_verdict_command, withdraw_command, return_command>;

// A command with who gave it and which versions of its objects it was written against.
struct record {
  std::string command_id;
  std::string operator_name;
  time_point issued_at;
  std::map<std::string, config_version> expected_versions; // by object key, such as "service/menu"
  command body;
  friend bool operator==(const record&, const record&) = default;
};

// Parses one record. Throws `findings_error` with every fault of its form.
record parse_record(std::string_view bytes);

// Returns the record's bytes; `parse_record` gives the same record back.
std::string serialize(const record& value);

// Parses the document of an operator's `publish` (JSON with comments). Throws `findings_error`.
publish_command parse_publish_document(std::string_view text);

// Returns the keys of the objects that the command changes.
std::vector<std::string> affected_object_keys(const command& value);

std::string service_key(std::string_view name);
std::string route_key(std::string_view name);
std::string domain_key(std::string_view name);
// A service has one place for its running move.
std::string move_key(std::string_view service);

} // namespace arbutuslb::core::config
