// Test support: a stand-in store on loopback with a client.
#pragma once

#include "arbutuslb/fakes/platform_store.h"
#include "arbutuslb/platform/store_client.h"
#include "arbutuslb/runtime/clock.h"
#include "arbutuslb/runtime/test_address.h"

#include <asio/ip/tcp.hpp>
#include <functional>

namespace arbutuslb::runtime {

struct store_fixture {
  store_fixture()
      : address(free_address()), store(loop, address, 1), connections(loop),
        client(connections, address) {}

  // Runs the event loop until `is_done` holds. Gives up after a number of turns of 10 ms; returns
  // whether it holds then.
  bool run_until(const std::function<bool()>& is_done, int max_turns = 200) {
    for (int i = 0; i < max_turns && !is_done(); ++i) {
      loop.run_for(std::chrono::milliseconds{10});
      loop.restart();
      connections.sweep(clock.now());
    }
    return is_done();
  }

  asio::io_context loop;
  anchored_clock clock;
  asio::ip::tcp::endpoint address;
  fakes::platform_store store;
  http::client connections;
  platform::store_client client;
};

} // namespace arbutuslb::runtime
