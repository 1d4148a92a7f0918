// Identifies requests that are the same for an upstream, whatever id, deadline or entry point they
// have: those with the same host, method, path and query, credentials, and body.
//
//   if (target_tag(request) == tag_of(known)) { is_same = fingerprint_of(request) == known; }
#pragma once

#include "arbutuslb/core/gateway/calls.h"

#include <cstdint>

namespace arbutuslb::core::gateway {

// Hash of the host and the target. Cheap: does not read the body.
std::uint16_t target_tag(const call& request);

// Hash of all that identifies the request; its low bits are the target tag. Never zero. O(body).
std::uint64_t fingerprint_of(const call& request);

// Returns the target tag of the request that has this fingerprint.
constexpr std::uint16_t tag_of(std::uint64_t fingerprint) {
  return static_cast<std::uint16_t>(fingerprint);
}

} // namespace arbutuslb::core::gateway
