#include "arbutuslb/core/base/hash.h"

#include <array>
#include <xxhash.h>

namespace arbutuslb::core {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

std::string to_hexadecimal(std::uint64_t value) {
  constexpr std::string_view digits = "0123456789abcdef";
  constexpr int bits_per_digit = 4;
  std::string text(sizeof(value) * 2, '0');
  for (std::string::reverse_iterator digit = text.rbegin(); digit != text.rend(); ++digit) {
    *digit = digits[value % digits.size()];
    value >>= bits_per_digit;
  }
  return text;
}

member_id member_id_of(std::string_view instance_name) {
  return member_id{hash_bytes(instance_name, 1)};
}

std::uint64_t rendezvous_weight(std::uint64_t key, std::uint64_t candidate) {
  const std::array<std::uint64_t, 2> words{key, candidate};
  return XXH64(words.data(), sizeof(words), 0);
}

} // namespace arbutuslb::core
