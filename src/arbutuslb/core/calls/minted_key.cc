#include "arbutuslb/core/calls/minted_key.h"

#include "arbutuslb/core/base/hash.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace arbutuslb::core::calls {
namespace {

constexpr std::size_t part_count = 4;
constexpr std::uint64_t checksum_mask = 0xffff;

std::uint64_t checksum(const minted_key& key) {
  const std::uint64_t mixed = rendezvous_weight(key.owner.value, key.process_epoch.value);
  return rendezvous_weight(mixed, key.number) & checksum_mask;
}

} // namespace

std::string to_string(const minted_key& key) {
  std::array<char, 80> text{};
  std::snprintf(text.data(), text.size(), "k1-%llx-%llx-%llx-%llx",
                static_cast<unsigned long long>(key.owner.value),
                static_cast<unsigned long long>(key.process_epoch.value),
                static_cast<unsigned long long>(key.number),
                static_cast<unsigned long long>(checksum(key)));
  return text.data();
}

std::optional<minted_key> parse_minted_key(std::string_view text) {
  constexpr std::string_view prefix = "k1-";
  if (text.substr(0, prefix.size()) != prefix) {
    return std::nullopt;
  }
  text.remove_prefix(prefix.size());
  std::array<std::uint64_t, part_count> parts{};
  for (std::size_t i = 0; i < part_count; ++i) {
    const bool is_last = i + 1 == part_count;
    const std::size_t end = is_last ? text.size() : text.find('-');
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    const std::from_chars_result result =
        std::from_chars(text.data(), text.data() + end, parts[i], 16);
    if (result.ec != std::errc{} || result.ptr != text.data() + end) {
      return std::nullopt;
    }
    text.remove_prefix(is_last ? end : end + 1);
  }
  const minted_key key{{parts[0]}, {parts[1]}, parts[2]};
  if (checksum(key) != parts[3]) {
    return std::nullopt;
  }
  return key;
}

} // namespace arbutuslb::core::calls
