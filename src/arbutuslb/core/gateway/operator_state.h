// The state that operators have requested: the newest record of each key in the operators' log.
//
// Records are applied in the order of their positions. A record that is not newer than the stored
// one of its key is ignored, so duplicated, reordered and late deliveries have no effect.
//
// At the beginning of an era the log may lack what was written last in the earlier one. Until
// operators have written that again, for `reconciliation_time`, withdrawals and rollouts of the
// earlier era remain in force, and a different record that may be older than them is deferred. A
// configuration is never replaced by one of a lower version.
//
//   if (state.apply(std::move(record), now) == apply_result::applied) { ... }
#pragma once

#include "arbutuslb/core/gateway/log_position.h"
#include "arbutuslb/core/gateway/mesh_configuration.h"

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
  friend bool operator==(const rollout_spec&, const rollout_spec&) = default;
};
// Withdraws a failure domain: its upstreams receive no new requests.
struct domain_withdrawal {
  std::string domain;
  friend bool operator==(const domain_withdrawal&, const domain_withdrawal&) = default;
};
// Removes the earlier record of the key.
struct record_removed {
  friend bool operator==(const record_removed&, const record_removed&) = default;
};
// The record could not be decoded; `reason` lists the findings.
struct unreadable_record {
  std::string reason;
  friend bool operator==(const unreadable_record&, const unreadable_record&) = default;
};

using record_value = std::variant<std::shared_ptr<const mesh_configuration>, rollout_spec,
                                  domain_withdrawal, record_removed, unreadable_record>;

struct operator_record {
  log_position position;
  std::string key;
  std::string raw; // compressed stored form, sent to peers unchanged
  record_value value;
};

// What was written to the store before it came back from a copy is written to it again within this
// time of its return (from the platform's documentation).
inline constexpr std::chrono::milliseconds reconciliation_time{2000};

enum class apply_result : std::uint8_t {
  applied,
  deferred, // takes effect after the reconciliation, unless another record replaces it
  unreadable,
  superseded,   // a record of the key with the same or a later position was applied before
  older_version // the configuration in force has the same or a higher version
};
const char* to_string(apply_result value);

class operator_state {
public:
  // Applies a record if it is readable and newer than the stored state.
  apply_result apply(operator_record record, time_point now);

  // The log had no other keys than `keys` when it ended at `end`: the others have been removed.
  // Returns true if that changes the state.
  bool remove_absent(const std::set<std::string>& keys, const log_position& end);

  // Returns the position after the last record received.
  const log_position& end() const noexcept { return end_; }
  void advance_to(const log_position& end, time_point now);
  // Ends the reconciliation of an era when it is due: orders that only an earlier era had are
  // removed, and deferred records take effect. Returns true if it has ended now.
  bool reconcile(time_point now);

  // Returns the published configuration; null until the first one is applied.
  const std::shared_ptr<const mesh_configuration>& configuration() const noexcept {
    return configuration_;
  }
  bool is_withdrawn(const std::string& domain) const { return withdrawn_.contains(domain); }
  const std::set<std::string>& withdrawn_domains() const noexcept { return withdrawn_; }

  // A requested rollout.
  struct active_rollout {
    log_position position; // of the operator record
    rollout_spec order;
  };
  const std::map<std::string, active_rollout>& rollouts() const noexcept { return rollouts_; }

  // Returns the newest record of each key, by key.
  const std::map<std::string, operator_record>& records() const noexcept { return records_; }

private:
  // Returns true if the newest record of the key is different from the retained one and may be
  // older.
  bool defers(const std::string& key) const;
  void rebuild_derived();

  std::map<std::string, operator_record> records_;
  std::map<std::string, operator_record> retained_; // in force instead of a deferred record, by key
  std::optional<time_point> reconciled_at_;         // when the reconciliation in progress ends
  log_position end_;
  std::shared_ptr<const mesh_configuration> configuration_;
  std::set<std::string> withdrawn_;
  std::map<std::string, active_rollout> rollouts_; // by service
};

} // namespace arbutuslb::core::gateway
