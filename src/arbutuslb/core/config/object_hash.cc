#include "arbutuslb/core/config/object_hash.h"

#include "arbutuslb/core/base/hash.h"

#include <bit>

namespace arbutuslb::core::config {
namespace {

// Chains the hashes of fields: each hash is seeded with that of the preceding fields.
class field_hasher {
public:
  explicit field_hasher(std::uint64_t kind) : hash_(kind) {}

  field_hasher& add(const std::string& text) {
    hash_ = hash_bytes(text, hash_ + 1);
    return *this;
  }
  field_hasher& add(std::uint64_t number) {
    hash_ = rendezvous_weight(hash_, number);
    return *this;
  }
  field_hasher& add(double number) { return add(std::bit_cast<std::uint64_t>(number)); }
  field_hasher& add(const change_info& change) {
    return add(change.version).add(change.command_id).add(change.operator_name);
  }
  std::uint64_t result() const { return hash_; }

private:
  std::uint64_t hash_;
};

std::uint64_t to_unsigned(std::int64_t value) {
  return static_cast<std::uint64_t>(value);
}

} // namespace

std::uint64_t hash_of(const service& value) {
  field_hasher hasher(1);
  hasher.add(value.name)
      .add(value.active)
      .add(to_unsigned(value.slots))
      .add(to_unsigned(value.connections));
  hasher.add(value.retry_budget).add(value.last_change);
  for (const std::string& version : value.versions) {
    hasher.add(version);
  }
  return hasher.result();
}

std::uint64_t hash_of(const route& value) {
  const std::uint64_t idempotent = value.idempotent ? 1 : 0;
  return field_hasher(2)
      .add(value.name)
      .add(value.path_prefix)
      .add(value.service)
      .add(idempotent)
      .add(static_cast<std::uint64_t>(value.priority))
      .add(value.last_change)
      .result();
}

std::uint64_t hash_of(const failure_domain& value) {
  const std::uint64_t withdrawn = value.withdrawn ? 1 : 0;
  return field_hasher(3)
      .add(value.name)
      .add(value.region)
      .add(withdrawn)
      .add(value.last_change)
      .result();
}

std::uint64_t hash_of(const move& value) {
  return field_hasher(4)
      .add(value.id)
      .add(value.service)
      .add(value.from)
      .add(value.to)
      .add(to_unsigned(to_epoch_milliseconds(value.started)))
      .add(to_unsigned(to_epoch_milliseconds(value.deadline)))
      .add(value.limits.max_error_increase)
      .add(value.limits.max_latency_ratio)
      .add(static_cast<std::uint64_t>(value.state))
      .add(to_unsigned(value.share_permille))
      .add(value.reason)
      .add(value.last_change)
      .result();
}

std::uint64_t hash_of(const std::string& command_id, const command_outcome& outcome) {
  const std::uint64_t accepted = outcome.accepted ? 1 : 0;
  return field_hasher(5)
      .add(command_id)
      .add(outcome.version)
      .add(accepted)
      .add(outcome.text)
      .result();
}

} // namespace arbutuslb::core::config
