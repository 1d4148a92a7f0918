#include "arbutuslb/core/membership/member_table.h"

#include "arbutuslb/core/base/hash.h"

#include <algorithm>

namespace arbutuslb::core::membership {
namespace {

constexpr std::chrono::minutes dead_member_retention{30};

std::size_t bucket_of(member_id id) {
  return id.value % bucket_count;
}

// Alive and suspect members have the same hash, because a suspicion is temporary and must not count
// as a difference between tables.
std::uint64_t hash_of(const member& value) {
  const std::uint64_t leaving = value.status == member_status::leaving ? 1 : 0;
  return rendezvous_weight(value.id.value, value.incarnation_number.value * 2 + leaving);
}

bool is_present(const member& value) {
  return value.status != member_status::dead;
}

std::vector<member_id>
ids_in_index(const std::unordered_map<std::string, std::set<member_id>>& index,
             const std::string& key) {
  const std::unordered_map<std::string, std::set<member_id>>::const_iterator found =
      index.find(key);
  if (found == index.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

} // namespace

const char* to_string(member_status value) {
  switch (value) {
  case member_status::alive:
    return "alive";
  case member_status::suspect:
    return "suspect";
  case member_status::leaving:
    return "leaving";
  case member_status::dead:
    return "dead";
  }
  return "unknown";
}

bool supersedes(const member& update, const member& known) {
  if (update.incarnation_number != known.incarnation_number) {
    return update.incarnation_number > known.incarnation_number;
  }
  return update.status > known.status;
}

void member_table::toggle_hash(const member& value) {
  if (is_present(value)) {
    hashes_[value.domain][bucket_of(value.id)] ^= hash_of(value);
    fleet_hash_ ^= hash_of(value);
  }
}

void member_table::add_to_indexes(const member& value) {
  if (is_present(value)) {
    by_domain_[value.domain].insert(value.id);
    by_service_[value.service].insert(value.id);
  }
}

void member_table::remove_from_indexes(const member& value) {
  by_domain_[value.domain].erase(value.id);
  by_service_[value.service].erase(value.id);
}

bool member_table::merge(const member& update, time_point now) {
  const std::map<member_id, entry>::iterator known = entries_.find(update.id);
  if (known == entries_.end()) {
    entries_.emplace(update.id, entry{update, now});
  } else {
    if (!supersedes(update, known->second.value)) {
      return false;
    }
    toggle_hash(known->second.value);
    remove_from_indexes(known->second.value);
    known->second = entry{update, now};
  }
  toggle_hash(update);
  add_to_indexes(update);
  ++generation_;
  return true;
}

const member* member_table::find(member_id id) const {
  const std::map<member_id, entry>::const_iterator found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.value;
}

std::vector<member_id> member_table::present_members_of(const std::string& domain) const {
  return ids_in_index(by_domain_, domain);
}

std::vector<member_id> member_table::present() const {
  std::vector<member_id> ids;
  for (const auto& [id, item] : entries_) {
    if (is_present(item.value)) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<std::string> member_table::domains() const {
  std::vector<std::string> names;
  for (const auto& [name, ignored] : hashes_) {
    names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<member_id> member_table::members_serving(const std::string& service) const {
  return ids_in_index(by_service_, service);
}

bucket_hashes member_table::bucket_hashes_of(const std::string& domain) const {
  const std::unordered_map<std::string, bucket_hashes>::const_iterator found = hashes_.find(domain);
  return found == hashes_.end() ? bucket_hashes{} : found->second;
}

std::uint64_t member_table::domain_hash(const std::string& domain) const {
  std::uint64_t combined = 0;
  for (const std::uint64_t hash : bucket_hashes_of(domain)) {
    combined ^= hash;
  }
  return combined;
}

std::vector<member> member_table::members_in_differing_buckets(const std::string& domain,
                                                               const bucket_hashes& theirs) const {
  const bucket_hashes ours = bucket_hashes_of(domain);
  std::vector<member> values;
  for (const auto& [id, item] : entries_) {
    const std::size_t bucket = bucket_of(id);
    if (item.value.domain == domain && ours[bucket] != theirs[bucket]) {
      values.push_back(item.value);
    }
  }
  return values;
}

void member_table::remove_expired_dead(time_point now) {
  const auto is_expired = [now](const auto& item) {
    return !is_present(item.second.value) && now - item.second.changed_at > dead_member_retention;
  };
  std::erase_if(entries_, is_expired);
}

std::vector<member_id> highest_ranked(std::uint64_t key, const std::vector<member_id>& candidates,
                                      std::size_t count) {
  struct weighted {
    std::uint64_t weight;
    member_id id;
  };
  std::vector<weighted> all;
  all.reserve(candidates.size());
  for (const member_id id : candidates) {
    all.push_back({rendezvous_weight(key, id.value), id});
  }
  const std::size_t taken = std::min(count, all.size());
  const auto is_higher = [](const weighted& left, const weighted& right) {
    return left.weight != right.weight ? left.weight > right.weight : left.id < right.id;
  };
  std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(taken), all.end(),
                    is_higher);
  std::vector<member_id> ids;
  for (std::size_t i = 0; i < taken; ++i) {
    ids.push_back(all[i].id);
  }
  return ids;
}

} // namespace arbutuslb::core::membership
