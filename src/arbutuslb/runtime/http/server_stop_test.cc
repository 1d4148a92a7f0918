// Tests of a server that stops in a planned way, beside callers that send early, slowly or in
// pieces. Sockets are on loopback; no test depends on timing.

#include "arbutuslb/runtime/http/http_test_fixture.h"

#include <criterion/criterion.h>

namespace {

using namespace arbutuslb::runtime::http;
namespace core = arbutuslb::core;

constexpr int many_turns = 200;

std::string get_bytes(int number) {
  return "GET /" + std::to_string(number) + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

// A caller that writes to one connection and collects what it receives.
struct caller {
  explicit caller(server_fixture& server) : fixture(server), socket(server.loop) {
    socket.connect(server.address);
    socket.set_option(tcp::no_delay(true));
  }
  void write(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }

  server_fixture& fixture;
  tcp::socket socket;
};

// Gives the server a bounded number of turns, which are enough for everything that was sent.
void turn(server_fixture& fixture) {
  for (int i = 0; i < many_turns; ++i) {
    fixture.loop.poll();
    fixture.loop.restart();
  }
}

// Answers all requests in order, until no further one arrives.
void answer_all(server_fixture& fixture) {
  for (std::size_t i = 0; i < fixture.requests.size(); ++i) {
    const auto [token, request] = fixture.requests[i];
    fixture.http_server.respond(token, fixture.response("<" + request.target + ">"));
    turn(fixture);
  }
}

std::size_t count_of(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Reads until the stream ends.
std::string read_all(caller& value) {
  std::error_code end;
  const std::string text = read_until(value.fixture, value.socket, "never", &end);
  cr_assert(end == asio::error::eof, "the connection was reset");
  return text;
}

} // namespace

// Guards against lost requests at a planned stop: those that a caller had sent before the first
// answer were read and dropped.
Test(server_stop, requests_sent_before_the_first_answer_are_answered) {
  server_fixture fixture;
  caller early(fixture);
  fixture.http_server.close_after_answers();
  early.write(get_bytes(1) + get_bytes(2) + get_bytes(3));
  turn(fixture);
  answer_all(fixture);
  cr_assert_eq(fixture.requests.size(), 3, "%zu of 3 requests were passed on",
               fixture.requests.size());
  const std::string text = read_all(early);
  cr_assert(text.find("</3>") != std::string::npos);
  cr_assert_eq(count_of(text, "Connection: close"), 1);
  cr_assert(text.find("Connection: close") > text.find("</2>"));
}

Test(server_stop, a_request_sent_after_another_one_was_read_is_answered) {
  server_fixture fixture;
  caller early(fixture);
  fixture.http_server.close_after_answers();
  for (int i = 1; i <= 3; ++i) {
    early.write(get_bytes(i));
    turn(fixture);
  }
  answer_all(fixture);
  cr_assert_eq(fixture.requests.size(), 3, "%zu of 3 requests were passed on",
               fixture.requests.size());
  cr_assert_eq(count_of(read_all(early), "200 OK"), 3);
}

// Guards against a dropped request that reached this host while the answer before it was made.
Test(server_stop, a_request_that_is_received_when_the_last_answer_is_ready_is_answered) {
  server_fixture fixture;
  caller early(fixture);
  early.write(get_bytes(1));
  turn(fixture);
  fixture.http_server.close_after_answers();
  early.write(get_bytes(2)); // received, but not read yet
  answer_all(fixture);
  cr_assert_eq(fixture.requests.size(), 2);
  cr_assert_eq(count_of(read_all(early), "200 OK"), 2);
}

// Guards against a lost answer: a request that was refused at once closed the connection over those
// behind it.
Test(server_stop, requests_that_are_answered_at_once_are_all_answered) {
  asio::io_context loop;
  const tcp::endpoint address = arbutuslb::runtime::free_address();
  int requests = 0;
  server* tested = nullptr;
  server value(loop, address,
               {[&](std::uint64_t token, const core::http_request&) {
                  ++requests;
                  core::http_response answer;
                  answer.status = 503;
                  tested->respond(token, answer);
                },
                [](std::uint64_t) {}});
  tested = &value;
  tcp::socket socket(loop);
  socket.connect(address);
  value.close_after_answers();
  asio::write(socket, asio::buffer(get_bytes(1) + get_bytes(2) + get_bytes(3)));
  for (int i = 0; i < many_turns; ++i) {
    loop.poll();
    loop.restart();
  }
  cr_assert_eq(requests, 3, "%d of 3 requests were passed on", requests);
  std::string text(4096, ' ');
  std::error_code end;
  text.resize(socket.read_some(asio::buffer(text), end));
  cr_assert_eq(count_of(text, " 503 "), 3);
}

// Guards against lost requests: those beyond the limit of unanswered ones were read, and dropped
// when the server stopped reading.
Test(server_stop, requests_that_wait_for_a_place_are_answered_after_reading_has_ended) {
  constexpr int count = 40; // more than a connection may have unanswered
  server_fixture fixture;
  caller early(fixture);
  std::string bytes;
  for (int i = 1; i <= count; ++i) {
    bytes += get_bytes(i);
  }
  early.write(bytes);
  turn(fixture);
  cr_assert_lt(fixture.requests.size(), static_cast<std::size_t>(count));
  fixture.http_server.close_after_answers();
  fixture.http_server.stop_reading();
  answer_all(fixture);
  cr_assert_eq(fixture.requests.size(), static_cast<std::size_t>(count));
  cr_assert_eq(count_of(read_all(early), "200 OK"), static_cast<std::size_t>(count));
}

// Guards against a request that was cut: its body was still being sent when reading ended.
Test(server_stop, a_request_that_has_begun_is_read_to_its_end) {
  server_fixture fixture;
  caller slow(fixture);
  slow.write("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab");
  turn(fixture);
  fixture.http_server.close_after_answers();
  fixture.http_server.stop_reading();
  cr_assert(fixture.http_server.is_reading());
  slow.write("cd");
  turn(fixture);
  cr_assert_eq(fixture.requests.size(), 1);
  cr_assert_not(fixture.http_server.is_reading());
  cr_assert(fixture.requests[0].second.body == "abcd");
  answer_all(fixture);
  cr_assert_eq(count_of(read_all(slow), "200 OK"), 1);
}

// Guards against resets: the request had been received by this host when reading ended.
Test(server_stop, what_was_received_before_reading_ended_is_answered) {
  server_fixture fixture;
  caller kept(fixture);
  kept.write(get_bytes(1));
  turn(fixture);
  answer_all(fixture);
  read_until(fixture, kept.socket, "</1>");
  fixture.http_server.close_after_answers();
  kept.write(get_bytes(2));
  caller waiting(fixture); // has not been accepted yet
  waiting.write(get_bytes(3));
  fixture.http_server.stop_reading();
  turn(fixture);
  answer_all(fixture);
  cr_assert_eq(fixture.requests.size(), 3, "%zu of 3 requests were passed on",
               fixture.requests.size());
  cr_assert_eq(count_of(read_all(kept), "200 OK"), 1);
  cr_assert_eq(count_of(read_all(waiting), "200 OK"), 1);
}

// Guards against lost requests, found by the soak: one that was sent behind another after reading
// had ended was dropped when the other was answered.
Test(server_stop, a_request_sent_before_the_last_answer_is_answered_after_reading_has_ended) {
  server_fixture fixture;
  caller early(fixture);
  early.write(get_bytes(1));
  turn(fixture);
  fixture.http_server.close_after_answers();
  fixture.http_server.stop_reading();
  early.write(get_bytes(2));
  turn(fixture);
  answer_all(fixture);
  cr_assert_eq(fixture.requests.size(), 2);
  const std::string text = read_all(early);
  cr_assert_eq(count_of(text, "200 OK"), 2);
  cr_assert_eq(count_of(text, "Connection: close"), 1);
}

// Guards against an endless stop: nothing is read behind the last answer.
Test(server_stop, requests_sent_behind_the_last_answer_are_not_passed_on) {
  server_fixture fixture;
  caller early(fixture);
  early.write(get_bytes(1));
  turn(fixture);
  fixture.http_server.close_after_answers();
  fixture.http_server.stop_reading();
  answer_all(fixture);
  early.write(get_bytes(2));
  turn(fixture);
  cr_assert_eq(fixture.requests.size(), 1);
  cr_assert_eq(count_of(read_all(early), "200 OK"), 1);
}

// A caller that says it sends no more requests gets one answer, and bytes behind it are dropped.
Test(server_stop, a_request_that_asks_for_the_close_is_the_last_one) {
  server_fixture fixture;
  caller last(fixture);
  last.write("GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + get_bytes(2));
  turn(fixture);
  fixture.http_server.close_after_answers();
  answer_all(fixture);
  cr_assert_eq(fixture.requests.size(), 1);
  cr_assert_eq(count_of(read_all(last), "200 OK"), 1);
}
