// Hashes of the configuration's objects, field by field.
//
// Equal objects have equal hashes on every machine. The state hash combines them by exclusive or.
#pragma once

#include "arbutuslb/core/config/model.h"

namespace arbutuslb::core::config {

std::uint64_t hash_of(const service& value);
std::uint64_t hash_of(const route& value);
std::uint64_t hash_of(const failure_domain& value);
std::uint64_t hash_of(const move& value);
std::uint64_t hash_of(const std::string& command_id, const command_outcome& outcome);

} // namespace arbutuslb::core::config
