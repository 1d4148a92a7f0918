// Gives requests to the upstream beside the daemon, by HTTP over kept connections.
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
  // `on_event` is called from the client's threads with the one result of each request.
  using receiver = std::function<void(core::engine::event)>;
  upstream_client(const endpoint& upstream, int connections, receiver on_event);
  // Waits for the requests that run.
  ~upstream_client();

  void run(const core::engine::execute_request& action);
  // Breaks the connection of the request, if it still runs, so that the upstream notices.
  void cancel(std::uint64_t execution);

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace arbutuslb::runtime
