// Stand-in for the local upstream of a daemon. It executes requests, sends heartbeats, departs,
// crashes on some requests, and starts again.
//
// It reports each execution, again those that begin after its departure was acknowledged, and each
// crash.
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/runtime/clock.h"
#include "arbutuslb/runtime/http/client.h"
#include "arbutuslb/runtime/http/server.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>

namespace arbutuslb::soak {

// A request with this target crashes the upstream that executes it.
inline constexpr const char* crashing_target = "/menu/crash";
// The answer to a request with this target has `large_answer_size` bytes.
inline constexpr const char* large_target = "/menu/large";
inline constexpr std::size_t large_answer_size = 900'000;
// A request whose target ends so takes `slow_execution_time`, more than half of a grace period.
inline constexpr const char* slow_suffix = "/slow";
inline constexpr std::chrono::milliseconds slow_execution_time{3400};

// Returns the signature of the answer to an attempt. Callers check it.
std::string signature_of(const std::string& attempt_id);

struct upstream_settings {
  std::string service;
  std::string domain;
  asio::ip::tcp::endpoint listen;     // receives requests
  asio::ip::tcp::endpoint advertised; // address sent in heartbeats, to which the daemon connects
  asio::ip::tcp::endpoint daemon;     // receives the heartbeats
  asio::ip::tcp::endpoint callers;    // receives the calls of slow executions
};

struct upstream_handlers {
  // The execution of an attempt begins.
  std::function<void(const std::string& attempt_id)> on_execution;
  // The departure of the instance was acknowledged before; `late` is the time since then.
  std::function<void(const std::string& attempt_id, core::duration late)> on_late_execution;
  // The process ends (false): it must be unreachable until it starts again (true).
  std::function<void(bool is_running)> on_crash;
  // A slow execution sends a request of its own, and gets no answer to it.
  std::function<void(const std::string& attempt_id)> on_call;
  std::function<void(const std::string& attempt_id)> on_call_lost;
};

// Not thread-safe.
class upstream_stand_in {
public:
  upstream_stand_in(asio::io_context& loop, upstream_settings settings, std::uint64_t seed,
                    upstream_handlers handlers);

  // Starts a departure: announces it, serves requests for a while, and starts again with a new
  // instance id or, if `keeps_id`, with the same id and a later start time. Does nothing if a
  // departure is in progress.
  void depart(bool keeps_id);
  // Checks time limits. Call it at least four times a second.
  void sweep(core::time_point now);

private:
  enum class phase : std::uint8_t { ready, draining, offline };

  void on_request(std::uint64_t token, const core::http_request& request);
  // Sends the request that an execution needs.
  void call_for(std::uint64_t token, const std::string& attempt_id);
  void answer_request(std::uint64_t token, const std::string& attempt_id, const std::string& body);
  void crash();
  void start_instance(bool keeps_id);
  void schedule_heartbeat(core::duration delay);
  void send_heartbeat(phase reported, std::uint64_t sequence);
  void after(core::duration delay, std::function<void()> callback);

  asio::io_context& loop_;
  upstream_settings settings_;
  core::random_source random_;
  runtime::anchored_clock clock_;
  upstream_handlers handlers_;
  phase phase_ = phase::ready;
  std::string instance_id_;
  std::int64_t started_ms_ = 0;
  std::uint64_t sequence_ = 0;
  int start_count_ = 0;
  core::time_point departure_acknowledged_at_{}; // zero before the acknowledgement
  std::set<std::uint64_t> running_;              // tokens of slow executions
  runtime::http::client heartbeats_;
  runtime::http::client calls_;
  runtime::http::server server_;
  asio::steady_timer heartbeat_timer_;
};

} // namespace arbutuslb::soak
