// Identifiers shared by all libraries of the core. All are regular value types.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace arbutuslb::core {

// Identifies a daemon across restarts: a hash of the name of its instance.
struct member_id {
  std::uint64_t value = 0;
  friend auto operator<=>(const member_id&, const member_id&) = default;
};

// Orders the incarnations of a daemon under the same `member_id`: a later one has a higher value.
// Daemons have no disk, so the value is initialized from the wall-clock time at the start, and is
// raised above any higher value that a peer has recorded.
struct incarnation {
  std::uint64_t value = 0;
  friend auto operator<=>(const incarnation&, const incarnation&) = default;
};

// Identifies one attempt of a call. Unique over all daemons and their processes.
struct call_id {
  member_id caller;
  incarnation caller_epoch;
  std::uint64_t sequence = 0;
  friend auto operator<=>(const call_id&, const call_id&) = default;
};

// The version of a configuration: the log offset of the last record that was applied.
using config_version = std::uint64_t;

// An IPv4 address with the ports of one daemon.
struct peer_address {
  std::string host;
  std::uint16_t datagram_port = 0;
  std::uint16_t stream_port = 0;
  friend auto operator<=>(const peer_address&, const peer_address&) = default;
};

} // namespace arbutuslb::core

template <>
struct std::hash<arbutuslb::core::member_id> {
  std::size_t operator()(const arbutuslb::core::member_id& id) const noexcept { return id.value; }
};
