#include "arbutuslb/platform/store_client.h"

#include "arbutuslb/platform/store_answers.h"

#include <array>
#include <boost/endian/conversion.hpp>
#include <charconv>

namespace arbutuslb::platform {
namespace {

namespace http = runtime::http;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_precondition_failed = 412;
constexpr int first_server_error = 500;
constexpr int status_unavailable = 503;
constexpr int status_too_many_requests = 429;
// An answer takes a few milliseconds; a slow store takes up to some hundred times as long.
constexpr std::chrono::milliseconds call_timeout{1500};
constexpr std::chrono::milliseconds connect_timeout{500};
// The store closes idle connections only after a long time. A call that fails because the
// connection was closed is repeated by its caller.
constexpr std::chrono::seconds max_connection_idle{5};
// States how often the store has come back from an older copy.
constexpr const char* era_header = "Store-Era";
constexpr std::size_t length_size = 4;

std::string encode_record(const std::string& key, const std::string& value) {
  std::string content;
  content.push_back(static_cast<char>(key.size()));
  content += key;
  content += value;
  std::array<unsigned char, length_size> length{};
  boost::endian::store_big_u32(length.data(), static_cast<std::uint32_t>(content.size()));
  return std::string(length.begin(), length.end()) + content;
}

// Returns zero if the answer states no era.
std::uint64_t decode_era(const core::http_response& answer) {
  const std::string* text = core::find_header(answer.headers, era_header);
  std::uint64_t era = 0;
  if (text != nullptr) {
    const char* const end = text->data() + text->size();
    const std::from_chars_result parsed = std::from_chars(text->data(), end, era);
    era = parsed.ec == std::errc{} && parsed.ptr == end ? era : 0;
  }
  return era;
}

read_result failed_read(const http::exchange_result& exchange) {
  read_result result;
  result.reason = exchange.outcome == http::exchange_outcome::answered
                      ? "status " + std::to_string(exchange.answer.status)
                      : "no answer";
  result.era = decode_era(exchange.answer);
  return result;
}

append_result decode_append(const http::exchange_result& exchange) {
  switch (exchange.outcome) {
  case http::exchange_outcome::not_connected:
    return {append_status::refused, "not connected", 0};
  case http::exchange_outcome::broken:
    return {append_status::unknown, "no answer", 0};
  case http::exchange_outcome::answered:
    break;
  }
  const int status = exchange.answer.status;
  const std::uint64_t era = decode_era(exchange.answer);
  const std::string reason = "status " + std::to_string(status);
  if (status == status_ok) {
    return {append_status::appended, "", era};
  }
  if (status == status_precondition_failed || status == status_conflict) {
    return {append_status::conflict, reason, era};
  }
  const bool is_refused = status < first_server_error || status == status_unavailable ||
                          status == status_too_many_requests;
  return {is_refused ? append_status::refused : append_status::unknown, reason, era};
}

} // namespace

store_client::store_client(http::client& connections, const asio::ip::tcp::endpoint& address)
    : connections_(connections), address_(address) {}

std::uint64_t store_client::send_request(core::http_request request, core::duration timeout,
                                         connection_choice choice,
                                         http::client::completion_handler on_result) {
  ++calls_;
  request.headers.emplace_back("Host", address_.address().to_string());
  http::send_options options;
  options.connect_timeout = connect_timeout;
  options.max_idle = choice == connection_choice::any ? core::duration{max_connection_idle}
                                                      : core::duration::zero();
  options.answer_timeout = timeout;
  return connections_.send(address_, request, std::move(options), std::move(on_result));
}

void store_client::read_newest(const std::string& topic, std::function<void(read_result)> on_result,
                               connection_choice choice) {
  read_page(topic, "", {}, choice, std::move(on_result));
}

void store_client::read_page(const std::string& topic, const std::string& after,
                             read_result partial_result, connection_choice choice,
                             std::function<void(read_result)> on_result) {
  core::http_request request;
  request.method = "GET";
  request.target = "/log-newest?topic=" + topic + "&part=0";
  if (!after.empty()) {
    request.target += "&after=" + after;
  }
  const auto on_answer = [this, topic, after, partial_result = std::move(partial_result),
                          on_result =
                              std::move(on_result)](http::exchange_result exchange) mutable {
    if (exchange.outcome != http::exchange_outcome::answered ||
        exchange.answer.status != status_ok) {
      on_result(failed_read(exchange));
      return;
    }
    const std::uint64_t era = decode_era(exchange.answer);
    if (!after.empty() && era != partial_result.era) {
      read_page(topic, "", {}, connection_choice::any,
                std::move(on_result)); // the earlier pages are of another log
      return;
    }
    partial_result.era = era;
    std::string next_key;
    try {
      next_key = decode_page(exchange.answer.body, after.empty(), partial_result);
    } catch (const std::exception& error) {
      partial_result.reason = std::string("malformed page: ") + error.what();
      on_result(std::move(partial_result));
      return;
    }
    if (!next_key.empty()) {
      read_page(topic, next_key, std::move(partial_result), connection_choice::any,
                std::move(on_result));
      return;
    }
    partial_result.status = read_status::ok;
    on_result(std::move(partial_result));
  };
  send_request(std::move(request), call_timeout, choice, on_answer);
}

std::uint64_t store_client::read_from(const std::string& topic, std::uint64_t from_offset,
                                      core::duration wait,
                                      std::function<void(read_result)> on_result,
                                      connection_choice choice) {
  core::http_request request;
  request.method = "GET";
  request.target = "/log-read?topic=" + topic + "&part=0&from=" + std::to_string(from_offset) +
                   "&waitMs=" + std::to_string(core::to_milliseconds(wait));
  const auto on_answer = [from_offset,
                          on_result = std::move(on_result)](const http::exchange_result& exchange) {
    if (exchange.outcome == http::exchange_outcome::answered &&
        exchange.answer.status == status_gone) {
      read_result expired;
      expired.status = read_status::expired;
      expired.era = decode_era(exchange.answer);
      on_result(std::move(expired));
      return;
    }
    if (exchange.outcome != http::exchange_outcome::answered ||
        exchange.answer.status != status_ok) {
      on_result(failed_read(exchange));
      return;
    }
    read_result result = decode_records(exchange.answer.body, from_offset);
    result.era = decode_era(exchange.answer);
    on_result(std::move(result));
  };
  return send_request(std::move(request), wait + call_timeout, choice, on_answer);
}

void store_client::append(const std::string& topic, const std::string& key,
                          const std::string& value, std::optional<std::uint64_t> expected_end,
                          std::function<void(append_result)> on_result) {
  core::http_request request;
  request.method = "POST";
  request.target = "/log-append?topic=" + topic + "&part=0";
  if (expected_end) {
    request.target += "&at=" + std::to_string(*expected_end);
  }
  request.body = encode_record(key, value);
  send_request(std::move(request), call_timeout, connection_choice::new_one,
               [on_result = std::move(on_result)](const http::exchange_result& exchange) {
                 on_result(decode_append(exchange));
               });
}

} // namespace arbutuslb::platform
