// Encodes and decodes the messages between daemons (peer.proto).
//
//   std::string bytes = encode(message);
//   core::protocol::message copy = decode(bytes, core::protocol::max_stream_message_bytes);
#pragma once

#include "arbutuslb/core/protocol/messages.h"

#include <stdexcept>
#include <string>
#include <string_view>

namespace arbutuslb::runtime::wire {

// The version of the protocol between daemons. Messages of other versions are rejected.
inline constexpr std::uint32_t protocol_version = 1;

// Thrown if bytes are not a valid message of this protocol version.
class codec_error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

std::string encode(const core::protocol::message& value);

// Throws `codec_error` if the bytes are truncated, malformed, longer than `max_bytes`, of another
// version of the protocol, or contain a value out of range.
core::protocol::message decode(std::string_view bytes, std::size_t max_bytes);

} // namespace arbutuslb::runtime::wire
