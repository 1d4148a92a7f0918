// Reads HTTP/1.1 messages from a stream of bytes, one at a time.
//
// Stricter than the underlying http_parser where two implementations could disagree about the end
// of a message: lines must end with CR LF, and field names must be tokens. The fields of a response
// have one line each, and its only transfer coding is chunked. Removes hop-by-hop header fields,
// and the fields behind a chunked body, from the message.
//
//   message_reader reader(message_kind::request, limits);
//   std::size_t consumed = reader.consume(bytes);
//   if (reader.state() == read_state::complete) { http_request request = reader.take_request(); }
#pragma once

#include "arbutuslb/core/base/http_message.h"
#include "arbutuslb/core/base/time.h"
#include "arbutuslb/runtime/http/memory_budget.h"

#include <http_parser.h>
#include <memory>
#include <optional>
#include <string_view>

namespace arbutuslb::runtime::http {

enum class message_kind : std::uint8_t { request, response };
enum class read_state : std::uint8_t { reading, complete, failed };
enum class read_fault : std::uint8_t {
  none,
  malformed,
  headers_too_large,
  body_too_large,
  over_budget // too much memory is in use
};

struct read_limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
};

// Not thread-safe; neither copyable nor movable.
class message_reader {
public:
  // A message fails that the budget, which may be null, has no room for.
  message_reader(message_kind kind, read_limits limits,
                 std::shared_ptr<memory_budget> budget = nullptr);
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

  // Returns the memory that the current message uses.
  std::size_t held_bytes() const noexcept { return share_.held(); }

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
  // Returns false, and fails, if the budget does not allow the message to grow by `size`.
  bool grow(std::size_t size);
  // Makes room for `size` more bytes of a body of which `remaining` bytes follow. Takes a buffer
  // from the budget that grows with what has been received: a declared length is no more than a
  // claim. Returns false, and fails, if the budget does not allow it.
  bool reserve_body(std::size_t size, std::uint64_t remaining);
  void fail(read_fault fault);
  // Takes the next bytes of the header.
  bool has_malformed_line(std::string_view bytes);
  // Returns the number of bytes skipped.
  std::size_t skip_line_breaks(std::string_view bytes);
  void finish_headers();
  void remove_hop_by_hop_fields();

  message_kind kind_;
  read_limits limits_;
  budget_share share_;
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
  std::size_t reserved_body_bytes_ = 0; // of a body with a length
};

// Return the message in wire format, with a Content-Length field where the message may have a body.
std::string serialize(const core::http_request& request);
std::string serialize(const core::http_response& response, bool closes_connection);

} // namespace arbutuslb::runtime::http
