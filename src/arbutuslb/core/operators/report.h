// Reports that answer the statements of operators, as JSON for programs and as text for people.
//
//   report answer;
//   answer.result = "accepted";
//   answer.facts.push_back({"version", "12"});
//   std::string body = to_json_text(answer);
//   std::string text = to_text(answer);
#pragma once

#include "arbutuslb/core/base/finding.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutuslb::core::operators {

// The exit codes of `arbutuslb ctl`.
enum class exit_code : int {
  ok = 0,
  refused = 1,      // the command was refused, or the condition asked about does not hold
  wrong_input = 2,  // the input is invalid; nothing was done
  not_accepted = 3, // the log did not accept the record; nothing was done
  unknown = 4,      // the command may still take effect; `show command ID` tells its outcome
  unreachable = 5   // the daemon did not answer
};

struct table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

struct report {
  exit_code code = exit_code::ok;
  std::string result;                                     // one word or short phrase
  std::vector<std::pair<std::string, std::string>> facts; // names and values
  std::vector<finding> findings;
  std::vector<std::string> notes;
  table details;
};

std::string to_json_text(const report& value);
// Parses the result of `to_json_text`. Throws `findings_error` if the text is not a report.
report parse_report(std::string_view text);
std::string to_text(const report& value);

} // namespace arbutuslb::core::operators
