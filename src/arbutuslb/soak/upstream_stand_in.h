// A stand-in of the upstream beside a daemon: runs requests, says how it is, leaves and comes back.
//
// It keeps who ran what, and whether it ran something after its departure was acknowledged.
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/runtime/clock.h"
#include "arbutuslb/runtime/http/client.h"
#include "arbutuslb/runtime/http/server.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace arbutuslb::soak {

// The proof of an answer, which callers check.
std::string signature_of(const std::string& attempt_id);

struct upstream_settings {
  std::string service;
  std::string domain;
  asio::ip::tcp::endpoint listen;     // where it runs requests
  asio::ip::tcp::endpoint advertised; // where the daemon reaches it
  asio::ip::tcp::endpoint daemon;     // takes its heartbeats
};

// Not thread-safe.
class upstream_stand_in {
public:
  // `on_run` is told each attempt that begins to run; `on_late_run` one that begins `late` after
  // the departure of its instance was acknowledged.
  upstream_stand_in(
      asio::io_context& loop, upstream_settings settings, std::uint64_t seed,
      std::function<void(const std::string& attempt_id)> on_run,
      std::function<void(const std::string& attempt_id, core::duration late)> on_late_run);

  // Says that it leaves, goes on for a while and comes back as another instance, or, if
  // `keeps_id`, as a later start of the same.
  void leave(bool keeps_id);
  void sweep(core::time_point now);

private:
  enum class phase : std::uint8_t { ready, draining, gone };

  void on_request(std::uint64_t token, const core::http_request& request);
  void run(std::uint64_t token, const std::string& attempt_id, const std::string& body);
  void begin_instance(bool keeps_id);
  void schedule_heartbeat(core::duration delay);
  void send_heartbeat(phase said, std::uint64_t sequence);
  void after(core::duration delay, std::function<void()> what);

  asio::io_context& loop_;
  upstream_settings settings_;
  core::random_source random_;
  runtime::anchored_clock clock_;
  std::function<void(const std::string&)> on_run_;
  std::function<void(const std::string&, core::duration)> on_late_run_;
  phase phase_ = phase::ready;
  std::string instance_id_;
  std::int64_t started_ms_ = 0;
  std::uint64_t sequence_ = 0;
  int starts_ = 0;
  core::time_point acknowledged_at_{}; // of the departure
  runtime::http::client heartbeats_;
  runtime::http::server server_;
  asio::steady_timer heartbeat_timer_;
};

} // namespace arbutuslb::soak
