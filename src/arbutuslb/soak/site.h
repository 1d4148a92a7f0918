// One instance of the soak: the daemon's process, its settings, and the links of the daemon to its
// callers, peers, upstream and store.
#pragma once

#include "arbutuslb/soak/child_process.h"
#include "arbutuslb/soak/link_proxy.h"
#include "arbutuslb/soak/upstream_stand_in.h"

#include <memory>
#include <string>

namespace arbutuslb::soak {

// Ports; every instance uses the same ones on its own address. For callers, peers, upstream and
// store, a link proxy listens on the port. It forwards to the next port, and for the store to
// `site_settings::store`.
inline constexpr std::uint16_t callers_port = 8100;
inline constexpr std::uint16_t peers_port = 8200;
inline constexpr std::uint16_t upstream_port = 8300;
inline constexpr std::uint16_t store_port = 8400;
inline constexpr std::uint16_t heartbeats_port = 8500;
inline constexpr std::uint16_t readiness_port = 8600;
inline constexpr std::uint16_t metrics_port = 8700;
inline constexpr std::uint16_t reports_port = 8800;

struct site_settings {
  std::string program;   // path of the daemon's binary
  std::string directory; // for settings and logs
  std::string host;      // the instance's loopback address
  std::string domain;
  std::string service;
  asio::ip::tcp::endpoint store; // target of the link to the store
};

// Not thread-safe.
class site {
public:
  site(asio::io_context& loop, site_settings settings);

  // Starts a new process of the daemon.
  void start_daemon();
  void write_settings() const;
  asio::ip::tcp::endpoint callers() const { return endpoint(callers_port); }
  asio::ip::tcp::endpoint endpoint(std::uint16_t port) const;
  upstream_settings make_upstream_settings() const;

  const site_settings settings;
  link_proxy caller_link;
  link_proxy peer_link;
  link_proxy upstream_link;
  link_proxy store_link;
  std::unique_ptr<child_process> daemon;
  std::uint64_t generation = 0; // incremented by each start of the daemon
  bool is_exit_expected = false;
  bool is_unavailable = false;        // suspended or ended by the soak and not running again yet
  core::time_point disturbed_until{}; // end of the last fault at this instance
  core::time_point stopping_since{};  // of the newest planned stop
  // Highest configuration version seen by callers of this process.
  std::uint64_t highest_served_version = 0;
};

} // namespace arbutuslb::soak
