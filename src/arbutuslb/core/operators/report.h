// Answers to operators: tables and lines that a program reads as JSON and a person as text.
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
  refused = 1,     // the command was refused, or what was asked does not hold
  wrong_input = 2, // nothing was done
  not_accepted = 3,
  unknown = 4, // the command may yet take effect; `show command ID` tells
  unreachable = 5
};

struct table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

struct report {
  exit_code code = exit_code::ok;
  std::string result; // one word or short phrase
  std::vector<std::pair<std::string, std::string>> facts;
  std::vector<finding> findings;
  std::vector<std::string> notes;
  table details;
};

std::string to_json_text(const report& value);
// Throws `findings_error` if the text is no report.
report parse_report(std::string_view text);
std::string to_text(const report& value);

} // namespace arbutuslb::core::operators
