// HTTP/1.1 client for many servers on one event loop. Reuses persistent connections.
//
// Distinguishes three outcomes: no byte of the request was sent, the request was sent but its
// outcome is unknown, and a complete answer was received. A request is never sent twice.
//
//   std::uint64_t id = client.send(address, request, options, [](exchange_result end) { ... });
//   client.cancel(id);
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

enum class exchange_outcome : std::uint8_t {
  answered,      // a complete answer was received
  not_connected, // no byte of the request was sent
  broken         // sending has begun; the server may have received the request
};

struct exchange_result {
  exchange_outcome outcome = exchange_outcome::broken;
  core::http_response answer; // empty unless `answered`
  bool is_timeout = false;    // `broken` because of `answer_timeout`
};

// The request that an answer names.
enum class answer_owner : std::uint8_t {
  this_request,
  another_request, // a late copy of an earlier answer
  unidentified     // none; the bytes on the connection cannot be trusted
};

enum class connect_outcome : std::uint8_t {
  connected,
  refused, // no process listens at the address
  failed   // not connected in time, or for another reason
};

struct send_options {
  // Time limit for opening a connection.
  core::duration connect_timeout = std::chrono::milliseconds{300};
  // A connection is reused only if it has been idle for less than this.
  core::duration max_idle = std::chrono::seconds{4};
  // Time limit for the complete answer, counted from `send`; zero: no limit.
  core::duration answer_timeout{};
  // Resets the connection when its answer is overdue, so that no byte of the request that is still
  // on its way is delivered later.
  bool resets_when_overdue = false;
  // Returns which request an answer names. One that names another request is dropped; one that
  // names none breaks the connection. Empty: every answer is accepted.
  std::function<answer_owner(const core::http_response&)> owner_of;
  // Called at most once, when the whole request has been written to its connection; never from
  // within `send`, and not after the exchange has ended. May be empty.
  std::function<void()> on_written;
};

// Not thread-safe.
class client {
public:
  // Answers that are being read count in the budget, which may be null.
  explicit client(asio::io_context& loop, std::shared_ptr<memory_budget> budget = nullptr);
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  using completion_handler = std::function<void(exchange_result)>;
  // Returns the id of the exchange. `on_end` is called once, never from within `send`, and not
  // after `cancel`.
  std::uint64_t send(const asio::ip::tcp::endpoint& address, const core::http_request& request,
                     send_options options, completion_handler on_end);
  // Opens a connection, which a later exchange may use. `on_end` is called once, never from within
  // `connect`.
  void connect(const asio::ip::tcp::endpoint& address, core::duration timeout,
               std::function<void(connect_outcome)> on_end);
  // Closes the connection of the exchange.
  void cancel(std::uint64_t exchange);
  // Fails exchanges that exceeded a time limit and closes connections that were idle too long. Time
  // limits are checked only here, so call it periodically.
  void sweep(core::time_point now);
  // Closes the idle connections to a server.
  void close_idle(const asio::ip::tcp::endpoint& address);
  // Returns the number of connections opened since construction.
  std::uint64_t connections_opened() const;

private:
  class connection;
  struct state;
  std::shared_ptr<state> state_;
};

// Parses "HOST:PORT" with an IPv4 address. Throws `std::invalid_argument`.
asio::ip::tcp::endpoint parse_endpoint(std::string_view text);

} // namespace arbutuslb::runtime::http
