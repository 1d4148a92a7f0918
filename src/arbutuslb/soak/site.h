// One instance of the soak: its daemon as a process, its upstream, and the links between them.
#pragma once

#include "arbutuslb/soak/child_process.h"
#include "arbutuslb/soak/link_proxy.h"
#include "arbutuslb/soak/upstream_stand_in.h"

#include <memory>
#include <string>

namespace arbutuslb::soak {

// Ports, the same on every instance. A port of a proxy is followed by that of its target.
inline constexpr std::uint16_t callers_port = 8100;
inline constexpr std::uint16_t peers_port = 8200;
inline constexpr std::uint16_t upstream_port = 8300;
inline constexpr std::uint16_t store_port = 8400;
inline constexpr std::uint16_t heartbeats_port = 8500;
inline constexpr std::uint16_t readiness_port = 8600;
inline constexpr std::uint16_t metrics_port = 8700;
inline constexpr std::uint16_t reports_port = 8800;

struct site_settings {
  std::string program;   // the daemon's binary
  std::string directory; // for settings and logs
  std::string host;      // its address on loopback
  std::string domain;
  std::string service;
  asio::ip::tcp::endpoint store;
};

// Not thread-safe.
class site {
public:
  site(asio::io_context& loop, site_settings settings);

  void start_daemon();
  void write_settings() const;
  asio::ip::tcp::endpoint callers() const { return endpoint(callers_port); }
  asio::ip::tcp::endpoint endpoint(std::uint16_t port) const;
  upstream_settings for_upstream() const;

  const site_settings settings;
  link_proxy caller_link;
  link_proxy peer_link;
  link_proxy upstream_link;
  link_proxy store_link;
  std::unique_ptr<child_process> daemon;
  std::uint64_t process = 0; // rises with each start
  bool is_expected_to_end = false;
  bool is_away = false; // stopped or ended by the soak, not yet back
  core::time_point disturbed_at{};
  std::uint64_t newest_served = 0; // configuration version seen by callers, in this process
};

} // namespace arbutuslb::soak
