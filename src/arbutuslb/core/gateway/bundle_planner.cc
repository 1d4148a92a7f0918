#include "arbutuslb/core/gateway/bundle_planner.h"

#include "arbutuslb/core/base/hash.h"

#include <algorithm>
#include <cstdlib>

namespace arbutuslb::core::gateway {
namespace {

// A changed report is sent in this many bundles in a row.
constexpr int sends_per_change = 2;

bool has_changed_state(const peer_report& before, const peer_report& after) {
  return before.process_epoch != after.process_epoch || before.service != after.service ||
         before.instance_id != after.instance_id || before.version != after.version ||
         before.settled_version != after.settled_version || before.is_usable != after.is_usable ||
         before.is_stopping != after.is_stopping || before.limit != after.limit ||
         (before.rate_limit > 0) != (after.rate_limit > 0) ||
         before.operator_log_end != after.operator_log_end || before.rollouts != after.rollouts ||
         before.is_store_reachable != after.is_store_reachable ||
         before.suspicions != after.suspicions;
}

bool has_changed_load(const peer_report& before, const peer_report& after) {
  const int change = (after.in_flight + after.waiting) - (before.in_flight + before.waiting);
  return 2 * std::abs(change) >= std::max(1, after.limit);
}

} // namespace

report_bundle bundle_planner::plan(std::vector<aged_report> reports) {
  ++bundles_;
  report_bundle bundle;
  std::map<std::string, sent_report> sent;
  for (aged_report& item : reports) {
    const std::string host = item.content.host;
    const std::map<std::string, sent_report>::iterator found = sent_.find(host);
    sent_report entry = found == sent_.end() ? sent_report{} : std::move(found->second);
    if (found == sent_.end() || has_changed_state(entry.content, item.content)) {
      entry.repeats = sends_per_change;
    }
    const bool is_in_turn = (hash_bytes(host) + bundles_) % full_report_interval == 0;
    if (entry.repeats > 0 || is_in_turn || has_changed_load(entry.content, item.content)) {
      entry.repeats = std::max(0, entry.repeats - 1);
      entry.content = item.content;
      bundle.reports.push_back(std::move(item));
    } else {
      bundle.presences.push_back({host, item.age});
    }
    sent.emplace(host, std::move(entry));
  }
  sent_ = std::move(sent);
  return bundle;
}

} // namespace arbutuslb::core::gateway
