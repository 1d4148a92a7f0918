#include "arbutuslb/runtime/logging.h"
#include "arbutuslb/runtime/settings.h"

#include <criterion/criterion.h>

namespace {

using namespace arbutuslb;
using namespace arbutuslb::runtime;

std::vector<core::finding> findings_of(const std::string& text) {
  try {
    parse_settings(text);
  } catch (const core::findings_error& error) {
    return error.findings();
  }
  return {};
}

bool has_finding(const std::vector<core::finding>& findings, const std::string& place,
                 const std::string& part) {
  const auto fits = [&](const core::finding& item) {
    return item.place == place && item.text.find(part) != std::string::npos;
  };
  return std::any_of(findings.begin(), findings.end(), fits);
}

} // namespace

Test(settings, the_example_file_is_valid) {
  const daemon_settings settings = read_settings(ARBUTUSLB_SOURCE_DIR "/examples/daemon.json");
  cr_assert_eq(settings.core.instance, "district-1-menu");
  cr_assert_eq(settings.core.seeds.size(), 1U);
}

Test(settings, all_findings_are_reported_at_once_with_their_places) {
  const std::vector<core::finding> findings = findings_of(R"({
    "instance": "A B", "failure_domian": "d1",
    "listen": {"host": "localhost", "datagram_port": 0, "stream_port": 2, "call_port": 3,
               "operator_port": 70000},
    "upstream": {"host": "127.0.0.1", "port": 4, "service": "menu", "version": "v1"},
    "log": {"host": "127.0.0.1", "port": "x"}})");
  cr_assert(has_finding(findings, "instance", "expected a name"));
  cr_assert(has_finding(findings, "failure_domain", "is missing"));
  cr_assert(has_finding(findings, "failure_domian", "did you mean \"failure_domain\"?"));
  cr_assert(has_finding(findings, "listen.host", "IPv4 address"));
  cr_assert(has_finding(findings, "listen.datagram_port", "whole number"));
  cr_assert(has_finding(findings, "listen.operator_port", "whole number"));
  cr_assert(has_finding(findings, "log.port", "whole number"));
}

Test(settings, malformed_json_is_reported_with_line_and_column) {
  const std::vector<core::finding> findings = findings_of("{\n  \"instance\": \"a\",\n  oops\n}");
  cr_assert_eq(findings.size(), 1U);
  cr_assert_eq(findings[0].place.find("line 3"), 0U);
}

Test(settings, a_missing_file_is_a_finding) {
  cr_assert_throw(read_settings("/nonexistent/file"), core::findings_error);
}

Test(logging, an_event_becomes_one_line_of_pairs) {
  const core::engine::write_event event{
      core::engine::severity::info, "ready", {{"version", "3"}, {"reason", "two words\nlines"}}};
  cr_assert_eq(format_event(event), "event=ready version=3 reason=\"two words;lines\"");
}
