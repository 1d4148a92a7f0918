// The organisations whose clients may send requests, and the keys that identify them.
//
// A look-up takes the same steps whatever the number of keys: one hash of the presented key, and a
// comparison that does not depend on where two keys differ. The hash is seeded anew in each
// process, so that a client cannot choose keys that collide.
//
//   organisation_table table;
//   table.add({"acme", 1}, {"first-key", "second-key"});
//   const organisation_policy* owner = table.find("first-key");
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutuslb::core::gateway {

struct organisation_policy {
  std::string name;
  std::optional<int> rank; // replaces the rank of the route; 0 is the most urgent
};

// Returns whether the texts are equal, in a time that depends on their lengths only.
bool equal_in_constant_time(std::string_view left, std::string_view right);

// Not thread-safe while it is changed.
class organisation_table {
public:
  organisation_table();

  // Returns false if another organisation holds one of the keys; the first one keeps it.
  bool add(organisation_policy organisation, const std::vector<std::string>& keys);

  // Returns the organisation that holds the key, or nullptr. The result is valid as long as the
  // table. O(length of the key).
  const organisation_policy* find(std::string_view key) const;

  std::size_t size() const noexcept { return organisations_.size(); }

private:
  struct held_key {
    std::string text;
    const organisation_policy* owner = nullptr;
  };

  std::uint64_t seed_;
  std::vector<std::shared_ptr<const organisation_policy>> organisations_; // shared by copies
  std::unordered_multimap<std::uint64_t, held_key> keys_;                 // by seeded hash
};

} // namespace arbutuslb::core::gateway
