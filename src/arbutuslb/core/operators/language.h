// The query and command language of operators. A table of verb forms defines its syntax.
//
//   statement parsed = parse_statement("move menu from v1 to v2 by +10m", now);
//
// A syntax error results in a finding that tells the place and the expected words; the statement is
// not executed.
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
  command // the outcome of the command with the id `show_query::name`
};

struct show_query {
  show_subject subject = show_subject::services;
  std::string name; // empty unless `subject` is `command`
};
// Asks which version is in force, by failure domain.
struct in_force_query {};
// Publishes the document that is sent with the statement.
struct publish_request {};
// Any command other than `publish`.
struct command_request {
  config::command body;
};
// Waits until the version is in force in all failure domains.
struct wait_request {
  config_version version = 0;
  duration timeout{};
};
// Asks for the status of the service's latest move and the reasons for it.
struct explain_request {
  std::string service;
};
struct help_request {};

using statement = std::variant<show_query, in_force_query, publish_request, command_request,
                               wait_request, explain_request, help_request>;

// The timeout of a `wait` without `within`.
inline constexpr std::chrono::seconds default_wait_timeout{10};

// Parses a statement. `now` is the base of relative times. Throws `findings_error`, whose places
// are a word position such as `word 3` or the name of an argument.
statement parse_statement(std::string_view text, time_point now);

// The syntax of one form of a verb. Words in capitals are placeholders of arguments.
struct verb_form {
  std::string_view pattern;
  std::string_view help;
};
std::span<const verb_form> verb_forms();

// Parses a time such as `+90s`, `+10m`, `+2h` or `2026-12-04T05:00:00Z`. Throws `findings_error`.
time_point parse_time(std::string_view text, time_point now);

// Returns the time as `2026-12-04T05:00:00Z`.
std::string format_time(time_point value);

} // namespace arbutuslb::core::operators
