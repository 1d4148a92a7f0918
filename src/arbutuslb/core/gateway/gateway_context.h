// What the parts of one gateway share: who it is, what it believes, the time, the actions so far.
#pragma once

#include "arbutuslb/core/gateway/events.h"
#include "arbutuslb/core/gateway/peer_directory.h"

#include <set>
#include <utility>

namespace arbutuslb::core::gateway {

struct gateway_settings {
  std::string name;             // of the instance
  std::string host;             // the address at which peers reach this daemon
  std::string domain;           // its failure domain
  std::string service;          // of the upstream beside it, until a heartbeat says more
  std::string upstream_address; // HOST:PORT of the upstream beside it
  // Repeats at upstreams that all daemons together may send: this fraction of a service's requests
  // and this many more, within the platform's window.
  double retry_ratio = 0.2;
  double retry_extra = 60;
  // A cold upstream bears this multiple of its service's cold rate, and this many requests more.
  double cold_load_factor = 1.0;
  double cold_load_extra = 0.0;
  int capacity_weight = 1; // what the instance can carry, against the weakest; for duties
  // A planned stop is complete within this time.
  duration grace_period = std::chrono::seconds{6};
};

// Totals since the start of the process.
struct gateway_statistics {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0; // as not run
  std::uint64_t unknown = 0; // without a known outcome
  std::uint64_t not_found = 0;
  std::uint64_t callers_disconnected = 0;
  std::uint64_t repeats = 0; // further sendings to an upstream
  std::uint64_t runs = 0;    // requests given to the own upstream
  std::uint64_t runs_refused = 0;
  std::uint64_t reports_sent = 0;
  std::uint64_t reports_received = 0;
  std::uint64_t heartbeats_refused = 0;
};

struct gateway_context {
  gateway_context(gateway_settings own, std::uint64_t seed, time_point start)
      : settings(std::move(own)), directory(settings.domain, settings.host),
        registry(settings.upstream_address), random(seed), started(start), now(start),
        process_epoch(static_cast<std::uint64_t>(start.time_since_epoch().count())) {}

  void add_action(action value) { actions.push_back(std::move(value)); }
  void write(engine::severity level, std::string name,
             std::vector<std::pair<std::string, std::string>> fields) {
    actions.emplace_back(engine::write_event{level, std::move(name), std::move(fields)});
  }
  std::uint64_t next_id() { return ++last_number; }

  const gateway_settings settings;
  operator_state operator_records;
  peer_directory directory;
  upstream_registry registry;
  random_source random;
  const time_point started; // of this process
  time_point now;
  std::uint64_t process_epoch;
  std::uint64_t last_number = 0;
  bool is_stopping = false;
  // Peers should learn of a change at once: those of the own failure domain, or all.
  bool wants_near_report = false;
  bool wants_report = false;
  gateway_statistics totals;
  std::vector<action> actions;
};

} // namespace arbutuslb::core::gateway
