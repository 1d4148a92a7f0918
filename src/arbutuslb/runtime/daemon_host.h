// Runs one daemon: the core on an Asio loop, with the clock, the transports and the edges round it.
#pragma once

#include "arbutuslb/runtime/settings.h"

#include <memory>

namespace arbutuslb::runtime {

class daemon_host {
public:
  // Binds all ports. Throws `std::exception` if one is taken.
  explicit daemon_host(const daemon_settings& settings);
  ~daemon_host();

  // Returns when a planned stop is complete; SIGTERM and SIGINT ask for one.
  void run();

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace arbutuslb::runtime
