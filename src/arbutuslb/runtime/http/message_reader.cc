#include "arbutuslb/runtime/http/message_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace arbutuslb::runtime::http {
namespace {

// Other values have no class (RFC 9110, section 15); nothing is known of what they mean.
constexpr int first_status = 100;
constexpr int last_status = 599;
constexpr int first_final_status = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
// Memory of an empty header field: two strings, and room for a vector to grow.
constexpr std::size_t field_overhead = 128;

constexpr std::array<std::string_view, 9> hop_by_hop_fields{
    "Connection", "Keep-Alive",       "Transfer-Encoding", "Content-Length",    "TE",
    "Trailer",    "Proxy-Connection", "Upgrade",           "Proxy-Authenticate"};

bool may_have_body(int status) {
  return status >= first_final_status && status != status_no_content &&
         status != status_not_modified;
}

bool is_token(std::string_view text) {
  const auto is_token_character = [](unsigned char c) {
    return std::isalnum(c) != 0 ||
           std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
  };
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

std::string_view without_blanks_around(std::string_view text) {
  constexpr std::string_view blanks = " \t";
  text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
  text.remove_suffix(text.size() - (text.find_last_not_of(blanks) + 1));
  return text;
}

std::optional<core::duration> parse_keep_alive(std::string_view value) {
  constexpr std::string_view key = "timeout=";
  const std::size_t at = value.find(key);
  int seconds = 0;
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view number = value.substr(at + key.size());
  const std::from_chars_result parsed =
      std::from_chars(number.data(), number.data() + number.size(), seconds);
  return parsed.ec == std::errc{} ? std::optional<core::duration>(std::chrono::seconds{seconds})
                                  : std::nullopt;
}

bool has_length(const http_parser& parser) {
  return (parser.flags & F_CONTENTLENGTH) != 0;
}

void append_headers(std::string& output, const core::header_list& headers) {
  for (const auto& [name, value] : headers) {
    output += name;
    output += ": ";
    output += value;
    output += "\r\n";
  }
}

} // namespace

struct message_reader::callbacks {
  static message_reader& reader_of(http_parser* parser) {
    return *static_cast<message_reader*>(parser->data);
  }
  static int on_url(http_parser* parser, const char* at, std::size_t size) {
    message_reader& reader = reader_of(parser);
    if (!reader.grow(size)) {
      return 1;
    }
    reader.target_.append(at, size);
    return 0;
  }
  static int on_field(http_parser* parser, const char* at, std::size_t size) {
    message_reader& reader = reader_of(parser);
    if (reader.has_headers_) {
      return 0; // behind the body: dropped, as nothing there has been checked
    }
    const bool is_new = reader.headers_.empty() || reader.last_was_value_;
    if (!reader.grow(size + (is_new ? field_overhead : 0))) {
      return 1;
    }
    if (is_new) {
      reader.headers_.emplace_back();
    }
    reader.last_was_value_ = false;
    reader.headers_.back().first.append(at, size);
    return 0;
  }
  static int on_value(http_parser* parser, const char* at, std::size_t size) {
    message_reader& reader = reader_of(parser);
    if (reader.has_headers_) {
      return 0;
    }
    if (!reader.grow(size)) {
      return 1;
    }
    reader.last_was_value_ = true;
    reader.headers_.back().second.append(at, size);
    return 0;
  }
  static int on_headers_complete(http_parser* parser) {
    message_reader& reader = reader_of(parser);
    const bool has_invalid_status =
        reader.kind_ == message_kind::response &&
        (parser->status_code < first_status || parser->status_code > last_status);
    if (has_invalid_status) {
      reader.fail(read_fault::malformed);
      return -1;
    }
    const bool has_no_body = reader.kind_ == message_kind::response &&
                             (reader.has_no_body_ || !may_have_body(parser->status_code));
    if (!has_no_body && has_length(*parser) &&
        parser->content_length > reader.limits_.max_body_bytes) {
      reader.fail(read_fault::body_too_large);
      return -1;
    }
    http_parser_pause(parser, 1);
    return has_no_body ? 1 : 0;
  }
  static int on_body(http_parser* parser, const char* at, std::size_t size) {
    message_reader& reader = reader_of(parser);
    if (reader.body_.size() + size > reader.limits_.max_body_bytes) {
      reader.fail(read_fault::body_too_large);
      return 1;
    }
    // A body of unknown length grows into a buffer of up to twice its size.
    const bool has_room = has_length(*parser) ? reader.reserve_body(size, parser->content_length)
                                              : reader.grow(2 * size);
    if (!has_room) {
      return 1;
    }
    reader.body_.append(at, size);
    return 0;
  }
  static int on_message_complete(http_parser* parser) {
    message_reader& reader = reader_of(parser);
    reader.keeps_connection_ = http_should_keep_alive(parser) != 0;
    reader.state_ = read_state::complete;
    http_parser_pause(parser, 1);
    return 0;
  }
  static const http_parser_settings& settings() {
    static const http_parser_settings value = [] {
      http_parser_settings parser_settings;
      http_parser_settings_init(&parser_settings);
      parser_settings.on_url = on_url;
      parser_settings.on_header_field = on_field;
      parser_settings.on_header_value = on_value;
      parser_settings.on_headers_complete = on_headers_complete;
      parser_settings.on_body = on_body;
      parser_settings.on_message_complete = on_message_complete;
      return parser_settings;
    }();
    return value;
  }
};

message_reader::message_reader(message_kind kind, read_limits limits,
                               std::shared_ptr<memory_budget> budget)
    : kind_(kind), limits_(limits), share_(std::move(budget)) {
  begin_message();
}

bool message_reader::grow(std::size_t size) {
  if (share_.grow(size)) {
    return true;
  }
  fail(read_fault::over_budget);
  return false;
}

bool message_reader::reserve_body(std::size_t size, std::uint64_t remaining) {
  const std::size_t needed = body_.size() + size;
  if (needed <= reserved_body_bytes_) {
    return true;
  }
  // At least twice the capacity before, or all: `std::string` then allocates no more than this.
  const std::uint64_t whole = needed + remaining;
  const std::size_t capacity = whole <= 4 * needed ? static_cast<std::size_t>(whole) : 2 * needed;
  if (!grow(capacity - reserved_body_bytes_)) {
    return false;
  }
  reserved_body_bytes_ = capacity;
  body_.reserve(capacity);
  return true;
}

void message_reader::begin_message() {
  http_parser_init(&parser_, kind_ == message_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  state_ = read_state::reading;
  fault_ = read_fault::none;
  has_begun_ = false;
  has_headers_ = false;
  expects_continue_ = false;
  keeps_connection_ = false;
  last_was_value_ = false;
  last_byte_ = 0;
  header_bytes_ = 0;
  keep_alive_time_.reset();
  target_.clear();
  headers_ = {}; // with its memory
  body_ = {};    // with its memory
  reserved_body_bytes_ = 0;
  share_.release();
}

void message_reader::fail(read_fault fault) {
  state_ = read_state::failed;
  fault_ = fault;
}

bool message_reader::has_malformed_line(std::string_view bytes) {
  for (const char byte : bytes) {
    const bool is_bare_line_feed = byte == '\n' && last_byte_ != '\r';
    // A line that continues the field before it, or a field whose name begins with a blank.
    const bool is_folded =
        kind_ == message_kind::response && (byte == ' ' || byte == '\t') && last_byte_ == '\n';
    if (is_bare_line_feed || is_folded) {
      return true;
    }
    last_byte_ = byte;
  }
  return false;
}

// Line breaks between messages are allowed and are part of neither message.
std::size_t message_reader::skip_line_breaks(std::string_view bytes) {
  const std::size_t size = std::min(bytes.find_first_not_of("\r\n"), bytes.size());
  header_bytes_ += size;
  if (header_bytes_ > limits_.max_header_bytes) {
    fail(read_fault::headers_too_large);
  }
  return size;
}

std::size_t message_reader::consume(std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && state_ == read_state::reading) {
    if (!has_begun_) {
      const std::size_t skipped = skip_line_breaks(bytes.substr(consumed));
      consumed += skipped;
      if (skipped > 0) {
        continue;
      }
    }
    has_begun_ = true;
    const std::string_view remaining = bytes.substr(consumed);
    const bool was_in_headers = !has_headers_;
    const std::size_t parsed_size =
        http_parser_execute(&parser_, &callbacks::settings(), remaining.data(), remaining.size());
    consumed += parsed_size;
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (state_ == read_state::failed) {
      break;
    }
    if (error != HPE_OK && error != HPE_PAUSED) {
      fail(error == HPE_HEADER_OVERFLOW ? read_fault::headers_too_large : read_fault::malformed);
      break;
    }
    if (was_in_headers) {
      const bool is_end = error == HPE_PAUSED && state_ == read_state::reading;
      const std::size_t header_chunk_size =
          std::min(remaining.size(), parsed_size + (is_end ? 1 : 0));
      header_bytes_ += header_chunk_size;
      if (header_bytes_ > limits_.max_header_bytes) {
        fail(read_fault::headers_too_large);
        break;
      }
      if (has_malformed_line(remaining.substr(0, header_chunk_size))) {
        fail(read_fault::malformed);
        break;
      }
      if (is_end) {
        finish_headers();
      }
    }
    if (error == HPE_PAUSED) {
      http_parser_pause(&parser_, 0);
    }
    if (state_ == read_state::complete && kind_ == message_kind::response &&
        parser_.status_code < first_final_status) {
      // An interim response; the final response follows. The limit is for all headers together.
      const std::size_t header_bytes = header_bytes_;
      begin_message();
      header_bytes_ = header_bytes;
    }
  }
  return consumed;
}

void message_reader::finish_headers() {
  has_headers_ = true;
  int host_count = 0;
  int coding_count = 0;
  bool is_decodable = true;
  for (const auto& [name, value] : headers_) {
    if (!is_token(name)) {
      fail(read_fault::malformed);
      return;
    }
    host_count += core::equal_ignoring_case(name, "Host") ? 1 : 0;
    if (core::equal_ignoring_case(name, "Transfer-Encoding")) {
      ++coding_count;
      is_decodable = core::equal_ignoring_case(without_blanks_around(value), "chunked");
    }
    if (core::equal_ignoring_case(name, "Keep-Alive")) {
      keep_alive_time_ = parse_keep_alive(value);
    }
    if (core::equal_ignoring_case(name, "Expect")) {
      expects_continue_ = core::equal_ignoring_case(value, "100-continue");
    }
  }
  // A tunnel has no body, so that what follows its headers would be read as a request.
  const bool is_tunnel = kind_ == message_kind::request && parser_.method == HTTP_CONNECT;
  if (kind_ == message_kind::request && (host_count != 1 || is_tunnel)) {
    fail(read_fault::malformed);
  }
  // The field is removed, so that nobody behind could decode the body.
  if (kind_ == message_kind::response && (coding_count > 1 || !is_decodable)) {
    fail(read_fault::malformed);
  }
}

void message_reader::end_of_stream() {
  if (state_ != read_state::reading) {
    return;
  }
  http_parser_execute(&parser_, &callbacks::settings(), nullptr, 0);
  if (state_ != read_state::complete) {
    fail(read_fault::malformed);
  }
}

void message_reader::remove_hop_by_hop_fields() {
  std::string connection_options;
  for (const auto& [name, value] : headers_) {
    if (core::equal_ignoring_case(name, "Connection")) {
      connection_options += value + ",";
    }
  }
  const auto is_connection_option = [&](std::string_view name) {
    std::size_t begin = 0;
    while (begin < connection_options.size()) {
      const std::size_t end = connection_options.find(',', begin);
      const std::string_view part =
          without_blanks_around(std::string_view(connection_options).substr(begin, end - begin));
      if (core::equal_ignoring_case(part, name)) {
        return true;
      }
      begin = end + 1;
    }
    return false;
  };
  std::erase_if(headers_, [&](const auto& field) {
    const auto is_same = [&](std::string_view name) {
      return core::equal_ignoring_case(name, field.first);
    };
    return std::any_of(hop_by_hop_fields.begin(), hop_by_hop_fields.end(), is_same) ||
           is_connection_option(field.first);
  });
}

core::http_request message_reader::take_request() {
  remove_hop_by_hop_fields();
  core::http_request request;
  request.method = http_method_str(static_cast<http_method>(parser_.method));
  request.target = std::move(target_);
  request.headers = std::move(headers_);
  request.body = std::exchange(body_, {});
  begin_message();
  return request;
}

core::http_response message_reader::take_response() {
  remove_hop_by_hop_fields();
  core::http_response response;
  response.status = static_cast<int>(parser_.status_code);
  response.headers = std::move(headers_);
  response.body = std::exchange(body_, {});
  has_no_body_ = false;
  begin_message();
  return response;
}

std::string serialize(const core::http_request& request) {
  std::string output;
  constexpr std::size_t typical_header_size = 512;
  output.reserve(typical_header_size + request.body.size());
  output += request.method;
  output += ' ';
  output += request.target;
  output += " HTTP/1.1\r\n";
  append_headers(output, request.headers);
  if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
    output += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  output += "\r\n";
  output += request.body;
  return output;
}

std::string serialize(const core::http_response& response, bool closes_connection) {
  std::string output;
  constexpr std::size_t typical_header_size = 512;
  output.reserve(typical_header_size + response.body.size());
  output += "HTTP/1.1 " + std::to_string(response.status) + " ";
  output += http_status_str(static_cast<http_status>(response.status));
  output += "\r\n";
  append_headers(output, response.headers);
  const bool has_body = may_have_body(response.status);
  if (has_body) {
    output += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  }
  if (closes_connection) {
    output += "Connection: close\r\n";
  }
  output += "\r\n";
  output += has_body ? response.body : std::string{};
  return output;
}

} // namespace arbutuslb::runtime::http
