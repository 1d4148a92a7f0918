// A TCP proxy on loopback. It can delay, drop (in one or both directions) and reset connections.
//
//   link_proxy link(loop, listen, target);
//   link.set_fault({.delay = 50ms});
//   link.reset_all();
#pragma once

#include "arbutuslb/core/base/time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <set>

namespace arbutuslb::soak {

// The default is a link without faults.
struct link_fault {
  core::duration delay{}; // of each chunk of data, in both directions
  // Data to the target, or to the caller, is dropped. A connection that has lost data remains
  // silent.
  bool drops_to_target = false;
  bool drops_to_caller = false;
  bool refuses = false; // connections are closed as soon as they are accepted
};

// Not thread-safe.
class link_proxy {
public:
  link_proxy(asio::io_context& loop, const asio::ip::tcp::endpoint& listen,
             const asio::ip::tcp::endpoint& target);
  ~link_proxy();
  link_proxy(const link_proxy&) = delete;
  link_proxy& operator=(const link_proxy&) = delete;

  void set_fault(const link_fault& fault);
  // Resets all open connections.
  void reset_all();
  // Open connections go silent for good, without a reset; new ones work.
  void silence_open();
  // False: resets all connections and refuses new ones, as if no process listened at the address.
  void set_listening(bool is_listening);

private:
  class session;
  struct state;
  std::shared_ptr<state> state_;
};

} // namespace arbutuslb::soak
