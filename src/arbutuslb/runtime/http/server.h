// An HTTP/1.1 server on one event loop: pipelined requests, answers in order, callers that leave.
//
//   server callers(loop, address, handlers);
//   callers.respond(token, response);
#pragma once

#include "arbutuslb/core/base/http_message.h"
#include "arbutuslb/core/base/time.h"
#include "arbutuslb/runtime/http/message_reader.h"

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace arbutuslb::runtime::http {

struct server_options {
  read_limits limits;
  core::duration header_timeout = std::chrono::seconds{3}; // for a request that has begun
  core::duration body_timeout = std::chrono::seconds{30};
  core::duration idle_timeout = std::chrono::seconds{15};
  // Requests of one connection that are worked on at once.
  std::size_t max_pipelined = 32;
};

struct server_handlers {
  // A whole request. Answered by one `respond` with the same token, unless the caller leaves.
  std::function<void(std::uint64_t token, core::http_request request)> on_request;
  // The connection ended before its request was answered.
  std::function<void(std::uint64_t token)> on_left;
};

// Not thread-safe.
class server {
public:
  // Listens at once. Throws `std::system_error` if the address is taken.
  server(asio::io_context& loop, const asio::ip::tcp::endpoint& address, server_handlers handlers);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  // For connections accepted and requests begun from now on.
  void set_options(const server_options& options);
  // Does nothing if the caller has left.
  void respond(std::uint64_t token, const core::http_response& response);
  // Closes connections whose time-outs have passed. Call it about four times a second.
  void sweep(core::time_point now);
  // From now on each answer closes its connection.
  void close_after_answers();
  // Takes no further connections and reads no further requests; what was read is answered.
  void stop_reading();
  std::size_t connection_count() const;

private:
  class connection;
  struct state;
  std::shared_ptr<state> state_;
};

} // namespace arbutuslb::runtime::http
