#include "arbutuslb/core/gateway/request_fingerprint.h"

#include "arbutuslb/core/base/hash.h"

namespace arbutuslb::core::gateway {
namespace {

constexpr const char* credentials_field = "Authorization";
constexpr int tag_bits = 16;

} // namespace

std::uint16_t target_tag(const call& request) {
  // A tag of zero is reserved, so that no fingerprint is zero.
  const std::uint64_t hash = hash_bytes(request.message.target, hash_bytes(request.host));
  return static_cast<std::uint16_t>(hash | 1U);
}

std::uint64_t fingerprint_of(const call& request) {
  std::uint64_t hash = hash_bytes(request.message.target, hash_bytes(request.host));
  hash = hash_bytes(request.message.method, hash);
  if (const std::string* credentials = find_header(request.message.headers, credentials_field)) {
    hash = hash_bytes(*credentials, hash);
  }
  hash = hash_bytes(request.message.body, hash);
  return (hash << tag_bits) | target_tag(request);
}

} // namespace arbutuslb::core::gateway
