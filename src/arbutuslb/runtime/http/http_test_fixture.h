// What the tests of the HTTP server and client share: a server on a free loopback port, and callers
// that read from a socket while the server's loop runs.
#pragma once

#include "arbutuslb/runtime/http/client.h"
#include "arbutuslb/runtime/http/server.h"
#include "arbutuslb/runtime/test_address.h"

#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace arbutuslb::runtime::http {

using asio::ip::tcp;

inline core::http_request get_request(const std::string& target) {
  core::http_request request;
  request.method = "GET";
  request.target = target;
  request.headers.emplace_back("Host", "x");
  return request;
}

// An HTTP server on a free loopback port. It stores requests until a test answers them.
struct server_fixture {
  asio::io_context loop;
  std::vector<std::pair<std::uint64_t, core::http_request>> requests;
  std::vector<std::uint64_t> disconnected;
  tcp::endpoint address = free_address();
  server http_server{loop,
                     address,
                     {[this](std::uint64_t token, core::http_request request) {
                        requests.emplace_back(token, std::move(request));
                      },
                      [this](std::uint64_t token) { disconnected.push_back(token); }}};

  // Runs the loop until the condition holds.
  void run_until(const std::function<bool()>& condition) {
    while (!condition()) {
      loop.run_one();
      loop.restart();
    }
  }
  core::http_response response(const std::string& body) const {
    core::http_response value;
    value.status = 200;
    value.body = body;
    return value;
  }
};

// Reads from a socket until `expected` occurs or the stream ends. `end` receives the error code
// that ended the stream.
inline std::string read_until(server_fixture& fixture, tcp::socket& socket,
                              const std::string& expected, std::error_code* end = nullptr) {
  std::string text;
  bool has_ended = false;
  socket.non_blocking(true);
  fixture.run_until([&] {
    char buffer[4096];
    std::error_code error;
    const std::size_t size = socket.read_some(asio::buffer(buffer), error);
    text.append(buffer, size);
    has_ended = error && error != asio::error::would_block;
    if (has_ended && end != nullptr) {
      *end = error;
    }
    if (!has_ended && text.find(expected) == std::string::npos) {
      socket.async_wait(tcp::socket::wait_read, [](std::error_code) {});
      return false;
    }
    return true;
  });
  return text;
}

// Reads from a socket until the stream ends, for a bounded number of turns of the loop. Returns the
// number of bytes; `end` receives the error code that ended the stream, or none.
inline std::size_t drain(server_fixture& fixture, tcp::socket& socket, std::error_code& end) {
  constexpr int max_turns = 2000;
  std::vector<char> buffer(std::size_t{1024} * 1024);
  std::size_t received = 0;
  socket.non_blocking(true);
  end = {};
  for (int i = 0; i < max_turns && (!end || end == asio::error::would_block); ++i) {
    fixture.loop.run_for(std::chrono::milliseconds{1});
    fixture.loop.restart();
    received += socket.read_some(asio::buffer(buffer), end);
  }
  return received;
}

} // namespace arbutuslb::runtime::http
