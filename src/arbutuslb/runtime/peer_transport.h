// Transports messages between daemons: the datagram channel over UDP, the stream channel over
// ZeroMQ and TCP.
//
// Connections are opened on first use and closed when idle. A message that is too large for a
// datagram is sent on the stream channel.
#pragma once

#include "arbutuslb/core/engine/actions.h"
#include "arbutuslb/runtime/metrics.h"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace arbutuslb::runtime {

inline constexpr std::chrono::seconds connection_idle_timeout{20};
inline constexpr int max_queued_messages = 1000;

// Not thread-safe: used on the thread that runs the loop.
class peer_transport {
public:
  using receiver = std::function<void(core::protocol::message)>;

  // Binds both ports of `local`. Throws `std::system_error` or `zmq::error_t` if one is in use.
  peer_transport(asio::io_context& loop, const core::peer_address& local, metrics& counters,
                 receiver on_message);
  ~peer_transport();

  // Never blocks; a message that cannot be queued is dropped.
  void send(const core::engine::send_message& action);
  // Receives all queued stream messages. Call it periodically: ZeroMQ does not signal every
  // message.
  void receive_pending();
  // Closes stream connections that were idle for one to two times `connection_idle_timeout`. Call
  // it periodically.
  void close_idle(core::time_point now);

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace arbutuslb::runtime
