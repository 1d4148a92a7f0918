#include "arbutuslb/core/operators/language.h"
#include "arbutuslb/core/operators/report.h"

#include <criterion/criterion.h>

namespace {

using namespace arbutuslb::core;
using namespace arbutuslb::core::operators;

const time_point now{std::chrono::hours{24}};

std::vector<finding> findings_of(const std::string& text) {
  try {
    parse_statement(text, now);
  } catch (const findings_error& error) {
    return error.findings();
  }
  return {};
}

} // namespace

Test(language, every_verb_form_parses_with_plain_arguments) {
  for (const verb_form& form : verb_forms()) {
    std::string text(form.pattern);
    for (const auto& [word, value] : std::map<std::string, std::string>{{"VERSION2", "v2"},
                                                                        {"TIME", "+10m"},
                                                                        {"PERCENT", "2"},
                                                                        {"RATIO", "1.5"},
                                                                        {"NUMBER", "7"},
                                                                        {"SECONDS", "3"}}) {
      const std::size_t found = text.find(word);
      if (found != std::string::npos) {
        text.replace(found, word.size(), value);
      }
    }
    cr_assert(findings_of(text).empty(), "%s", text.c_str());
  }
}

Test(language, move_is_parsed_with_its_deadline) {
  const statement parsed = parse_statement("move menu from v1 to v2 by +10m", now);
  const config::move_command move =
      std::get<config::move_command>(std::get<command_request>(parsed).body);
  cr_assert_eq(move.to, "v2");
  cr_assert(move.deadline == now + std::chrono::minutes{10});
}

Test(language, wrong_word_is_reported_with_its_place_and_expected_words) {
  const std::vector<finding> findings = findings_of("show servises");
  cr_assert_eq(findings.size(), 1U);
  cr_assert_eq(findings[0].place, "word 2");
  cr_assert(findings[0].text.find("did you mean \"services\"") != std::string::npos);
}

Test(language, missing_word_is_reported_with_its_place) {
  const std::vector<finding> findings = findings_of("move menu from v1");
  cr_assert_eq(findings[0].place, "word 5");
  cr_assert(findings[0].text.find("expected to") != std::string::npos);
}

Test(language, unknown_verb_is_refused) {
  cr_assert_eq(findings_of("destroy everything")[0].place, "word 1");
  cr_assert_eq(findings_of("")[0].place, "word 1");
}

Test(language, times_that_are_wrong_or_past_are_refused) {
  for (const char* time : {"soon", "+m", "+0s", "2026-13-01T00:00:00Z", "1960-01-01T00:00:00Z"}) {
    cr_assert_not(findings_of(std::string("move a from b to c by ") + time).empty(), "%s", time);
  }
}

Test(language, time_round_trip_preserves_the_text) {
  const time_point value = parse_time("2026-12-04T05:06:07Z", now);
  cr_assert_eq(format_time(value), "2026-12-04T05:06:07Z");
}

Test(report, json_round_trip_preserves_the_report) {
  report value;
  value.code = exit_code::refused;
  value.result = "refused";
  value.facts = {{"version", "3"}};
  value.findings = {{"routes[0]", "wrong"}};
  value.notes = {"a note"};
  value.details = {{"a", "b"}, {{"1", "2"}}};
  const report copy = parse_report(to_json_text(value));
  cr_assert_eq(to_text(copy), to_text(value));
  cr_assert_eq(copy.code, value.code);
}
