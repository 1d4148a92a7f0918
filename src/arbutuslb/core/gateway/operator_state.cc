#include "arbutuslb/core/gateway/operator_state.h"

#include <algorithm>
#include <limits>

namespace arbutuslb::core::gateway {

const char* to_string(apply_result value) {
  switch (value) {
  case apply_result::applied:
    return "applied";
  case apply_result::deferred:
    return "deferred";
  case apply_result::unreadable:
    return "unreadable";
  case apply_result::superseded:
    return "superseded";
  case apply_result::older_version:
    return "older_version";
  }
  return "unknown";
}

void operator_state::advance_to(const log_position& end, time_point now) {
  if (end.era > end_.era && !records_.empty()) {
    reconciled_at_ = now + reconciliation_time;
  }
  end_ = std::max(end_, end);
}

apply_result operator_state::apply(operator_record record, time_point now) {
  const auto found = records_.find(record.key);
  if (found != records_.end() && found->second.position >= record.position) {
    return apply_result::superseded;
  }
  advance_to({record.position.era, record.position.offset + 1}, now);
  if (std::holds_alternative<unreadable_record>(record.value)) {
    return apply_result::unreadable;
  }
  if (const auto* published =
          std::get_if<std::shared_ptr<const mesh_configuration>>(&record.value)) {
    if (configuration_ && (*published)->version <= configuration_->version) {
      return apply_result::older_version;
    }
    configuration_ = *published;
  } else if (found != records_.end() && reconciled_at_ &&
             found->second.position.era < record.position.era) {
    retained_.try_emplace(record.key, found->second);
  }
  const std::string key = record.key;
  records_[key] = std::move(record);
  const bool is_deferred = defers(key);
  if (!is_deferred) {
    retained_.erase(key);
  }
  rebuild_derived();
  return is_deferred ? apply_result::deferred : apply_result::applied;
}

bool operator_state::defers(const std::string& key) const {
  const auto retained = retained_.find(key);
  if (retained == retained_.end()) {
    return false;
  }
  // An offset that the earlier era had not reached is of a record written after the return.
  const operator_record& newest = records_.at(key);
  return newest.position.offset < retained->second.position.offset &&
         newest.value != retained->second.value;
}

bool operator_state::reconcile(time_point now) {
  if (!reconciled_at_ || now < *reconciled_at_) {
    return false;
  }
  reconciled_at_.reset();
  retained_.clear();
  for (auto& [key, record] : records_) {
    const bool is_configuration =
        std::holds_alternative<std::shared_ptr<const mesh_configuration>>(record.value);
    if (!is_configuration && record.position.era < end_.era) {
      // After every record of its own era, and before every one of a later era.
      record.position.offset = std::numeric_limits<std::uint64_t>::max();
      record.raw.clear();
      record.value = record_removed{};
    }
  }
  rebuild_derived();
  return true;
}

bool operator_state::remove_absent(const std::set<std::string>& keys, const log_position& end) {
  bool has_changes = false;
  for (auto& [key, record] : records_) {
    const bool is_configuration =
        std::holds_alternative<std::shared_ptr<const mesh_configuration>>(record.value);
    if (is_configuration || keys.contains(key) || record.position.era != end.era ||
        record.position >= end || std::holds_alternative<record_removed>(record.value)) {
      continue;
    }
    record.position.offset = end.offset - 1;
    record.raw.clear();
    record.value = record_removed{};
    has_changes = true;
  }
  if (has_changes) {
    rebuild_derived();
  }
  return has_changes;
}

void operator_state::rebuild_derived() {
  withdrawn_.clear();
  rollouts_.clear();
  for (const auto& [key, newest] : records_) {
    const auto retained = retained_.find(key);
    const operator_record& record = retained == retained_.end() ? newest : retained->second;
    if (const auto* withdrawal = std::get_if<domain_withdrawal>(&record.value)) {
      withdrawn_.insert(withdrawal->domain);
    } else if (const auto* rollout = std::get_if<rollout_spec>(&record.value)) {
      rollouts_[rollout->service] = {record.position, *rollout};
    }
  }
}

} // namespace arbutuslb::core::gateway
