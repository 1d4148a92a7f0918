// What operators have ordered: the newest record of each key of their log.
//
// Records are applied in the order of their offsets; one that is not newer than what its key holds
// is ignored, so repeated, crossed and late deliveries are harmless.
//
//   if (state.apply(std::move(record))) { ... }
#pragma once

#include "arbutuslb/core/gateway/mesh_configuration.h"

#include <memory>
#include <optional>
#include <set>
#include <variant>

namespace arbutuslb::core::gateway {

// Moves the traffic of a service to one version within a stated time.
struct rollout_spec {
  std::string service;
  std::string target_version;
  duration time_allowed{};
};
struct domain_withdrawal {
  std::string domain;
};
// The order under the key was taken back.
struct record_removed {};
// The record could not be read; `reason` holds the findings.
struct unreadable_record {
  std::string reason;
};

using record_value = std::variant<std::shared_ptr<const mesh_configuration>, rollout_spec,
                                  domain_withdrawal, record_removed, unreadable_record>;

struct operator_record {
  std::uint64_t offset = 0;
  std::string key;
  std::string raw; // as stored and compressed, to pass on to peers
  record_value value;
};

class operator_state {
public:
  // Returns false if the record is not newer than what is held.
  bool apply(operator_record record);

  // The offset after the last record seen.
  std::uint64_t end_offset() const noexcept { return end_offset_; }
  void advance_to(std::uint64_t end_offset) {
    end_offset_ = end_offset > end_offset_ ? end_offset : end_offset_;
  }

  // Null until the first configuration was read.
  const std::shared_ptr<const mesh_configuration>& configuration() const noexcept {
    return configuration_;
  }
  bool is_withdrawn(const std::string& domain) const { return withdrawn_.contains(domain); }
  const std::set<std::string>& withdrawn_domains() const noexcept { return withdrawn_; }

  // The order to move a service's traffic, with the offset that names it.
  struct active_rollout {
    std::uint64_t id = 0;
    rollout_spec order;
  };
  const std::map<std::string, active_rollout>& rollouts() const noexcept { return rollouts_; }

  // The newest record of each key, in no particular order.
  const std::map<std::string, operator_record>& records() const noexcept { return records_; }

private:
  void rebuild_derived();

  std::map<std::string, operator_record> records_;
  std::uint64_t end_offset_ = 0;
  std::shared_ptr<const mesh_configuration> configuration_;
  std::set<std::string> withdrawn_;
  std::map<std::string, active_rollout> rollouts_; // by service
};

} // namespace arbutuslb::core::gateway
