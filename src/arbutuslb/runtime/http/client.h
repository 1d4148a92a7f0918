// HTTP/1.1 requests to many servers on one event loop, over connections that are kept.
//
// Tells apart what its user must know: a request of which no byte was sent, one that was sent and
// whose outcome is unknown, and one with a whole answer. Nothing is sent twice.
//
//   std::uint64_t id = client.send(address, request, options, [](exchange_end end) { ... });
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
  answered,
  not_connected, // nothing was sent
  broken         // the request may have been read
};

struct exchange_end {
  exchange_outcome outcome = exchange_outcome::broken;
  core::http_response answer;
};

struct send_options {
  core::duration connect_timeout = std::chrono::milliseconds{300};
  // A kept connection is used only if it was idle for less than this.
  core::duration max_idle = std::chrono::seconds{4};
  // The answer is due within this time; zero: no limit.
  core::duration answer_timeout{};
  // False: the answer belongs to another request and is dropped. Empty: every answer is taken.
  std::function<bool(const core::http_response&)> is_own_answer;
};

// Not thread-safe.
class client {
public:
  explicit client(asio::io_context& loop);
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  using end_handler = std::function<void(exchange_end)>;
  // `on_end` is called once, never from within `send`, and not after `cancel`.
  std::uint64_t send(const asio::ip::tcp::endpoint& address, const core::http_request& request,
                     send_options options, end_handler on_end);
  // Closes the connection of the request.
  void cancel(std::uint64_t exchange);
  // Ends what is overdue and closes connections that were idle too long.
  void sweep(core::time_point now);
  // Closes the idle connections to a server.
  void close_idle(const asio::ip::tcp::endpoint& address);
  std::uint64_t connections_opened() const;

private:
  class connection;
  struct state;
  std::shared_ptr<state> state_;
};

// Parses "HOST:PORT" with an IPv4 address. Throws `std::invalid_argument`.
asio::ip::tcp::endpoint parse_endpoint(std::string_view text);

} // namespace arbutuslb::runtime::http
