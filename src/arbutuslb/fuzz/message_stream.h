// Reads messages of HTTP from bytes that arrive in parts, as the product's connections do.
#pragma once

#include "arbutuslb/fuzz/fuzz_support.h"
#include "arbutuslb/runtime/http/message_reader.h"

#include <vector>

namespace arbutuslb::fuzz {

inline constexpr runtime::http::read_limits stream_limits{4096, 65536};
inline constexpr std::size_t max_messages = 16;

template <typename Message>
struct stream_outcome {
  std::vector<Message> messages;
  bool has_failed = false;
};

// Takes a message from the reader: `take(reader)`. Stops after `max_messages`.
template <typename Take>
auto read_stream(runtime::http::message_reader& reader, std::string_view bytes, std::size_t step,
                 Take take) {
  using runtime::http::read_state;
  stream_outcome<decltype(take(reader))> result;
  while (!bytes.empty() && !result.has_failed && result.messages.size() < max_messages) {
    std::string_view part = bytes.substr(0, step);
    bytes.remove_prefix(part.size());
    while (!part.empty() && !result.has_failed) {
      const std::size_t consumed = reader.consume(part);
      part.remove_prefix(consumed);
      result.has_failed = reader.state() == read_state::failed;
      if (reader.state() == read_state::complete) {
        result.messages.push_back(take(reader));
      } else {
        require(consumed > 0 || result.has_failed, "the reader makes progress");
      }
    }
  }
  return result;
}

// Returns whether both read the same messages. What was read in one piece may be longer if it has
// reached the limit.
template <typename Message, typename Same>
bool is_read_alike(const stream_outcome<Message>& whole, const stream_outcome<Message>& single,
                   Same is_same) {
  const bool is_limited = whole.messages.size() >= max_messages;
  const std::size_t common = std::min(whole.messages.size(), single.messages.size());
  const bool is_length_same =
      whole.messages.size() == single.messages.size() && whole.has_failed == single.has_failed;
  return (is_limited || is_length_same) &&
         std::equal(whole.messages.begin(),
                    whole.messages.begin() + static_cast<std::ptrdiff_t>(common),
                    single.messages.begin(), is_same);
}

} // namespace arbutuslb::fuzz
