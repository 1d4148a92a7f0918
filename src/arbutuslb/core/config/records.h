// The records of the configuration log.
//
// A record holds one command. `configuration::apply` accepts or refuses it as a unit.
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

// The maximum size of a record, in bytes.
inline constexpr std::size_t max_record_bytes = std::size_t{256} * 1024;

// Creates or replaces some objects and removes others.
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
  time_point deadline; // the time by which the move must be complete
  move_limits limits;
  friend bool operator==(const move_command&, const move_command&) = default;
};

// Stops a running move at an operator's request and returns all traffic to the old version.
struct stop_move_command {
  std::string service;
  friend bool operator==(const stop_move_command&, const stop_move_command&) = default;
};

// Sets the traffic share of the new version in a running move. Written by a judge.
struct move_step_command {
  config_version move_id = 0;
  int share_permille = 0;
  friend bool operator==(const move_step_command&, const move_step_command&) = default;
};

// Ends a running move. Written by a judge; the first verdict in the log is final.
struct move_verdict_command {
  config_version move_id = 0;
  bool done = false; // false: the move is rolled back
  std::string reason;
  friend bool operator==(const move_verdict_command&, const move_verdict_command&) = default;
};

// Takes a failure domain out of service.
struct withdraw_command {
  std::string domain;
  friend bool operator==(const withdraw_command&, const withdraw_command&) = default;
};

// Returns a withdrawn failure domain to service.
struct return_command {
  std::string domain;
  friend bool operator==(const return_command&, const return_command&) = default;
};

using command = std::variant<publish_command, move_command, stop_move_command, move_step_command,
                             move_verdict_command, withdraw_command, return_command>;

// A command with its issuer and the versions of its objects that the issuer expected.
struct record {
  std::string command_id;
  std::string operator_name;
  time_point issued_at;
  // The expected version of the last change by object key, such as "service/menu"; 0 if the object
  // must not exist.
  std::map<std::string, config_version> expected_versions;
  command body;
  friend bool operator==(const record&, const record&) = default;
};

// Parses one record. Throws `findings_error` with every fault of its syntax.
record parse_record(std::string_view bytes);

// Returns the serialized record, from which `parse_record` restores an equal record.
std::string serialize(const record& value);

// Parses the document of a `publish` command (JSON with comments). Throws `findings_error`.
publish_command parse_publish_document(std::string_view text);

// Returns the keys of the objects that an operator's command changes; empty for a judge's command.
std::vector<std::string> affected_object_keys(const command& value);

std::string service_key(std::string_view name);
std::string route_key(std::string_view name);
std::string domain_key(std::string_view name);
// Returns the key of the latest move of `service`. A service has at most one running move.
std::string move_key(std::string_view service);

} // namespace arbutuslb::core::config
