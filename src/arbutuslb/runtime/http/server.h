// HTTP/1.1 server on one event loop. Accepts pipelined requests, sends answers in request order and
// reports callers that disconnect before they are answered.
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
  // Time limits of a request, counted from its first byte: until its header is complete, and until
  // its body is complete.
  core::duration header_timeout = std::chrono::seconds{3};
  core::duration body_timeout = std::chrono::seconds{30};
  // A connection without a request in progress is closed after this time.
  core::duration idle_timeout = std::chrono::seconds{15};
  // The maximum number of unanswered requests of one connection.
  std::size_t max_pipelined = 32;
};

// Bytes that a closed connection had received and that were not passed on.
struct dropped_input {
  std::size_t bytes = 0;      // behind the last request that was read
  bool has_begun = false;     // a request had been read in part
  std::size_t unanswered = 0; // requests that were passed on and had not been answered
};

struct server_handlers {
  // Called with each complete request, which must be answered by one `respond` with the same token
  // unless the caller disconnects. An exception closes the connection, and leaves the event loop.
  std::function<void(std::uint64_t token, core::http_request request)> on_request;
  // Called if the connection is closed before its request was answered.
  std::function<void(std::uint64_t token)> on_disconnected;
  // Called when a connection could not be accepted, with the reason; may be empty.
  std::function<void(const std::string& reason)> on_accept_failed = {};
  // Called when a request is refused, or a connection closed, because too much memory is in use;
  // `bytes` is what the connection held. May be empty.
  std::function<void(std::size_t bytes)> on_out_of_memory = {};
  // Called when a connection is closed that had received more than was passed on; may be empty.
  std::function<void(const dropped_input& dropped)> on_input_dropped = {};
};

// Not thread-safe.
class server {
public:
  // Starts listening. Throws `std::system_error` if the address is in use.
  // Whatever the server holds for its connections counts in the budget, which may be null.
  server(asio::io_context& loop, const asio::ip::tcp::endpoint& address, server_handlers handlers,
         std::shared_ptr<memory_budget> budget = nullptr);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  // The size limits apply to connections accepted from now on, the other options to all
  // connections.
  void set_options(const server_options& options);
  // Does nothing if the caller has disconnected.
  void respond(std::uint64_t token, const core::http_response& response);
  // Closes connections that were idle too long, and answers overdue requests with status 408. Time
  // limits are checked only here, so call it at least four times a second.
  void sweep(core::time_point now);
  // From now on, each connection is closed after an answer behind which the caller has sent no
  // further request.
  void close_after_answers();
  // Accepts no further connections, and closes those on which nothing has been received that is not
  // answered. The others are read until their last answer, so that a request which is sent before
  // it is answered as well.
  void stop_reading();
  // Returns false after `stop_reading`, unless a request is being received.
  bool is_reading() const;
  std::size_t connection_count() const;
  // Returns true if a part of an answer has not been written to its connection, or if the caller
  // has not closed the connection after its last answer. An exit would then reset the connection,
  // and the answer could be lost. Limited to a second by `sweep`.
  bool has_unsent_answers() const;

private:
  class connection;
  struct state;
  std::shared_ptr<state> state_;
};

} // namespace arbutuslb::runtime::http
