// The settings of a data-path daemon: JSON with comments, checked as a whole.
#pragma once

#include "arbutuslb/core/gateway/gateway_context.h"

#include <asio/ip/tcp.hpp>
#include <string_view>

namespace arbutuslb::runtime {

struct gateway_host_settings {
  core::gateway::gateway_settings core;
  // Listening addresses:
  asio::ip::tcp::endpoint callers;   // for requests of local callers
  asio::ip::tcp::endpoint peers;     // for requests of other daemons
  asio::ip::tcp::endpoint upstreams; // for heartbeats
  asio::ip::tcp::endpoint readiness;
  asio::ip::tcp::endpoint metrics;
  std::uint16_t peer_port = 0;   // for requests to other daemons; the same on all instances
  std::uint16_t report_port = 0; // for datagrams between daemons; the same on all instances
  // Addresses of other processes:
  asio::ip::tcp::endpoint upstream; // the local upstream
  asio::ip::tcp::endpoint store;
  asio::ip::tcp::endpoint usage_collector; // set if `core.usage.is_enabled`
  // The process is ended if it uses more memory than this.
  std::size_t memory_bytes = std::size_t{64} * 1024 * 1024;
};

// Throws `core::findings_error` with every finding and its place.
gateway_host_settings parse_gateway_settings(std::string_view text);

} // namespace arbutuslb::runtime
