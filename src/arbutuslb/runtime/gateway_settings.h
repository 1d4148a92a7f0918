// The settings of a data-path daemon: JSON with comments, checked as a whole.
#pragma once

#include "arbutuslb/core/gateway/gateway_context.h"

#include <asio/ip/tcp.hpp>
#include <string_view>

namespace arbutuslb::runtime {

struct gateway_host_settings {
  core::gateway::gateway_settings core;
  asio::ip::tcp::endpoint callers;   // requests of callers beside the daemon
  asio::ip::tcp::endpoint peers;     // requests of other daemons
  asio::ip::tcp::endpoint upstreams; // heartbeats
  asio::ip::tcp::endpoint readiness;
  asio::ip::tcp::endpoint metrics;
  std::uint16_t peer_port = 0;      // at which daemons reach each other, on all instances
  std::uint16_t report_port = 0;    // datagrams between daemons, the same on all instances
  asio::ip::tcp::endpoint upstream; // the upstream beside the daemon
  asio::ip::tcp::endpoint store;
};

// Throws `core::findings_error` with every finding and its place.
gateway_host_settings parse_gateway_settings(std::string_view text);

} // namespace arbutuslb::runtime
