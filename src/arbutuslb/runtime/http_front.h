// The HTTP edges of a daemon: callers on one port, operators and metrics on another.
//
// Callers send their request to any path with `X-Deadline-Ms`, and with `Idempotency-Key` if it is
// not idempotent. Every answer carries `X-Outcome: answered | not-run | unknown`, and a reason
// where the answer is not the upstream's own.
#pragma once

#include "arbutuslb/core/engine/actions.h"
#include "arbutuslb/core/engine/events.h"
#include "arbutuslb/runtime/settings.h"

#include <functional>
#include <future>
#include <memory>
#include <string>

namespace arbutuslb::runtime {

// Thread-safe.
class http_front {
public:
  struct hooks {
    // Takes an event to the daemon; called from the servers' threads.
    std::function<void(core::engine::event)> on_event;
    // Renders the metrics; called from a server's thread.
    std::function<std::string()> render_metrics;
  };

  // Binds both ports. Throws `std::runtime_error` if one is taken.
  http_front(const daemon_settings& settings, hooks given);
  // Stops both servers and waits for them.
  ~http_front();

  // Ends the request with this token, if it still waits.
  void answer(const core::engine::answer_caller& action);
  void answer(const core::engine::answer_operator& action);

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace arbutuslb::runtime
