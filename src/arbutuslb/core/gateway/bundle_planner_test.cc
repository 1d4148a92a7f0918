// Tests of which reports a bundle contains in full.

#include "arbutuslb/core/gateway/bundle_planner.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace arbutuslb::core::gateway;

constexpr std::size_t members = 100;

std::vector<aged_report> make_reports() {
  std::vector<aged_report> reports;
  for (std::size_t i = 0; i < members; ++i) {
    peer_report report;
    report.host = "10.0.0." + std::to_string(i);
    report.process_epoch = 1;
    report.service = "menu";
    report.instance_id = "i-" + std::to_string(i);
    report.is_usable = true;
    report.limit = 8;
    reports.push_back({report, 5ms});
  }
  return reports;
}

bool contains(const report_bundle& bundle, const std::string& host) {
  return std::any_of(bundle.reports.begin(), bundle.reports.end(),
                     [&](const aged_report& item) { return item.content.host == host; });
}

// A planner that has sent every report as often as a new one is sent.
struct settled_planner {
  settled_planner() {
    for (std::uint64_t i = 0; i < full_report_interval; ++i) {
      planner.plan(make_reports());
    }
  }
  bundle_planner planner;
};

} // namespace

Test(bundle_planner, every_member_is_in_every_bundle_and_most_are_only_mentioned) {
  settled_planner settled;
  for (std::uint64_t i = 0; i < full_report_interval; ++i) {
    const report_bundle bundle = settled.planner.plan(make_reports());
    cr_assert_eq(bundle.reports.size() + bundle.presences.size(), members);
    cr_assert(bundle.reports.size() < members / 2, "%zu", bundle.reports.size());
  }
}

Test(bundle_planner, every_report_is_sent_in_full_within_the_interval) {
  settled_planner settled;
  std::size_t sent = 0;
  for (std::uint64_t i = 0; i < full_report_interval; ++i) {
    sent += settled.planner.plan(make_reports()).reports.size();
  }
  cr_assert_eq(sent, members);
}

Test(bundle_planner, a_change_of_state_is_sent_at_once_and_once_more) {
  const std::vector<void (*)(peer_report&)> changes{
      [](peer_report& report) { report.is_usable = false; },
      [](peer_report& report) { report.is_stopping = true; },
      [](peer_report& report) { report.instance_id = "i-new"; },
      [](peer_report& report) { report.version = "v2"; },
      [](peer_report& report) { report.process_epoch = 2; },
      [](peer_report& report) { report.rate_limit = 3; },
      [](peer_report& report) {
        report.operator_log_end = {1, 9};
      },
      [](peer_report& report) { report.is_store_reachable = false; },
      [](peer_report& report) {
        report.rollouts = {{1, 10, rollout_phase::running}};
      },
  };
  for (const auto& change : changes) {
    settled_planner settled;
    std::vector<aged_report> reports = make_reports();
    change(reports.front().content);
    cr_assert(contains(settled.planner.plan(reports), "10.0.0.0"));
    cr_assert(contains(settled.planner.plan(reports), "10.0.0.0"));
  }
}

Test(bundle_planner, a_load_that_changes_by_half_of_the_limit_is_sent) {
  settled_planner settled;
  std::vector<aged_report> reports = make_reports();
  for (aged_report& item : reports) {
    item.content.in_flight = 4;
  }
  cr_assert_eq(settled.planner.plan(reports).reports.size(), members);
}
