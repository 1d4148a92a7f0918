// A position in a topic of the platform's store.
//
// When the store comes back from an older copy, it begins a new era and assigns offsets again.
// Positions are ordered by era first: every position of a later era is after all of earlier ones.
//
//   log_position next{result.era, result.end_offset};
//   if (record.position >= next) { ... }
#pragma once

#include <compare>
#include <cstdint>

namespace arbutuslb::core::gateway {

struct log_position {
  std::uint64_t era = 0; // zero if the store states none
  std::uint64_t offset = 0;
  friend auto operator<=>(const log_position&, const log_position&) = default;
};

} // namespace arbutuslb::core::gateway
