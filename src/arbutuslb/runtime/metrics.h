// The daemon's metrics in the Prometheus text format, with a latency histogram for each priority
// class and each service.
#pragma once

#include "arbutuslb/core/engine/actions.h"
#include "arbutuslb/core/engine/daemon_core.h"

#include <memory>
#include <string>

namespace arbutuslb::runtime {

// Not thread-safe: used on the daemon's loop only.
class metrics {
public:
  metrics();
  ~metrics();

  void on_answer(const core::engine::answer_caller& answer);
  // Records how long the loop took to handle one event.
  void on_event_handled(core::duration busy);
  void on_sent(std::size_t bytes, bool is_call);
  void on_received(std::size_t bytes, bool is_call);

  std::string render(const core::engine::daemon_core& core) const;

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace arbutuslb::runtime
