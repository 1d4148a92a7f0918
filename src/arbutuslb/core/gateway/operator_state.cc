#include "arbutuslb/core/gateway/operator_state.h"

namespace arbutuslb::core::gateway {

const char* to_string(apply_result value) {
  switch (value) {
  case apply_result::applied:
    return "applied";
  case apply_result::unreadable:
    return "unreadable";
  case apply_result::superseded:
    return "superseded";
  case apply_result::older_version:
    return "older_version";
  }
  return "unknown";
}

apply_result operator_state::apply(operator_record record) {
  const auto found = records_.find(record.key);
  if (found != records_.end() && found->second.position >= record.position) {
    return apply_result::superseded;
  }
  advance_to({record.position.era, record.position.offset + 1});
  if (std::holds_alternative<unreadable_record>(record.value)) {
    return apply_result::unreadable;
  }
  if (const auto* published =
          std::get_if<std::shared_ptr<const mesh_configuration>>(&record.value)) {
    if (configuration_ && (*published)->version <= configuration_->version) {
      return apply_result::older_version;
    }
    configuration_ = *published;
  }
  records_[record.key] = std::move(record);
  rebuild_derived();
  return apply_result::applied;
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
  for (const auto& [key, record] : records_) {
    if (const auto* withdrawal = std::get_if<domain_withdrawal>(&record.value)) {
      withdrawn_.insert(withdrawal->domain);
    } else if (const auto* rollout = std::get_if<rollout_spec>(&record.value)) {
      rollouts_[rollout->service] = {record.position.offset, *rollout};
    }
  }
}

} // namespace arbutuslb::core::gateway
