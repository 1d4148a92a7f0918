#include "arbutuslb/platform/usage_reports.h"

#include <nlohmann/json.hpp>

namespace arbutuslb::platform {
namespace {

constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int status_timeout = 408;
constexpr int status_too_many_requests = 429;
constexpr int first_server_error = 500;

} // namespace

core::http_request encode_usage_report(const core::duties::usage_record& record) {
  core::http_request request;
  request.method = "POST";
  request.target = "/usage";
  request.headers = {{"X-Lease-Holder", record.author},
                     {"X-Fencing-Token", std::to_string(record.fencing_token)},
                     {"Content-Type", "application/json"}};
  request.body = nlohmann::json{{"windowNumber", record.window},
                                {"counts", nlohmann::json::object_t(record.counts.begin(),
                                                                    record.counts.end())}}
                     .dump();
  return request;
}

core::duties::post_outcome decode_usage_answer(const runtime::http::exchange_result& exchange) {
  const int status = exchange.answer.status;
  const bool is_final = exchange.outcome == runtime::http::exchange_outcome::answered &&
                        status >= first_success && status < first_server_error &&
                        status != status_timeout && status != status_too_many_requests;
  if (!is_final) {
    return core::duties::post_outcome::unknown;
  }
  return status < first_redirect ? core::duties::post_outcome::accepted
                                 : core::duties::post_outcome::rejected;
}

} // namespace arbutuslb::platform
