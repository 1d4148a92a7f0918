// Hashing and rendezvous (highest random weight) ranking.
//
//   std::uint64_t weight = rendezvous_weight(hash_bytes("reader"), id.value);
#pragma once

#include "arbutuslb/core/base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutuslb::core {

// Returns a 64-bit hash of `bytes` that is equal on every machine. Not cryptographic.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

// Returns the value as 16 hexadecimal digits.
std::string to_hexadecimal(std::uint64_t value);

// Returns the id of the daemon on the instance called `instance_name`.
member_id member_id_of(std::string_view instance_name);

// Returns the weight of `candidate` for `key`, which identifies a role or an item. The candidates
// with the highest weights are assigned to it; removing a candidate reassigns only its keys.
std::uint64_t rendezvous_weight(std::uint64_t key, std::uint64_t candidate);

} // namespace arbutuslb::core
