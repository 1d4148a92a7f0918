// Keys of non-idempotent calls.
//
// The daemon that mints a key owns it; the key contains the identifier of that daemon and its
// process epoch. Only the owner starts the call, and only in that process, so at-most-once
// execution needs no claim, lease or log.
//
//   std::string text = to_string(key);
//   std::optional<minted_key> key = parse_minted_key(text);
#pragma once

#include "arbutuslb/core/base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace arbutuslb::core::calls {

struct minted_key {
  member_id owner;
  incarnation process_epoch;
  std::uint64_t number = 0; // increases with each key of the same process
  friend auto operator<=>(const minted_key&, const minted_key&) = default;
};

// Returns `k1-` and the owner, the epoch, the number and a checksum in hexadecimal, joined by `-`.
std::string to_string(const minted_key& key);

// Returns nothing if the text is malformed or its checksum is wrong.
std::optional<minted_key> parse_minted_key(std::string_view text);

} // namespace arbutuslb::core::calls
