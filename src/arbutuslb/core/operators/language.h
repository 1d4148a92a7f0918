// The operators' query and command language: one table of verbs, parsed to a statement.
//
//   statement parsed = parse_statement("move menu from v1 to v2 by +10m", now);
//
// A wrong word gives a finding with its place, what was expected, and nothing is done.
#pragma once

#include "arbutuslb/core/base/finding.h"
#include "arbutuslb/core/base/time.h"
#include "arbutuslb/core/config/records.h"

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace arbutuslb::core::operators {

enum class show_subject : std::uint8_t {
  services,
  routes,
  versions,
  moves,
  domains,
  members,
  command // the outcome of the command named in `show_query::name`
};

struct show_query {
  show_subject subject = show_subject::services;
  std::string name;
};
struct in_force_query {};
struct publish_request {};
struct command_request {
  config::command body;
};
struct wait_request {
  config_version version = 0;
  duration timeout{};
};
// Where the service's latest move stands and why.
struct explain_request {
  std::string service;
};
struct help_request {};

using statement = std::variant<show_query, in_force_query, publish_request, command_request,
                               wait_request, explain_request, help_request>;

inline constexpr std::chrono::seconds default_wait{10};

// Throws `findings_error`; places are `word 3` or the name of the argument.
statement parse_statement(std::string_view text, time_point now);

// One form of a verb. Words in capitals stand for arguments.
struct verb_form {
  std::string_view pattern;
  std::string_view help;
};
std::span<const verb_form> verb_forms();

// Parses `+90s`, `+10m`, `+2h` or `2026-12-04T05:00:00Z`. Throws `findings_error`.
time_point parse_time(std::string_view text, time_point now);

// Returns the time as `2026-12-04T05:00:00Z`.
std::string format_time(time_point value);

} // namespace arbutuslb::core::operators
