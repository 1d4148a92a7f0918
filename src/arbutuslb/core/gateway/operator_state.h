// The state that operators have requested: the newest record of each key in the operators' log.
//
// Records are applied in the order of their positions. A record that is not newer than the stored
// one of its key is ignored, so duplicated, reordered and late deliveries have no effect.
//
//   if (state.apply(std::move(record))) { ... }
#pragma once

#include "arbutuslb/core/gateway/log_position.h"
#include "arbutuslb/core/gateway/mesh_configuration.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <variant>

namespace arbutuslb::core::gateway {

// Moves the traffic of a service to one version within `time_allowed`.
struct rollout_spec {
  std::string service;
  std::string target_version;
  duration time_allowed{};
};
// Withdraws a failure domain: its upstreams receive no new requests.
struct domain_withdrawal {
  std::string domain;
};
// Removes the earlier record of the key.
struct record_removed {};
// The record could not be decoded; `reason` lists the findings.
struct unreadable_record {
  std::string reason;
};

using record_value = std::variant<std::shared_ptr<const mesh_configuration>, rollout_spec,
                                  domain_withdrawal, record_removed, unreadable_record>;

struct operator_record {
  log_position position;
  std::string key;
  std::string raw; // compressed stored form, sent to peers unchanged
  record_value value;
};

enum class apply_result : std::uint8_t {
  applied,
  unreadable,
  superseded,   // a record of the key with the same or a later position was applied before
  older_version // the configuration in force has the same or a higher version
};
const char* to_string(apply_result value);

class operator_state {
public:
  // Applies a record if it is readable and newer than the stored state.
  apply_result apply(operator_record record);

  // The log had no other keys than `keys` when it ended at `end`: the others have been removed.
  // Returns true if that changes the state.
  bool remove_absent(const std::set<std::string>& keys, const log_position& end);

  // Returns the position after the last record received.
  const log_position& end() const noexcept { return end_; }
  void advance_to(const log_position& end) { end_ = std::max(end_, end); }

  // Returns the published configuration; null until the first one is applied.
  const std::shared_ptr<const mesh_configuration>& configuration() const noexcept {
    return configuration_;
  }
  bool is_withdrawn(const std::string& domain) const { return withdrawn_.contains(domain); }
  const std::set<std::string>& withdrawn_domains() const noexcept { return withdrawn_; }

  // A requested rollout.
  struct active_rollout {
    std::uint64_t id = 0; // offset of the operator record
    rollout_spec order;
  };
  const std::map<std::string, active_rollout>& rollouts() const noexcept { return rollouts_; }

  // Returns the newest applied record of each key, by key.
  const std::map<std::string, operator_record>& records() const noexcept { return records_; }

private:
  void rebuild_derived();

  std::map<std::string, operator_record> records_;
  log_position end_;
  std::shared_ptr<const mesh_configuration> configuration_;
  std::set<std::string> withdrawn_;
  std::map<std::string, active_rollout> rollouts_; // by service
};

} // namespace arbutuslb::core::gateway
