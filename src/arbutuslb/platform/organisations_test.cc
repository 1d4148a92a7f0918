// Tests of how keys and organisations are read from configurations and requests, and written to
// requests.

#include "arbutuslb/platform/orders.h"
#include "arbutuslb/platform/requests.h"
#include "arbutuslb/runtime/wire/gateway_codec.h"

#include <criterion/criterion.h>

namespace {

using namespace arbutuslb::platform;
namespace core = arbutuslb::core;
namespace gateway = core::gateway;
namespace wire = arbutuslb::runtime::wire;

std::string configuration_with(const std::string& organisations) {
  return R"({"version": "r7", "routes": {"r-a": {"host": "x.example", "pathPrefix": "/a/",
             "kind": "safe", "timeout": "1s", "targetLatency": "1s", "service": "menu",
             "public": true}},
             "services": {"menu": {}}, "tenants": )" +
         organisations + "}";
}

std::string reason_of(const std::string& text) {
  const gateway::operator_record record = decode_operator_record({1, 3}, "config", text);
  const gateway::unreadable_record* malformed =
      std::get_if<gateway::unreadable_record>(&record.value);
  return malformed == nullptr ? "" : malformed->reason;
}

core::http_request request_with(const core::header_list& headers) {
  core::http_request request;
  request.method = "GET";
  request.target = "/a/1";
  request.headers = {{"Host", "x.example"}, {"X-Attempt-Identifier", "id-1"}};
  request.headers.insert(request.headers.end(), headers.begin(), headers.end());
  return request;
}

} // namespace

Test(organisations, are_read_from_the_configuration) {
  const gateway::mesh_configuration value = decode_configuration(configuration_with(
      R"({"acme": {"apiKeys": ["k1", "k2"], "priority": 1}, "bolt": {"apiKeys": ["k3"]}})"));
  cr_assert_eq(value.organisations->find("k2")->name, "acme");
  cr_assert(value.organisations->find("k2")->rank == 1);
  cr_assert_not(value.organisations->find("k3")->rank.has_value());
  cr_assert(value.match("x.example", "/a/1")->is_public);
}

Test(organisations, a_configuration_without_them_requires_no_key) {
  std::string text = configuration_with("{}");
  cr_assert(decode_configuration(text).organisations.has_value());
  text.erase(text.find(", \"tenants\""));
  cr_assert_not(decode_configuration(text + "}").organisations.has_value());
}

// Guards against a configuration that lets everybody in because a part of it cannot be read, and
// against findings, which are logged, that name a key.
Test(organisations, what_cannot_be_read_makes_the_configuration_unreadable) {
  for (const char* text :
       {"null", "[]", "7", R"({"acme": {"apiKeys": "secret"}})", R"({"acme": {"apiKeys": [""]}})",
        R"({"acme": {"apiKeys": ["secret"], "priority": "high"}})",
        R"({"acme": {"apiKeys": ["secret"]}, "bolt": {"apiKeys": ["secret"]}})"}) {
    const std::string reason = reason_of(configuration_with(text));
    cr_assert(reason.find("tenants") != std::string::npos, "%s: %s", text, reason.c_str());
    cr_assert(reason.find("secret") == std::string::npos, "%s", reason.c_str());
  }
}

Test(organisations, the_key_is_taken_from_the_request_and_never_passed_on) {
  const gateway::call received =
      decode_call(request_with({{"x-credential", "k1"}, {"X-Tenant", "forged"}}));
  cr_assert_eq(received.credential, "k1");
  gateway::run_request run;
  run.content = received;
  run.organisation = "acme";
  const gateway::run_request arrived = wire::decode_run_request(wire::encode(run));
  cr_assert(wire::encode(run).find("k1") == std::string::npos);
  const core::http_request sent = encode_run_request(arrived);
  cr_assert_null(core::find_header(sent.headers, "X-Credential"));
  cr_assert_eq(*core::find_header(sent.headers, "X-Tenant"), "acme");
}

Test(organisations, a_request_of_no_organisation_names_none) {
  gateway::run_request run;
  run.content = decode_call(request_with({{"X-Tenant", "forged"}}));
  cr_assert_null(core::find_header(encode_run_request(run).headers, "X-Tenant"));
}

Test(organisations, two_keys_are_no_key) {
  cr_assert_eq(
      decode_call(request_with({{"X-Credential", "k1"}, {"X-Credential", "k1"}})).credential, "");
}

// A daemon of an earlier release forwards what its caller sent.
Test(organisations, what_a_peer_forwards_of_the_callers_own_headers_does_not_reach_the_upstream) {
  gateway::run_request run;
  run.content.message = request_with({{"X-Tenant", "forged"}, {"X-Credential", "k1"}});
  const core::http_request sent = encode_run_request(run);
  cr_assert_null(core::find_header(sent.headers, "X-Tenant"));
  cr_assert_null(core::find_header(sent.headers, "X-Credential"));
}
