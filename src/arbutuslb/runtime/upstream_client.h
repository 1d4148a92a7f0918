// Sends requests to the local upstream by HTTP over persistent connections.
#pragma once

#include "arbutuslb/core/engine/events.h"
#include "arbutuslb/runtime/settings.h"

#include <functional>
#include <memory>

namespace arbutuslb::core::engine {
struct execute_request;
}

namespace arbutuslb::runtime {

// Thread-safe.
class upstream_client {
public:
  // `on_event` is called on the client's threads, once for each request, with its result.
  using receiver = std::function<void(core::engine::event)>;
  upstream_client(const endpoint& upstream, int connections, receiver on_event);
  // Waits for the pending requests.
  ~upstream_client();

  void execute(const core::engine::execute_request& action);
  // Closes the connection of the request, so that the upstream notices. Does nothing if the request
  // is complete or still waits for a free connection.
  void cancel(std::uint64_t execution);

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace arbutuslb::runtime
