#include "arbutuslb/core/gateway/organisation_table.h"

#include "arbutuslb/core/base/hash.h"

#include <random>

namespace arbutuslb::core::gateway {
namespace {

// One value a process: tables of successive configurations need not differ.
std::uint64_t process_seed() {
  static const std::uint64_t seed = [] {
    std::random_device device;
    constexpr int bits = 32;
    return (std::uint64_t{device()} << bits) | device();
  }();
  return seed;
}

} // namespace

bool equal_in_constant_time(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  unsigned char difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference = static_cast<unsigned char>(difference | (left[i] ^ right[i]));
  }
  return difference == 0;
}

organisation_table::organisation_table() : seed_(process_seed()) {}

bool organisation_table::add(organisation_policy organisation,
                             const std::vector<std::string>& keys) {
  organisations_.push_back(std::make_shared<const organisation_policy>(std::move(organisation)));
  const organisation_policy* const owner = organisations_.back().get();
  bool are_all_new = true;
  for (const std::string& key : keys) {
    const organisation_policy* const holder = find(key);
    if (holder == nullptr) {
      keys_.emplace(hash_bytes(key, seed_), held_key{key, owner});
    }
    are_all_new = are_all_new && (holder == nullptr || holder == owner);
  }
  return are_all_new;
}

const organisation_policy* organisation_table::find(std::string_view key) const {
  const auto [first, last] = keys_.equal_range(hash_bytes(key, seed_));
  for (auto candidate = first; candidate != last; ++candidate) {
    if (equal_in_constant_time(candidate->second.text, key)) {
      return candidate->second.owner;
    }
  }
  return nullptr;
}

} // namespace arbutuslb::core::gateway
