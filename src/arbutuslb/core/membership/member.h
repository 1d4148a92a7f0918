// One daemon as its peers know it, with the upstream that it stands beside.
#pragma once

#include "arbutuslb/core/base/ids.h"

#include <string>

namespace arbutuslb::core::membership {

// In the order in which they overrule each other at the same incarnation.
enum class member_status : std::uint8_t { alive, suspect, leaving, dead };

struct member {
  member_id id;
  std::string name;
  peer_address address;
  std::string domain;
  std::string service;            // of the upstream beside the daemon
  std::string version;            // of the upstream beside the daemon
  incarnation process_epoch;      // fixed for the process; no two processes have the same
  incarnation incarnation_number; // rises with each refutation within the process, and from process
                                  // to process
  member_status status = member_status::alive;
  friend bool operator==(const member&, const member&) = default;
};

const char* to_string(member_status value);

// Returns true if `update` overrules `known`, which must have the same id.
bool overrules(const member& update, const member& known);

} // namespace arbutuslb::core::membership
