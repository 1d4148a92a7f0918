// Runs one data-path daemon: the core on an event loop, with its sockets, timers and signals.
#pragma once

#include "arbutuslb/runtime/gateway_settings.h"

#include <memory>

namespace arbutuslb::runtime {

class gateway_host {
public:
  // Binds all addresses. Throws `std::system_error` if one is in use. On SIGHUP, `settings_path` is
  // read and checked, but not applied.
  gateway_host(const gateway_host_settings& settings, std::string settings_path);
  ~gateway_host();
  gateway_host(const gateway_host&) = delete;
  gateway_host& operator=(const gateway_host&) = delete;

  // Runs the event loop. Returns when a planned stop is complete.
  void run();

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace arbutuslb::runtime
