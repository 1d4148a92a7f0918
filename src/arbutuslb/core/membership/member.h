// A daemon as its peers have recorded it, with its local upstream.
#pragma once

#include "arbutuslb/core/base/ids.h"

#include <string>

namespace arbutuslb::core::membership {

// In order of precedence: at the same incarnation, a later status supersedes an earlier one.
enum class member_status : std::uint8_t { alive, suspect, leaving, dead };

struct member {
  member_id id;
  std::string name;
  peer_address address;
  std::string domain;
  std::string service;            // of the local upstream
  std::string version;            // of the local upstream
  incarnation process_epoch;      // constant within a process and unique to it
  incarnation incarnation_number; // rises with each refutation and each restart
  member_status status = member_status::alive;
  friend bool operator==(const member&, const member&) = default;
};

const char* to_string(member_status value);

// Returns true if `update` supersedes `known`. Both must have the same id.
bool supersedes(const member& update, const member& known);

} // namespace arbutuslb::core::membership
