// Keys of non-idempotent calls.
//
// A key is minted by a daemon, its home, and names that daemon and its present process. Only the
// home ever starts the call, in that process, so no claim, lease or log is needed for at-most-once.
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
  std::uint64_t number = 0; // rises with each key of the home's boot
  friend auto operator<=>(const minted_key&, const minted_key&) = default;
};

std::string to_string(const minted_key& key);

// Returns nothing if the text is no key with a valid check sum.
std::optional<minted_key> parse_minted_key(std::string_view text);

} // namespace arbutuslb::core::calls
