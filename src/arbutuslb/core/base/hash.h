// Hashing and rendezvous (highest random weight) ranking.
//
//   std::uint64_t weight = rendezvous_weight("reader", id.value);
#pragma once

#include "arbutuslb/core/base/ids.h"

#include <cstdint>
#include <string_view>

namespace arbutuslb::core {

// Returns a 64-bit hash of `bytes`; equal on every machine. Not cryptographic.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

// Returns the id of the daemon on the instance called `instance_name`.
member_id member_id_of(std::string_view instance_name);

// Returns the weight of `candidate` for the duty or place named by `key`. The candidates with the
// highest weights hold the duty; removing one moves only what it held.
std::uint64_t rendezvous_weight(std::uint64_t key, std::uint64_t candidate);

} // namespace arbutuslb::core
