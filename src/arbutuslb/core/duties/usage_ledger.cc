#include "arbutuslb/core/duties/usage_ledger.h"

#include <algorithm>
#include <utility>

namespace arbutuslb::core::duties {

void usage_ledger::merge(const usage_report& report) {
  for (const usage_report::counter& item : report.counters) {
    std::uint64_t& count =
        windows_[item.window].counters[report.host][report.process_epoch][item.organisation];
    count = std::max(count, item.count);
  }
  for (const window_number window : report.complete) {
    windows_[window].complete.insert(report.host);
  }
}

usage_counts usage_ledger::counts(window_number window) const {
  usage_counts sums;
  const auto found = windows_.find(window);
  if (found == windows_.end()) {
    return sums;
  }
  for (const auto& [host, processes] : found->second.counters) {
    for (const auto& [epoch, counters] : processes) {
      for (const auto& [organisation, count] : counters) {
        sums[organisation] += count;
      }
    }
  }
  return sums;
}

bool usage_ledger::is_complete(window_number window, const std::string& host) const {
  const auto found = windows_.find(window);
  return found != windows_.end() && found->second.complete.contains(host);
}

void usage_ledger::remove_before(window_number window) {
  windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

void usage_counter::add(window_number window, const std::string& organisation) {
  ++counts_[window][organisation];
  changed_.emplace(window, organisation);
}

void usage_counter::complete(window_number window) {
  if (complete_.insert(window).second) {
    newly_complete_.insert(window);
  }
}

void usage_counter::resend_all() {
  for (const auto& [window, counts] : counts_) {
    for (const auto& [organisation, count] : counts) {
      changed_.emplace(window, organisation);
    }
  }
  newly_complete_ = complete_;
}

std::vector<usage_report> usage_counter::take_changes(std::size_t max_counters) {
  std::vector<usage_report> reports;
  for (const auto& [window, organisation] : std::exchange(changed_, {})) {
    if (reports.empty() || reports.back().counters.size() >= max_counters) {
      reports.emplace_back();
    }
    reports.back().counters.push_back({window, organisation, counts_.at(window).at(organisation)});
  }
  if (reports.empty() && !newly_complete_.empty()) {
    reports.emplace_back();
  }
  if (!reports.empty()) {
    // In the last one: a window is complete only after its counters have arrived.
    const std::set<window_number> complete = std::exchange(newly_complete_, {});
    reports.back().complete.assign(complete.begin(), complete.end());
  }
  return reports;
}

void usage_counter::remove_before(window_number window) {
  counts_.erase(counts_.begin(), counts_.lower_bound(window));
  complete_.erase(complete_.begin(), complete_.lower_bound(window));
  newly_complete_.erase(newly_complete_.begin(), newly_complete_.lower_bound(window));
  std::erase_if(changed_, [window](const auto& item) { return item.first < window; });
}

} // namespace arbutuslb::core::duties
