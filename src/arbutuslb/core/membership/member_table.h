// The members of all failure domains, merged from updates that may be received in any order and
// more than once.
//
// Merging is commutative, associative and idempotent: two tables that have merged the same updates
// are equal. Dead members are retained for a while, so that an outdated message does not restore
// them.
//
//   member_table table;
//   if (table.merge(update, now)) { /* pass the update on */ }
#pragma once

#include "arbutuslb/core/base/time.h"
#include "arbutuslb/core/membership/member.h"

#include <array>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace arbutuslb::core::membership {

inline constexpr std::size_t bucket_count = 32;
using bucket_hashes = std::array<std::uint64_t, bucket_count>;

// Not thread-safe.
class member_table {
public:
  // Returns true if the table changed.
  bool merge(const member& update, time_point now);

  const member* find(member_id id) const;

  // Returns the ids of the domain's members that are alive, suspect or leaving, in order of id.
  std::vector<member_id> present_members_of(const std::string& domain) const;
  std::vector<member_id> present() const;
  // Returns the names of the domains that have had a present member, in alphabetical order.
  std::vector<std::string> domains() const;
  // Returns the present members whose local upstream serves `service`, in order of id.
  std::vector<member_id> members_serving(const std::string& service) const;

  // Returns a hash of the domain's present members. Equal tables have equal hashes. O(1).
  std::uint64_t domain_hash(const std::string& domain) const;
  // Returns a hash of the present members of all domains.
  std::uint64_t fleet_hash() const noexcept { return fleet_hash_; }
  // Returns the hashes of the domain's present members by bucket.
  bucket_hashes bucket_hashes_of(const std::string& domain) const;
  // Returns the domain's members, including dead ones, in the buckets whose hashes differ from
  // `theirs`.
  std::vector<member> members_in_differing_buckets(const std::string& domain,
                                                   const bucket_hashes& theirs) const;

  // Removes dead members whose retention period has passed at `now`.
  void remove_expired_dead(time_point now);

  // Returns a number that rises with each change by `merge`.
  std::uint64_t generation() const noexcept { return generation_; }
  std::size_t size() const noexcept { return entries_.size(); }

private:
  struct entry {
    member value;
    time_point changed_at;
  };
  void toggle_hash(const member& value);
  void add_to_indexes(const member& value);
  void remove_from_indexes(const member& value);

  std::map<member_id, entry> entries_;
  std::unordered_map<std::string, bucket_hashes> hashes_;
  // Present members by domain and by service.
  std::unordered_map<std::string, std::set<member_id>> by_domain_;
  std::unordered_map<std::string, std::set<member_id>> by_service_;
  std::uint64_t fleet_hash_ = 0;
  std::uint64_t generation_ = 0;
};

// Returns the `count` candidates with the highest rendezvous weights for `key`, highest first.
// O(candidates * log count).
std::vector<member_id> highest_ranked(std::uint64_t key, const std::vector<member_id>& candidates,
                                      std::size_t count);

} // namespace arbutuslb::core::membership
