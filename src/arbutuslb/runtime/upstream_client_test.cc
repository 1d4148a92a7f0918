// Tests of the requests to the local upstream: each has one result, and a failure is told apart
// from another. What is no answer is tested in http/broken_answer_test.cc and
// tools/broken_answers_test.

#include "arbutuslb/runtime/upstream_client.h"

#include "arbutuslb/runtime/http/http_test_fixture.h"

#include <criterion/criterion.h>

namespace {

using namespace arbutuslb::runtime;
using namespace std::chrono_literals;
namespace core = arbutuslb::core;
namespace engine = arbutuslb::core::engine;
using asio::ip::tcp;

// A client, and an upstream that answers nothing by itself.
struct upstream_fixture {
  explicit upstream_fixture(int max_requests = 4)
      : tested(server.loop, clock, {server.address.address().to_string(), server.address.port()},
               max_requests, [this](engine::event value) { results.push_back(std::move(value)); }) {
  }

  void execute(std::uint64_t execution, core::duration time_left = 10s) {
    tested.execute({execution, {"GET", "/" + std::to_string(execution), "", "", "", 0}, time_left});
  }
  // Runs the loop until there are `count` results.
  void run_until_results(std::size_t count) {
    while (results.size() < count) {
      server.loop.run_for(5ms);
      server.loop.restart();
      tested.sweep();
    }
  }
  void run_until_requests(std::size_t count) {
    server.run_until([&] { return server.requests.size() == count; });
  }
  std::optional<engine::upstream_fault> fault(std::size_t index) const {
    const engine::upstream_failed* failed = std::get_if<engine::upstream_failed>(&results[index]);
    return failed == nullptr ? std::nullopt : std::optional(failed->fault);
  }

  http::server_fixture server;
  anchored_clock clock;
  std::vector<engine::event> results;
  upstream_client tested;
};

// Closes the first connection that a client opens, once a request has come. Then it listens on, or
// does not.
engine::upstream_fault fault_at_close(bool listens_on) {
  asio::io_context loop;
  anchored_clock clock;
  tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::optional<engine::upstream_fault> fault;
  upstream_client tested(
      loop, clock, {"127.0.0.1", acceptor.local_endpoint().port()}, 4,
      [&](const engine::event& value) { fault = std::get<engine::upstream_failed>(value).fault; });
  tested.execute({1, {"GET", "/", "", "", "", 0}, 10s});
  acceptor.async_accept([&](std::error_code, tcp::socket accepted) {
    const std::shared_ptr<tcp::socket> socket = std::make_shared<tcp::socket>(std::move(accepted));
    socket->async_wait(tcp::socket::wait_read, [&, socket](std::error_code) {
      if (!listens_on) {
        acceptor.close();
      }
      socket->close();
    });
  });
  while (!fault) {
    loop.run_for(5ms);
    loop.restart();
    tested.sweep();
  }
  return *fault;
}

} // namespace

Test(upstream_client, an_answer_is_passed_on) {
  upstream_fixture fixture;
  fixture.execute(7);
  fixture.run_until_requests(1);
  core::http_response answer = fixture.server.response("body");
  answer.status = 404;
  answer.headers.emplace_back("Content-Type", "text/css");
  fixture.server.http_server.respond(fixture.server.requests[0].first, answer);
  fixture.run_until_results(1);
  const engine::upstream_answered result = std::get<engine::upstream_answered>(fixture.results[0]);
  cr_assert_eq(result.execution, 7);
  cr_assert_eq(result.answer.status, 404);
  cr_assert_eq(result.answer.content_type, "text/css");
  cr_assert_eq(result.answer.body, "body");
}

Test(upstream_client, a_request_has_the_fields_that_upstreams_read) {
  upstream_fixture fixture;
  fixture.tested.execute({1, {"POST", "/pay", "text/plain", "five", "key-1", 2}, 10s});
  fixture.run_until_requests(1);
  const core::http_request& request = fixture.server.requests[0].second;
  cr_assert_eq(request.method, "POST");
  cr_assert_eq(request.target, "/pay");
  cr_assert_eq(request.body, "five");
  cr_assert_eq(*core::find_header(request.headers, "Content-Type"), "text/plain");
  cr_assert_eq(*core::find_header(request.headers, "Idempotency-Key"), "key-1");
  cr_assert_eq(*core::find_header(request.headers, "X-Call-Depth"), "3");
  cr_assert_not_null(core::find_header(request.headers, "X-Deadline-Ms"));
}

Test(upstream_client, an_upstream_that_breaks_off_is_told_from_one_that_died) {
  cr_assert(fault_at_close(true) == engine::upstream_fault::broken);
  cr_assert(fault_at_close(false) == engine::upstream_fault::died);
}

Test(upstream_client, an_upstream_that_does_not_listen_was_sent_nothing) {
  asio::io_context loop;
  anchored_clock clock;
  std::vector<engine::event> results;
  const tcp::endpoint nobody = free_address();
  upstream_client tested(loop, clock, {nobody.address().to_string(), nobody.port()}, 4,
                         [&](engine::event value) { results.push_back(std::move(value)); });
  tested.execute({1, {"GET", "/", "", "", "", 0}, 10s});
  while (results.empty()) {
    loop.run_one();
    loop.restart();
  }
  cr_assert(std::get<engine::upstream_failed>(results[0]).fault ==
            engine::upstream_fault::not_connected);
}

Test(upstream_client, a_request_without_an_answer_ends_at_its_deadline) {
  upstream_fixture fixture;
  fixture.execute(1, 500ms);
  fixture.run_until_results(1);
  cr_assert(fixture.fault(0) == engine::upstream_fault::timed_out);
}

Test(upstream_client, a_cancelled_request_is_reported_and_makes_room) {
  upstream_fixture fixture(1);
  fixture.execute(1);
  fixture.execute(2);
  fixture.run_until_requests(1);
  fixture.tested.cancel(1);
  fixture.run_until_results(1);
  cr_assert(fixture.fault(0) == engine::upstream_fault::broken);
  cr_assert_eq(fixture.server.disconnected.size(), 1);
  fixture.run_until_requests(2);
  cr_assert_eq(fixture.server.requests[1].second.target, "/2");
}

Test(upstream_client, a_request_that_waits_past_its_deadline_is_not_sent) {
  upstream_fixture fixture(1);
  fixture.execute(1);
  fixture.run_until_requests(1);
  fixture.execute(2, 20ms);
  fixture.run_until_results(1);
  cr_assert(fixture.fault(0) == engine::upstream_fault::timed_out);
  cr_assert_eq(fixture.server.requests.size(), 1);
}
