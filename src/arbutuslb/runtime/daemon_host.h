// Runs one daemon: the core on an Asio loop, with its clock, transports, clients and HTTP servers.
#pragma once

#include "arbutuslb/runtime/settings.h"

#include <memory>

namespace arbutuslb::runtime {

class daemon_host {
public:
  // Binds all ports. Throws `std::exception` if one is in use.
  explicit daemon_host(const daemon_settings& settings);
  ~daemon_host();

  // Runs the loop. Returns when a planned stop is complete; SIGTERM and SIGINT request one.
  void run();

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace arbutuslb::runtime
