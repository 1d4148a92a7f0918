// The HTTP servers of a daemon: one port for callers, another for operators and metrics.
//
// Callers send a request to any path with the header `X-Deadline-Ms`, and with `Idempotency-Key` if
// it is not idempotent. Every answer of the daemon has the header `X-Outcome: answered | not-run |
// unknown`; if it does not come from the upstream, `X-Reason` gives the reason, if there is one. If
// the daemon does not answer in time, the caller receives status 504 with `X-Outcome: unknown`.
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
    // Delivers an event to the daemon; called on the server threads.
    std::function<void(core::engine::event)> on_event;
    // Renders the metrics; called on a server thread.
    std::function<std::string()> render_metrics;
  };

  // Binds both ports. Throws `std::runtime_error` if one is in use.
  http_front(const daemon_settings& settings, hooks front_hooks);
  // Stops both servers and joins their threads.
  ~http_front();

  // Completes the request with this token, if it is still pending.
  void answer(const core::engine::answer_caller& action);
  void answer(const core::engine::answer_operator& action);

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace arbutuslb::runtime
