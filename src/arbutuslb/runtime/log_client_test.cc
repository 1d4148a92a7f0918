// Tests of the log client with a log in trouble.

#include "arbutuslb/runtime/log_client.h"

#include "arbutuslb/runtime/http/http_test_fixture.h"

#include <asio/post.hpp>
#include <criterion/criterion.h>

namespace {

using namespace arbutuslb::runtime;
namespace engine = arbutuslb::core::engine;

// Returns what the client makes of a log that answers an append with `body`.
engine::log_appended append_answered_with(const std::string& body) {
  http::server_fixture fixture;
  std::optional<engine::log_appended> result;
  http_log_client tested({fixture.address.address().to_string(), fixture.address.port()},
                         [&](const engine::event& value) {
                           asio::post(fixture.loop, [&result, value] {
                             result = std::get<engine::log_appended>(value);
                           });
                         });
  tested.append({1, "changes", "record"});
  fixture.run_until([&] { return fixture.requests.size() == 1; });
  fixture.http_server.respond(fixture.requests[0].first, fixture.response(body));
  fixture.run_until([&] { return result.has_value(); });
  return *result;
}

} // namespace

Test(log_client, an_append_with_an_offset_is_appended) {
  const engine::log_appended result = append_answered_with(R"({"offset": 7})");
  cr_assert(result.result == engine::append_result::appended);
  cr_assert_eq(result.offset, 7);
}

// Guards against an answer that ends the process.
Test(log_client, an_append_with_a_malformed_answer_is_unknown) {
  for (const char* body : {"", "{", "7", "[7]", "{}", R"({"offset": "7"})", R"({"offset": null})",
                           R"({"offset": {}})", R"({"offset": -1})", R"({"offset": 1.5})"}) {
    cr_expect(append_answered_with(body).result == engine::append_result::unknown, "%s", body);
  }
}
