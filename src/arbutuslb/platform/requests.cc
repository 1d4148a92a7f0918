#include "arbutuslb/platform/requests.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace arbutuslb::platform {
namespace {

namespace gateway = core::gateway;

constexpr const char* attempt_field = "X-Attempt-Identifier";
constexpr const char* time_left_field = "X-Deadline-Remaining"; // milliseconds
constexpr const char* instance_field = "X-Expected-Instance";
constexpr const char* caller_field = "X-Calling-Service";
constexpr const char* credential_field = "X-Credential"; // key of an organisation
constexpr const char* organisation_field = "X-Tenant";   // name of the organisation
constexpr const char* not_executed_field = "X-Not-Executed";
constexpr const char* signature_field = "X-Response-Signature";
constexpr const char* rate_limit_field = "Server-Limit"; // requests per second
constexpr const char* leaving_field = "Server-Leaving";  // "1"

constexpr int status_misdirected = 421;
constexpr int first_success = 200;
constexpr int first_redirect = 300;

// The daemons set these headers themselves, or act on them; those of the caller are not forwarded.
constexpr std::array<const char*, 7> reserved_fields{
    attempt_field, time_left_field,  instance_field,    caller_field,
    "Host",        credential_field, organisation_field};

core::duration parse_time_left(const std::string& text) {
  double milliseconds = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  constexpr double max_milliseconds = 1e9;
  const bool is_in_range = milliseconds > 0 && milliseconds <= max_milliseconds; // false for NaN
  if (parsed.ec != std::errc{} || !is_in_range) {
    return {};
  }
  return std::chrono::duration_cast<core::duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

// A limit that is not a number is ignored: the answer itself is valid.
std::optional<double> parse_rate_limit(const std::string& text) {
  double value = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool is_valid = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() &&
                        std::isfinite(value) && value >= 0;
  return is_valid ? std::optional<double>(value) : std::nullopt;
}

void remove_reserved_fields(core::header_list& headers) {
  std::erase_if(headers, [](const auto& field) {
    return std::any_of(reserved_fields.begin(), reserved_fields.end(), [&](const char* name) {
      return core::equal_ignoring_case(name, field.first);
    });
  });
}

// Returns the key that the caller presented. Empty, which no organisation holds, if there is none
// or more than one: another program could act on the other one.
std::string decode_credential(const core::header_list& headers) {
  const auto is_credential = [](const auto& field) {
    return core::equal_ignoring_case(credential_field, field.first);
  };
  const bool is_single = std::count_if(headers.begin(), headers.end(), is_credential) == 1;
  return is_single ? *core::find_header(headers, credential_field) : std::string{};
}

gateway::upstream_notice decode_notice(const core::header_list& headers) {
  gateway::upstream_notice notice;
  if (const std::string* limit = core::find_header(headers, rate_limit_field)) {
    notice.rate_limit = parse_rate_limit(*limit);
  }
  const std::string* leaving = core::find_header(headers, leaving_field);
  notice.is_leaving = leaving != nullptr && *leaving == "1";
  return notice;
}

} // namespace

gateway::call decode_call(core::http_request request) {
  gateway::call value;
  if (const std::string* id = core::find_header(request.headers, attempt_field)) {
    value.attempt_id = *id;
  }
  if (const std::string* remaining = core::find_header(request.headers, time_left_field)) {
    value.time_left = parse_time_left(*remaining);
  }
  if (const std::string* host = core::find_header(request.headers, "Host")) {
    value.host = *host;
  }
  value.credential = decode_credential(request.headers);
  remove_reserved_fields(request.headers);
  value.message = std::move(request);
  return value;
}

core::http_request encode_run_request(const gateway::run_request& request) {
  core::http_request message = request.content.message;
  // Again, since a daemon of an earlier release may have sent the request.
  remove_reserved_fields(message.headers);
  message.headers.emplace_back("Host", request.content.host);
  message.headers.emplace_back(attempt_field, request.content.attempt_id);
  message.headers.emplace_back(time_left_field, std::to_string(std::max<std::int64_t>(
                                                    1, core::to_milliseconds(request.time_left))));
  message.headers.emplace_back(instance_field, request.instance_id);
  message.headers.emplace_back(caller_field, request.caller_service);
  if (!request.organisation.empty()) {
    message.headers.emplace_back(organisation_field, request.organisation);
  }
  return message;
}

runtime::http::answer_owner owner_of(const core::http_response& answer,
                                     const std::string& attempt_id) {
  const std::string* id = core::find_header(answer.headers, attempt_field);
  return id == nullptr       ? runtime::http::answer_owner::unidentified
         : *id == attempt_id ? runtime::http::answer_owner::this_request
                             : runtime::http::answer_owner::another_request;
}

gateway::run_result decode_answer(core::http_response answer) {
  gateway::run_result result;
  result.reached_upstream = true;
  if (answer.status != status_misdirected) {
    result.notice = decode_notice(answer.headers);
  }
  if (core::find_header(answer.headers, not_executed_field) != nullptr ||
      answer.status == status_misdirected) {
    result.outcome = gateway::run_outcome::not_executed;
    result.reason = "upstream refused with status " + std::to_string(answer.status);
    return result;
  }
  const bool is_success = answer.status >= first_success && answer.status < first_redirect;
  if (is_success && core::find_header(answer.headers, signature_field) == nullptr) {
    result.outcome = gateway::run_outcome::unknown;
    result.reason = "successful answer without X-Response-Signature header";
    return result;
  }
  result.outcome = gateway::run_outcome::answered;
  result.answer = std::move(answer);
  return result;
}

} // namespace arbutuslb::platform
