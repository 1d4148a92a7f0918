// Tests of the memory that messages may use: what is allowed, and that all of it is given back.

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/runtime/http/http_test_fixture.h"
#include "arbutuslb/runtime/http/memory_budget.h"

#include <criterion/criterion.h>

namespace {

using namespace arbutuslb::runtime::http;
using arbutuslb::core::random_source;

constexpr std::size_t megabyte = std::size_t{1024} * 1024;

// Returns a request that may be whole, cut or malformed.
std::string random_request(random_source& random) {
  std::string text = "POST /a HTTP/1.1\r\nHost: x\r\n";
  for (std::size_t i = random.below(40); i > 0; --i) {
    text +=
        std::string(random.below(8) + 1, 'a') + ":" + std::string(random.below(30), 'v') + "\r\n";
  }
  const std::size_t size = random.below(60'000);
  if (random.fraction() < 0.5) {
    text += "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'b');
  } else {
    text += "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t sent = 0; sent < size; sent += 100) {
      text += "64\r\n" + std::string(100, 'c') + "\r\n";
    }
    text += "0\r\n\r\n";
  }
  if (random.fraction() < 0.3) {
    text.resize(random.below(text.size()));
  }
  if (random.fraction() < 0.1) {
    text[random.below(text.size())] = '\n';
  }
  return text;
}

} // namespace

Test(memory_budget, all_shares_together_are_limited) {
  const auto budget = std::make_shared<memory_budget>(memory_limits{1000, 500});
  budget_share one(budget);
  budget_share two(budget);
  cr_assert(one.grow(600)); // together
  cr_assert(two.grow(400));
  cr_assert_not(two.grow(1));
  cr_assert_eq(budget->used(), 1000);
  cr_assert_eq(budget->refusals(), 1);
  one.release();
  cr_assert(two.grow(600));
}

Test(memory_budget, each_share_has_a_guaranteed_part) {
  const auto budget = std::make_shared<memory_budget>(memory_limits{1000, 500});
  budget_share greedy(budget);
  budget_share small(budget);
  cr_assert(greedy.grow(1000));
  cr_assert_eq(budget->guaranteed(), 125);
  cr_assert(small.grow(125));
  cr_assert_not(small.grow(1));
}

Test(memory_budget, one_large_message_is_allowed_in_calm) {
  const auto budget = std::make_shared<memory_budget>(memory_limits{1000, 2400});
  budget_share large(budget);
  budget_share other(budget);
  cr_assert(other.grow(250));
  cr_assert(large.grow(2400));
  cr_assert_not(large.grow(1));
  cr_assert_not(other.grow(1));
}

// Guards against memory that stays accounted for after its message has gone.
Test(memory_budget, a_reader_gives_everything_back) {
  random_source random(1);
  const auto budget = std::make_shared<memory_budget>(memory_limits{megabyte, megabyte});
  for (int round = 0; round < 300; ++round) {
    message_reader reader(message_kind::request, {16384, 50'000}, budget);
    std::string_view rest;
    const std::string text = random_request(random) + random_request(random);
    for (rest = text; !rest.empty() && reader.state() != read_state::failed;) {
      const std::string_view piece = rest.substr(0, random.below(5'000) + 1);
      rest.remove_prefix(reader.consume(piece));
      if (reader.state() == read_state::complete) {
        reader.take_request();
        cr_assert_eq(budget->used(), 0);
      }
    }
  }
  cr_assert_eq(budget->used(), 0);
}

// A body of a declared length takes little more than what has arrived, and its length in the end.
Test(memory_budget, a_body_takes_what_has_been_received) {
  constexpr std::size_t size = 900'000;
  const auto budget = std::make_shared<memory_budget>(memory_limits{megabyte, megabyte});
  message_reader reader(message_kind::response, {16384, megabyte}, budget);
  reader.consume("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
  const std::size_t header_size = budget->used();
  const std::string piece(1000, 'x');
  for (std::size_t received = piece.size(); received < size; received += piece.size()) {
    reader.consume(piece);
    cr_assert_leq(budget->used(), header_size + 4 * received);
  }
  reader.consume(piece);
  cr_assert(reader.state() == read_state::complete);
  cr_assert_eq(budget->used(), header_size + size);
  cr_assert_eq(reader.take_response().body.size(), size);
  cr_assert_eq(budget->used(), 0);
}

Test(memory_budget, a_server_gives_everything_back_when_its_callers_have_left) {
  random_source random(2);
  asio::io_context loop;
  const auto budget = std::make_shared<memory_budget>(memory_limits{megabyte, megabyte});
  std::vector<std::uint64_t> tokens;
  std::vector<std::uint64_t> late; // answered when their callers have left
  const tcp::endpoint address = arbutuslb::runtime::free_address();
  server answering(
      loop, address,
      {[&](std::uint64_t token, const arbutuslb::core::http_request&) { tokens.push_back(token); },
       [](std::uint64_t) {}},
      budget);
  for (int round = 0; round < 40; ++round) {
    std::vector<std::unique_ptr<tcp::socket>> callers;
    for (int i = 0; i < 10; ++i) {
      callers.push_back(std::make_unique<tcp::socket>(loop));
      callers.back()->connect(address);
      callers.back()->non_blocking(true);
      std::error_code ignored; // the server may not read everything
      const std::string text = random_request(random) + random_request(random);
      callers.back()->write_some(asio::buffer(text), ignored);
    }
    const auto poll = [&loop] {
      for (int i = 0; i < 20; ++i) {
        loop.poll();
        loop.restart();
      }
    };
    poll();
    for (const std::uint64_t token : std::exchange(tokens, {})) {
      if (random.fraction() < 0.3) {
        late.push_back(token);
      } else {
        answering.respond(token, {200, {}, std::string(random.below(200'000), 'x')});
      }
    }
    poll();
    callers.clear();
    poll();
  }
  for (const std::uint64_t token : late) {
    answering.respond(token, {200, {}, "late"});
  }
  for (int i = 0; i < 100 && answering.connection_count() > 0; ++i) {
    loop.run_for(std::chrono::milliseconds{10});
    loop.restart();
    answering.sweep(arbutuslb::core::time_point{std::chrono::seconds{i}});
  }
  cr_assert_eq(answering.connection_count(), 0);
  cr_assert_eq(budget->used(), 0, "%zu bytes", budget->used());
}
