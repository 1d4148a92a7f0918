#include "arbutuslb/core/gateway/operator_state.h"

namespace arbutuslb::core::gateway {

bool operator_state::apply(operator_record record) {
  const auto found = records_.find(record.key);
  if (found != records_.end() && found->second.offset >= record.offset) {
    return false;
  }
  advance_to(record.offset + 1);
  if (std::holds_alternative<unreadable_record>(record.value)) {
    return false;
  }
  if (const auto* published =
          std::get_if<std::shared_ptr<const mesh_configuration>>(&record.value)) {
    if (configuration_ && (*published)->version <= configuration_->version) {
      return false;
    }
    configuration_ = *published;
  }
  records_[record.key] = std::move(record);
  rebuild_derived();
  return true;
}

void operator_state::rebuild_derived() {
  withdrawn_.clear();
  rollouts_.clear();
  for (const auto& [key, record] : records_) {
    if (const auto* withdrawal = std::get_if<domain_withdrawal>(&record.value)) {
      withdrawn_.insert(withdrawal->domain);
    } else if (const auto* rollout = std::get_if<rollout_spec>(&record.value)) {
      rollouts_[rollout->service] = {record.offset, *rollout};
    }
  }
}

} // namespace arbutuslb::core::gateway
