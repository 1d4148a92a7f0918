// Reads HTTP/1.1 messages from a stream of bytes, one at a time.
//
// Stricter than the underlying http_parser where two implementations could disagree about the end
// of a message: lines must end with CR LF, and field names must be tokens. Removes hop-by-hop
// header fields, and the fields behind a chunked body, from the message.
//
//   message_reader reader(message_kind::request, limits);
//   std::size_t consumed = reader.consume(bytes);
//   if (reader.state() == read_state::complete) { http_request request = reader.take_request(); }
#pragma once

#include "arbutuslb/core/base/http_message.h"
#include "arbutuslb/core/base/time.h"

#include <http_parser.h>
#include <limits>
#include <memory>
#include <optional>
#include <string_view>

namespace arbutuslb::runtime::http {

enum class message_kind : std::uint8_t { request, response };
enum class read_state : std::uint8_t { reading, complete, failed };
enum class read_fault : std::uint8_t { none, malformed, headers_too_large, body_too_large };

struct read_limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
};

// Counts the bytes of bodies that are being read, over all readers that share it.
struct body_account {
  std::size_t limit = std::numeric_limits<std::size_t>::max();
  std::size_t used = 0;
};
// A body may grow to this size whatever the account holds.
inline constexpr std::size_t unaccounted_body_bytes = std::size_t{64} * 1024;

// Not thread-safe; neither copyable nor movable.
class message_reader {
public:
  // A body that exceeds the limit of the account, which may be null, fails. The account must
  // outlive the reader.
  message_reader(message_kind kind, read_limits limits,
                 std::shared_ptr<body_account> account = nullptr);
  ~message_reader();
  message_reader(const message_reader&) = delete;
  message_reader& operator=(const message_reader&) = delete;

  // Parses bytes up to the end of the current message and returns the number of bytes consumed.
  std::size_t consume(std::string_view bytes);
  // Reports an orderly end of the stream. Completes a response that is delimited by the end of its
  // connection; any other message that is incomplete fails.
  void end_of_stream();
  // Whether the next response has no body, whatever its header fields say; applies to one response.
  void expect_no_body(bool has_no_body) { has_no_body_ = has_no_body; }

  read_state state() const noexcept { return state_; }
  read_fault fault() const noexcept { return fault_; }
  // True if a part of the current message was consumed.
  bool has_begun() const noexcept { return has_begun_; }
  bool has_headers() const noexcept { return has_headers_; }
  // True if the sender waits for "100 Continue" before it sends the body.
  bool expects_continue() const noexcept { return expects_continue_; }

  // Valid while the state is `complete`.
  bool keeps_connection() const noexcept { return keeps_connection_; }
  // The `timeout` of the Keep-Alive field: how long the sender keeps an idle connection open. Empty
  // if the field is missing.
  std::optional<core::duration> keep_alive_time() const noexcept { return keep_alive_time_; }
  core::http_request take_request();
  core::http_response take_response();

private:
  struct callbacks;
  void begin_message();
  // Returns false if the body may not grow by `size`.
  bool reserve(std::size_t size);
  void release_body();
  void fail(read_fault fault);
  bool has_bare_line_feed(std::string_view bytes);
  // Returns the number of bytes skipped.
  std::size_t skip_line_breaks(std::string_view bytes);
  void finish_headers();
  void remove_hop_by_hop_fields();

  message_kind kind_;
  read_limits limits_;
  std::shared_ptr<body_account> account_;
  http_parser parser_{};
  read_state state_ = read_state::reading;
  read_fault fault_ = read_fault::none;
  bool has_begun_ = false;
  bool has_headers_ = false;
  bool has_no_body_ = false;
  bool expects_continue_ = false;
  bool keeps_connection_ = false;
  bool last_was_value_ = false;
  char last_byte_ = 0;
  std::size_t header_bytes_ = 0;
  std::optional<core::duration> keep_alive_time_;
  std::string target_;
  core::header_list headers_;
  std::string body_;
};

// Return the message in wire format, with a Content-Length field where the message may have a body.
std::string serialize(const core::http_request& request);
std::string serialize(const core::http_response& response, bool closes_connection);

} // namespace arbutuslb::runtime::http
