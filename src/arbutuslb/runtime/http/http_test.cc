// Tests of HTTP framing, the HTTP server and the HTTP client. Sockets are on loopback; no test
// depends on timing.

#include "arbutuslb/runtime/http/http_test_fixture.h"

#include <array>
#include <criterion/criterion.h>
#include <sys/resource.h>

namespace {

using namespace arbutuslb::runtime::http;
using namespace std::chrono_literals;
namespace core = arbutuslb::core;
using asio::ip::tcp;

constexpr read_limits small_limits{512, 1024};

read_fault fault_of(std::string_view bytes, message_kind kind = message_kind::request) {
  message_reader reader(kind, small_limits);
  reader.consume(bytes);
  return reader.fault();
}

// The request that a test sends has the id "mine".
answer_owner owner_by_id(const core::http_response& answer) {
  const std::string* id = core::find_header(answer.headers, "Id");
  return id == nullptr   ? answer_owner::unidentified
         : *id == "mine" ? answer_owner::this_request
                         : answer_owner::another_request;
}

} // namespace

Test(message_reader, pipelined_requests_are_taken_one_at_a_time) {
  message_reader reader(message_kind::request, small_limits);
  const std::string bytes = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
                            "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
                            "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "3\r\nabc\r\n0\r\n\r\n";
  std::vector<std::pair<std::string, std::string>> seen;
  std::string_view rest = bytes;
  while (!rest.empty()) {
    rest.remove_prefix(reader.consume(rest));
    cr_assert(reader.state() == read_state::complete);
    const core::http_request request = reader.take_request();
    seen.emplace_back(request.target, request.body);
  }
  const std::vector<std::pair<std::string, std::string>> expected{
      {"/a", ""}, {"/b", "hi"}, {"/c", "abc"}};
  cr_assert(seen == expected);
}

Test(message_reader, bytes_one_at_a_time_give_the_same_message) {
  message_reader reader(message_kind::request, small_limits);
  for (const char byte :
       std::string("PUT /a HTTP/1.1\r\nHost: x\r\nA: b\r\nContent-Length: 3\r\n\r\nabc")) {
    cr_assert_eq(reader.consume(std::string_view(&byte, 1)), 1);
  }
  cr_assert(reader.state() == read_state::complete);
  const core::http_request request = reader.take_request();
  cr_assert_eq(request.body, "abc");
  cr_assert_eq(*core::find_header(request.headers, "a"), "b");
}

Test(message_reader, ambiguously_framed_requests_are_malformed) {
  for (const char* bytes :
       {"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "GET / HTTP/1.1\nHost: x\n\n", "GET / HTTP/1.1\r\nHost: x\r\n\n",
        "GET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 4\r\n\r\nabcd",
        "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\nA b: c\r\n\r\n",
        "CONNECT x:80 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"}) {
    cr_assert(fault_of(bytes) == read_fault::malformed, "%s", bytes);
  }
}

// Guards against two readings of one message, found by fuzzing: a line break before a message
// turned off the check for bare line feeds in what arrived together with it.
Test(message_reader, line_breaks_before_a_message_hide_no_bare_line_feed) {
  cr_assert(fault_of("\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n") == read_fault::none);
  cr_assert(fault_of("\r\nGET / HTTP/1.1\nHost: x\n\n") == read_fault::malformed);
  cr_assert(fault_of("\nGET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n") == read_fault::malformed);
  cr_assert(fault_of("\r\nHTTP/1.1 200 OK\nContent-Length: 0\n\n", message_kind::response) ==
            read_fault::malformed);
}

// Guards against a connection that is never idle and never late: line breaks without end.
Test(message_reader, line_breaks_before_a_message_count_as_header) {
  cr_assert(fault_of(std::string(2000, '\n')) == read_fault::headers_too_large);
}

// Guards against fields that nobody has checked, found by fuzzing: those behind a chunked body were
// passed on as header fields.
Test(message_reader, fields_behind_a_body_are_dropped) {
  message_reader reader(message_kind::request, small_limits);
  reader.consume("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "1\r\na\r\n0\r\nHost W: y\r\nContent-Length: 9\r\nX-Calling-Service: z\r\n\r\n");
  cr_assert(reader.state() == read_state::complete);
  const core::http_request request = reader.take_request();
  cr_assert_eq(request.headers.size(), 1);
  cr_assert_eq(request.headers[0].first, "Host");
}

Test(message_reader, size_limits_are_enforced) {
  const std::string long_field =
      "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(600, 'a') + "\r\n\r\n";
  cr_assert(fault_of(long_field) == read_fault::headers_too_large);
  const std::string long_body =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'a');
  cr_assert(fault_of(long_body) == read_fault::body_too_large);
}

Test(message_reader, a_declared_length_over_the_limit_fails_with_its_header) {
  const std::string length = "Content-Length: 1025\r\n\r\n";
  cr_assert(fault_of("POST / HTTP/1.1\r\nHost: x\r\n" + length) == read_fault::body_too_large);
  cr_assert(fault_of("HTTP/1.1 200 OK\r\n" + length, message_kind::response) ==
            read_fault::body_too_large);
  // An answer without a body may declare the length that it would have.
  message_reader answer_to_head(message_kind::response, small_limits);
  answer_to_head.expect_no_body(true);
  answer_to_head.consume("HTTP/1.1 200 OK\r\n" + length);
  cr_assert(answer_to_head.state() == read_state::complete);
}

Test(message_reader, hop_by_hop_fields_are_removed) {
  message_reader reader(message_kind::request, small_limits);
  reader.consume("GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
                 "Keep-Alive: timeout=5\r\nX-Kept: 2\r\n\r\n");
  const core::http_request request = reader.take_request();
  cr_assert_null(core::find_header(request.headers, "X-Hop"));
  cr_assert_null(core::find_header(request.headers, "Connection"));
  cr_assert_not_null(core::find_header(request.headers, "X-Kept"));
}

// Guards against bytes that the caller takes for the next answer, found by fuzzing: an answer whose
// status allows no body had one, and it was passed on.
Test(message_reader, an_answer_that_may_not_have_a_body_has_none) {
  for (const char* status : {"204 No Content", "304 Not Modified"}) {
    message_reader reader(message_kind::response, small_limits);
    const std::string bytes =
        "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 4\r\n\r\ndone";
    cr_assert_eq(reader.consume(bytes), bytes.size() - 4);
    cr_assert(reader.state() == read_state::complete);
    core::http_response answer = reader.take_response();
    cr_assert(answer.body.empty());
    answer.body = "done";
    cr_assert(serialize(answer, false).ends_with("\r\n\r\n"));
  }
}

Test(message_reader, a_response_without_length_ends_with_the_stream_and_a_truncated_one_fails) {
  message_reader unframed(message_kind::response, small_limits);
  unframed.consume("HTTP/1.1 200 OK\r\nA: b\r\n\r\npart");
  cr_assert(unframed.state() == read_state::reading);
  unframed.end_of_stream();
  cr_assert(unframed.state() == read_state::complete);
  cr_assert_eq(unframed.take_response().body, "part");
  message_reader truncated(message_kind::response, small_limits);
  truncated.consume("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  truncated.end_of_stream();
  cr_assert(truncated.state() == read_state::failed);
}

Test(server, pipelined_requests_are_answered_in_order) {
  server_fixture fixture;
  tcp::socket socket(fixture.loop);
  socket.connect(fixture.address);
  asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
                                               "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n"
                                               "GET /3 HTTP/1.1\r\nHost: x\r\n\r\n")));
  fixture.run_until([&] { return fixture.requests.size() == 3; });
  for (const std::size_t i : {2, 0, 1}) {
    fixture.http_server.respond(fixture.requests[i].first,
                                fixture.response("<" + fixture.requests[i].second.target + ">"));
  }
  const std::string text = read_until(fixture, socket, "</3>");
  cr_assert(text.find("</1>") < text.find("</2>"));
  cr_assert(text.find("</2>") < text.find("</3>"));
}

Test(server, a_disconnect_is_reported_while_the_request_is_in_progress) {
  server_fixture fixture;
  {
    tcp::socket socket(fixture.loop);
    socket.connect(fixture.address);
    asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")));
    fixture.run_until([&] { return fixture.requests.size() == 1; });
  }
  fixture.run_until([&] { return fixture.disconnected.size() == 1; });
  cr_assert_eq(fixture.disconnected.front(), fixture.requests.front().first);
  fixture.http_server.respond(fixture.disconnected.front(),
                              fixture.response("late")); // does nothing
}

// Guards against a caller that waits for ever: the handler of its request failed.
Test(server, a_request_whose_handler_throws_closes_its_connection_only) {
  asio::io_context loop;
  const tcp::endpoint address = arbutuslb::runtime::free_address();
  int requests = 0;
  server tested(loop, address,
                {[&](std::uint64_t, const core::http_request& request) {
                   ++requests;
                   if (request.target == "/bad") {
                     throw std::runtime_error("cannot be handled");
                   }
                 },
                 [](std::uint64_t) {}});
  tcp::socket bad(loop);
  tcp::socket good(loop);
  bad.connect(address);
  good.connect(address);
  asio::write(bad, asio::buffer(std::string("GET /bad HTTP/1.1\r\nHost: x\r\n\r\n")));
  const auto run = [&] {
    loop.restart();
    loop.run_for(std::chrono::milliseconds{100});
  };
  cr_assert_throw(run(), std::runtime_error);
  asio::write(good, asio::buffer(std::string("GET /good HTTP/1.1\r\nHost: x\r\n\r\n")));
  run();
  cr_assert_eq(requests, 2);
  cr_assert_eq(tested.connection_count(), 1);
  std::array<char, 16> buffer{};
  std::error_code end;
  bad.read_some(asio::buffer(buffer), end);
  cr_assert(static_cast<bool>(end));
}

Test(server, a_malformed_request_is_answered_in_order_and_nothing_after_it_is_passed_on) {
  server_fixture fixture;
  tcp::socket socket(fixture.loop);
  socket.connect(fixture.address);
  asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
                                               "GET /2 HTTP/1.1\nHost: x\n\n"
                                               "GET /3 HTTP/1.1\r\nHost: x\r\n\r\n")));
  fixture.run_until([&] { return fixture.requests.size() == 1; });
  fixture.http_server.respond(fixture.requests[0].first, fixture.response("first"));
  const std::string text = read_until(fixture, socket, "400 ");
  cr_assert(text.find("first") < text.find("400 "));
  cr_assert_eq(fixture.requests.size(), 1);
}

// Guards against requests lost at shutdown: a request that was read long after SIGTERM was cut off
// when the process exited.
Test(server, after_stop_reading_whatever_was_read_is_answered_and_no_connection_is_accepted) {
  server_fixture fixture;
  tcp::socket busy(fixture.loop);
  tcp::socket idle(fixture.loop);
  busy.connect(fixture.address);
  idle.connect(fixture.address);
  asio::write(busy, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")));
  fixture.run_until([&] { return fixture.requests.size() == 1; });
  fixture.http_server.stop_reading();
  std::error_code end;
  drain(fixture, idle, end);
  cr_assert(end == asio::error::eof, "an idle connection is still open");
  asio::write(busy, asio::buffer(std::string("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")));
  fixture.loop.run_for(std::chrono::milliseconds{50});
  fixture.loop.restart();
  cr_assert_eq(fixture.requests.size(), 2);
  fixture.http_server.respond(fixture.requests[0].first, fixture.response("done"));
  fixture.http_server.respond(fixture.requests[1].first, fixture.response("last"));
  const std::string text = read_until(fixture, busy, "last");
  cr_assert(text.find("Connection: close") != std::string::npos);
  cr_assert(text.find("Connection: close") > text.find("done"));
  cr_assert_eq(fixture.requests.size(), 2);
  tcp::socket late(fixture.loop);
  std::error_code error;
  late.connect(fixture.address, error);
  cr_assert(static_cast<bool>(error));
}

// Guards against answers lost at shutdown: after SIGTERM the first of several pending answers
// closed the connection, and later answers were dropped although their requests were passed on.
Test(server, an_answer_counts_as_unsent_until_its_last_byte_is_written) {
  constexpr std::size_t size = std::size_t{24} * 1024 * 1024; // more than socket buffers hold
  server_fixture fixture;
  tcp::socket socket(fixture.loop);
  socket.connect(fixture.address);
  asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")));
  fixture.run_until([&] { return fixture.requests.size() == 1; });
  cr_assert_not(fixture.http_server.has_unsent_answers());
  fixture.http_server.respond(fixture.requests[0].first, fixture.response(std::string(size, 'a')));
  cr_assert(fixture.http_server.has_unsent_answers());
  socket.non_blocking(true);
  std::vector<char> buffer(std::size_t{1024} * 1024);
  std::size_t received = 0;
  fixture.run_until([&] {
    std::error_code error;
    received += socket.read_some(asio::buffer(buffer), error);
    socket.async_wait(tcp::socket::wait_read, [](std::error_code) {});
    return received > size;
  });
  fixture.loop.poll();
  cr_assert_not(fixture.http_server.has_unsent_answers());
}

// Guards against a request that is read but never answered: a connection whose answer was being
// written when the server stopped reading remained open, and read the next request.
Test(server, a_connection_that_is_being_written_is_closed_after_the_server_stops_reading) {
  constexpr std::size_t size = std::size_t{24} * 1024 * 1024; // more than socket buffers hold
  server_fixture fixture;
  tcp::socket socket(fixture.loop);
  socket.connect(fixture.address);
  asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")));
  fixture.run_until([&] { return fixture.requests.size() == 1; });
  fixture.http_server.respond(fixture.requests[0].first, fixture.response(std::string(size, 'a')));
  cr_assert(fixture.http_server.has_unsent_answers());
  fixture.http_server.stop_reading();
  std::error_code end;
  cr_assert_gt(drain(fixture, socket, end), size);
  cr_assert(end == asio::error::eof, "the connection is still open");
}

// Guards against a lost last answer: bytes that its caller had sent behind its last request were
// not read before the process exited, which resets the connection.
Test(server, an_answer_counts_as_unsent_until_its_caller_has_closed_the_connection) {
  server_fixture fixture;
  tcp::socket socket(fixture.loop);
  socket.connect(fixture.address);
  asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: x\r\n"
                                               "Connection: close\r\n\r\n")));
  fixture.run_until([&] { return fixture.requests.size() == 1; });
  fixture.http_server.respond(fixture.requests[0].first, fixture.response("last"));
  fixture.loop.poll();
  fixture.loop.restart();
  asio::write(socket, asio::buffer(std::string("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")));
  fixture.http_server.stop_reading();
  cr_assert(fixture.http_server.has_unsent_answers());
  std::error_code end;
  cr_assert_gt(drain(fixture, socket, end), 0);
  cr_assert(end == asio::error::eof, "the connection was reset");
  socket.close();
  fixture.run_until([&] { return !fixture.http_server.has_unsent_answers(); });
}

// Guards against a busy loop: a connection that could not be accepted for want of descriptors was
// accepted again at once, and all processor time went into that.
Test(server, an_accept_that_fails_is_repeated_after_a_while) {
  asio::io_context loop;
  const tcp::endpoint address = arbutuslb::runtime::free_address();
  int failures = 0;
  int requests = 0;
  server tested(loop, address,
                {[&](std::uint64_t, const core::http_request&) { ++requests; },
                 [](std::uint64_t) {}, [&](const std::string&) { ++failures; }});
  tcp::socket caller(loop);
  caller.connect(address);
  asio::write(caller, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")));
  rlimit limit{};
  cr_assert_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
  const rlimit none{3, limit.rlim_max}; // fewer than are open
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &none), 0);
  constexpr int periods = 5;
  for (int i = 0; i < periods; ++i) {
    loop.run_for(std::chrono::milliseconds{40});
    loop.restart();
  }
  cr_assert(failures > 0);
  cr_assert_leq(failures, periods, "%d failures", failures);
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
  for (int i = 0; i < periods && requests == 0; ++i) {
    loop.run_for(std::chrono::milliseconds{40});
    loop.restart();
  }
  cr_assert_eq(requests, 1);
}

Test(server, a_planned_stop_answers_all_requests_that_were_read_on_a_connection) {
  server_fixture fixture;
  tcp::socket socket(fixture.loop);
  socket.connect(fixture.address);
  asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
                                               "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")));
  fixture.run_until([&] { return fixture.requests.size() == 2; });
  fixture.http_server.close_after_answers();
  fixture.http_server.respond(fixture.requests[0].first, fixture.response("first"));
  fixture.http_server.respond(fixture.requests[1].first, fixture.response("second"));
  const std::string text = read_until(fixture, socket, "second");
  cr_assert(text.find("second") != std::string::npos);
  cr_assert(text.find("Connection: close") > text.find("first"));
  cr_assert(fixture.disconnected.empty());
}

// Guards against a lost last answer: a request sent after the last answer of a connection turned
// the close into a reset, and the caller could not read that answer.
Test(server, bytes_received_after_the_last_answer_do_not_reset_the_connection) {
  server_fixture fixture;
  tcp::socket socket(fixture.loop);
  socket.connect(fixture.address);
  asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: x\r\n"
                                               "Connection: close\r\n\r\n")));
  fixture.run_until([&] { return fixture.requests.size() == 1; });
  fixture.http_server.respond(fixture.requests[0].first, fixture.response("last"));
  read_until(fixture, socket, "last");
  fixture.loop.poll();
  asio::write(socket, asio::buffer(std::string("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")));
  std::error_code end;
  read_until(fixture, socket, "never", &end);
  fixture.loop.poll();
  asio::write(socket, asio::buffer(std::string("GET /3 HTTP/1.1\r\nHost: x\r\n\r\n")), end);
  cr_assert_not((static_cast<bool>(end)), "the connection was reset");
  cr_assert_eq(fixture.requests.size(), 1);
}

Test(server, a_request_that_arrives_byte_by_byte_is_refused_when_its_time_is_over) {
  server_fixture fixture;
  tcp::socket socket(fixture.loop);
  socket.connect(fixture.address);
  socket.set_option(tcp::no_delay(true));
  const core::time_point start{std::chrono::hours{24}};
  const auto send_and_sweep = [&](const std::string& bytes, core::duration elapsed) {
    asio::write(socket, asio::buffer(bytes));
    fixture.loop.poll();
    fixture.loop.restart();
    fixture.http_server.sweep(start + elapsed);
  };
  // Requests that follow each other closely are in time.
  for (int i = 0; i < 10; ++i) {
    send_and_sweep("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nG", i * 500ms);
    send_and_sweep("ET /2 HTTP/1.1\r\nHost: x\r\n\r\n", i * 500ms + 250ms);
    fixture.run_until([&] { return fixture.requests.size() == 2; });
    for (const auto& [token, request] : std::exchange(fixture.requests, {})) {
      fixture.http_server.respond(token, fixture.response("yes"));
    }
  }
  send_and_sweep("GET /slow HTTP/1.1\r\nHost: x\r\nA: ", 5s);
  for (int i = 1; i <= 13; ++i) { // longer than the limit of 3 s
    send_and_sweep("b", 5s + i * 250ms);
  }
  send_and_sweep("\r\n\r\n", 8500ms); // completes it if it was not refused
  cr_assert(fixture.requests.empty());
  const std::string text = read_until(fixture, socket, "408 ");
  cr_assert_eq(text.find("400 "), std::string::npos);
}

Test(client, sent_and_unsent_requests_are_distinguished) {
  server_fixture fixture;
  client sender(fixture.loop);
  std::vector<exchange_result> ends;
  core::http_request request = get_request("/1");
  const auto store_result = [&](exchange_result end) { ends.push_back(std::move(end)); };
  sender.send(arbutuslb::runtime::free_address(), request, {}, store_result);
  fixture.run_until([&] { return ends.size() == 1; });
  cr_assert(ends[0].outcome == exchange_outcome::not_connected);
  sender.send(fixture.address, request, {}, store_result);
  fixture.run_until([&] { return fixture.requests.size() == 1; });
  fixture.http_server.respond(fixture.requests[0].first, fixture.response("yes"));
  fixture.run_until([&] { return ends.size() == 2; });
  cr_assert(ends[1].outcome == exchange_outcome::answered);
  cr_assert_eq(ends[1].answer.body, "yes");
  sender.send(fixture.address, request, {}, store_result); // on the idle connection
  fixture.run_until([&] { return fixture.requests.size() == 2; });
  cr_assert_eq(sender.connections_opened(), 2);
  fixture.http_server.stop_reading();
  fixture.http_server.respond(fixture.requests[1].first, fixture.response("last"));
  fixture.run_until([&] { return ends.size() == 3; });
  cr_assert_eq(ends[2].answer.body, "last");
}

// Guards against waiting for silence again and again: open connections may go silent without a
// reset while new ones work, and after one had timed out the others that were open were used in
// turn.
Test(client, a_timeout_at_a_silent_server_closes_its_idle_connections) {
  server_fixture fixture;
  client sender(fixture.loop);
  std::vector<exchange_result> ends;
  const auto store_result = [&](exchange_result end) { ends.push_back(std::move(end)); };
  sender.send(fixture.address, get_request("/1"), {}, store_result);
  sender.send(fixture.address, get_request("/2"), {}, store_result);
  fixture.run_until([&] { return fixture.requests.size() == 2; });
  for (const auto& [token, request] : fixture.requests) {
    fixture.http_server.respond(token, fixture.response("yes"));
  }
  fixture.run_until([&] { return ends.size() == 2; });
  cr_assert_eq(sender.connections_opened(), 2);
  send_options options;
  options.answer_timeout = std::chrono::milliseconds{20};
  sender.send(fixture.address, get_request("/silent"), options, store_result);
  while (ends.size() < 3) {
    fixture.loop.run_for(std::chrono::milliseconds{5});
    fixture.loop.restart();
    sender.sweep({});
  }
  cr_assert(ends[2].is_timeout);
  sender.send(fixture.address, get_request("/4"), options, store_result);
  cr_assert_eq(sender.connections_opened(), 3);
}

Test(client, an_answer_after_one_to_a_head_request_keeps_its_body) {
  server_fixture fixture;
  tcp::acceptor acceptor(fixture.loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  client sender(fixture.loop);
  std::optional<tcp::socket> peer;
  acceptor.async_accept([&](std::error_code, tcp::socket socket) { peer = std::move(socket); });
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
  core::http_request request = get_request("/1");
  for (const auto& [method, answer] :
       {std::pair<std::string, std::string>("HEAD", head), {"GET", head + "body"}}) {
    request.method = method;
    std::optional<exchange_result> end;
    sender.send(acceptor.local_endpoint(), request, {},
                [&](exchange_result result) { end = std::move(result); });
    fixture.run_until([&] { return peer.has_value(); });
    asio::write(*peer, asio::buffer(answer));
    fixture.run_until([&] { return end.has_value(); });
    cr_assert(end->outcome == exchange_outcome::answered);
    cr_assert_eq(end->answer.body, method == "GET" ? "body" : "");
  }
  cr_assert_eq(sender.connections_opened(), 1);
}

Test(client, a_connection_opened_without_a_request_is_used_by_the_next_one) {
  server_fixture fixture;
  client sender(fixture.loop);
  std::vector<connect_outcome> ends;
  const auto store_outcome = [&](connect_outcome end) { ends.push_back(end); };
  sender.connect(arbutuslb::runtime::free_address(), 1s, store_outcome);
  fixture.run_until([&] { return ends.size() == 1; });
  cr_assert(ends[0] == connect_outcome::refused);
  sender.connect(fixture.address, 1s, store_outcome);
  fixture.run_until([&] { return ends.size() == 2; });
  cr_assert(ends[1] == connect_outcome::connected);
  core::http_request request = get_request("/1");
  sender.send(fixture.address, request, {}, [](const exchange_result&) {});
  fixture.run_until([&] { return fixture.requests.size() == 1; });
  cr_assert_eq(sender.connections_opened(), 2);
}

// An upstream may send a second answer to an earlier request where the next answer is expected.
Test(client, an_answer_that_belongs_to_another_request_is_dropped) {
  server_fixture fixture;
  tcp::acceptor acceptor(fixture.loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  client sender(fixture.loop);
  std::optional<exchange_result> end;
  send_options options;
  options.owner_of = owner_by_id;
  core::http_request request = get_request("/1");
  sender.send(acceptor.local_endpoint(), request, options,
              [&](exchange_result result) { end = std::move(result); });
  std::optional<tcp::socket> peer;
  acceptor.async_accept([&](std::error_code, tcp::socket socket) {
    peer = std::move(socket);
    asio::write(*peer, asio::buffer(std::string(
                           "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
                           "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nright")));
  });
  fixture.run_until([&] { return end.has_value(); });
  cr_assert(end->outcome == exchange_outcome::answered);
  cr_assert_eq(end->answer.body, "right");
}

namespace {

// Accepts one connection, sends `bytes` and closes it; with a reset if `is_reset`. Returns how the
// exchange ends.
exchange_result end_with(const std::string& bytes, bool is_reset) {
  server_fixture fixture;
  tcp::acceptor acceptor(fixture.loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  client sender(fixture.loop);
  std::optional<exchange_result> end;
  send_options options;
  options.owner_of = owner_by_id;
  sender.send(acceptor.local_endpoint(), get_request("/1"), options,
              [&](exchange_result result) { end = std::move(result); });
  std::optional<tcp::socket> peer;
  std::array<char, 4096> request{};
  acceptor.async_accept([&](std::error_code, tcp::socket socket) {
    peer = std::move(socket);
    peer->async_read_some(asio::buffer(request), [&](std::error_code, std::size_t) {
      asio::write(*peer, asio::buffer(bytes));
      if (is_reset) {
        peer->set_option(asio::socket_base::linger(true, 0));
      }
      peer->close();
    });
  });
  fixture.run_until([&] { return end.has_value(); });
  return std::move(*end);
}

} // namespace

Test(client, an_answer_that_breaks_off_at_any_byte_is_not_complete) {
  const std::string id = "Id: mine\r\nX-Response-Signature: 1\r\n";
  const std::vector<std::string> answers{
      "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 5\r\n\r\nright",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 5\r\n\r\nright",
      "HTTP/1.1 200 OK\r\n" + id +
          "Transfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\nA: b\r\n\r\n"};
  for (const std::string& answer : answers) {
    cr_assert(end_with(answer, false).outcome == exchange_outcome::answered);
    for (std::size_t size = 0; size < answer.size(); ++size) {
      for (const bool is_reset : {false, true}) {
        cr_assert(end_with(answer.substr(0, size), is_reset).outcome == exchange_outcome::broken,
                  "%s", answer.substr(0, size).c_str());
      }
    }
  }
}

Test(client, an_answer_that_names_no_request_breaks_the_connection) {
  const std::string stray = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                            "Content-Length: 0\r\n\r\n";
  const std::string own = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nright";
  cr_assert(end_with(stray, false).outcome == exchange_outcome::broken);
  cr_assert(end_with(stray + own, false).outcome == exchange_outcome::broken);
}

// Guards against an answer of an endpoint in trouble that is passed on with a status that has no
// class (RFC 9110, section 15: 100 to 599).
Test(client, an_answer_with_an_invalid_status_is_no_answer) {
  for (const char* status : {"000", "099", "042", "600", "999", "42", "2000", "", "abc", "-20"}) {
    message_reader reader(message_kind::response, {1024, 1024});
    reader.consume(std::string("HTTP/1.1 ") + status + " Odd\r\nContent-Length: 2\r\n\r\nok");
    cr_assert(reader.state() == read_state::failed, "status \"%s\"", status);
  }
  for (const char* status : {"200", "404", "599"}) {
    message_reader reader(message_kind::response, {1024, 1024});
    reader.consume(std::string("HTTP/1.1 ") + status + " Odd\r\nContent-Length: 2\r\n\r\nok");
    cr_assert(reader.state() == read_state::complete, "status \"%s\"", status);
  }
}

Test(client, bodies_without_end_share_one_limit_and_small_answers_pass_beside_them) {
  asio::io_context loop;
  const auto budget = std::make_shared<memory_budget>(
      memory_limits{std::size_t{1024} * 1024, std::size_t{1024} * 1024});
  message_reader large(message_kind::response, {1024, std::size_t{16} * 1024 * 1024}, budget);
  large.consume("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n");
  const std::string piece(std::size_t{16} * 1024, 'x');
  for (int i = 0; i < 100 && large.state() == read_state::reading; ++i) {
    large.consume(piece);
    cr_assert_leq(budget->used(), std::size_t{1024} * 1024);
  }
  cr_assert(large.state() == read_state::failed);
  message_reader small(message_kind::response, {1024, 16 * 1024}, budget);
  small.consume("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  cr_assert(small.state() == read_state::complete);
  cr_assert_eq(small.take_response().body, "ok");
}

namespace {

// Accepts one connection and sends `piece` after `head` again and again, until the other side
// closes or `max_bytes` are sent.
struct endless_server {
  static constexpr std::size_t max_bytes = std::size_t{64} * 1024 * 1024;

  endless_server(asio::io_context& loop, std::string head, std::string repeated)
      : acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        piece(std::move(repeated)) {
    acceptor.async_accept([this, head = std::move(head)](std::error_code, tcp::socket accepted) {
      socket = std::move(accepted);
      asio::write(*socket, asio::buffer(head));
      send_piece();
    });
  }
  void send_piece() {
    asio::async_write(*socket, asio::buffer(piece),
                      [this](std::error_code error, std::size_t size) {
                        sent += size;
                        if (error || sent >= max_bytes) {
                          socket->close();
                        } else {
                          send_piece();
                        }
                      });
  }

  tcp::acceptor acceptor;
  std::optional<tcp::socket> socket;
  std::string piece;
  std::size_t sent = 0;
};

} // namespace

Test(client, a_server_that_answers_without_end_is_given_up) {
  const std::string body(16384, 'x');
  const std::vector<std::pair<std::string, std::string>> answers{
      {"HTTP/1.1 200 OK\r\nA: ", body},
      {"HTTP/1.1 200 OK\r\nId: mine\r\n\r\n", body},
      {"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n",
       "4000\r\n" + body + "\r\n"},
      {"", "HTTP/1.1 100 Continue\r\nA: " + std::string(1000, 'x') + "\r\n\r\n"},
      {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 16384\r\n\r\n" + body}};
  for (const auto& [head, piece] : answers) {
    server_fixture fixture;
    endless_server server(fixture.loop, head, piece);
    client sender(fixture.loop);
    std::optional<exchange_result> end;
    send_options options;
    options.owner_of = owner_by_id;
    core::http_request request = get_request("/1");
    sender.send(server.acceptor.local_endpoint(), request, options,
                [&](exchange_result result) { end = std::move(result); });
    fixture.run_until([&] { return end.has_value(); });
    cr_assert(end->outcome == exchange_outcome::broken);
    cr_assert_lt(server.sent, endless_server::max_bytes / 2, "%s", piece.substr(0, 40).c_str());
  }
}

// A server that has no room may never answer a request, nor any later one on that connection.
Test(client, a_silent_connection_is_given_up_and_the_others_go_on) {
  server_fixture fixture;
  client sender(fixture.loop);
  core::http_request request = get_request("/silent");
  send_options impatient;
  impatient.answer_timeout = 1us;
  std::optional<exchange_result> silent;
  std::optional<exchange_result> other;
  sender.send(fixture.address, request, impatient,
              [&](exchange_result end) { silent = std::move(end); });
  fixture.run_until([&] { return fixture.requests.size() == 1; });
  request.target = "/other";
  sender.send(fixture.address, request, {}, [&](exchange_result end) { other = std::move(end); });
  fixture.run_until([&] { return fixture.requests.size() == 2; });
  sender.sweep({});
  cr_assert(silent.has_value());
  cr_assert(silent->outcome == exchange_outcome::broken);
  cr_assert(silent->is_timeout);
  cr_assert_not((other.has_value()));
  fixture.http_server.respond(fixture.requests[1].first, fixture.response("yes"));
  fixture.run_until([&] { return other.has_value(); });
  cr_assert_eq(other->answer.body, "yes");
  // The next request goes on the connection that was answered, not on the silent one.
  std::optional<exchange_result> next;
  sender.send(fixture.address, request, {}, [&](exchange_result end) { next = std::move(end); });
  fixture.run_until([&] { return fixture.requests.size() == 3; });
  cr_assert_eq(sender.connections_opened(), 2);
}
