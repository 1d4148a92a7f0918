// State that the components of one gateway share: settings, recorded state of the mesh, the current
// time, and the actions of the current event.
#pragma once

#include "arbutuslb/core/gateway/crash_containment.h"
#include "arbutuslb/core/gateway/events.h"
#include "arbutuslb/core/gateway/peer_directory.h"
#include "arbutuslb/core/gateway/stop_plan.h"
#include "arbutuslb/core/routing/hedge_policy.h"

#include <set>
#include <utility>

namespace arbutuslb::core::gateway {

struct gateway_settings {
  std::string name;             // name of the instance
  std::string host;             // address that peers use for this daemon
  std::string domain;           // failure domain of the instance
  std::string service;          // service of the local upstream
  std::string upstream_address; // HOST:PORT of the local upstream
  // Retry budget of each service, shared by all daemons: `retry_ratio` times its requests within
  // the platform's window, plus `retry_extra`.
  double retry_ratio = 0.2;
  double retry_extra = 60;
  // Rate limit of a cold upstream: `cold_load_factor` times the service's cold rate, plus
  // `cold_load_extra` requests.
  double cold_load_factor = 1.0;
  double cold_load_extra = 0.0;
  // Requests that a version which turns out bad may receive during its rollout: a share of those of
  // its service, plus a number.
  double exposure_share = 0.1;
  double exposure_extra = 50;
  int capacity_weight = 1; // capacity relative to the weakest instance; used to assign roles
  duties::usage_settings usage;
  routing::hedge_settings hedging;
  // Time within which a planned stop completes.
  duration grace_period = std::chrono::seconds{6};
};

// Totals since the process started.
struct gateway_statistics {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;      // answered as not executed
  std::uint64_t unknown = 0;      // answered with an unknown outcome
  std::uint64_t given_up = 0;     // of these, while an attempt had not completed
  std::uint64_t not_found = 0;    // no route matched
  std::uint64_t unauthorized = 0; // without the key of an organisation
  std::uint64_t callers_disconnected = 0;
  std::uint64_t repeats = 0;    // retries after an attempt that may have reached an upstream
  std::uint64_t hedges = 0;     // of these, since the first attempt took long
  std::uint64_t hedges_won = 0; // of these, answered by the second attempt
  std::uint64_t runs = 0;       // requests sent to the local upstream
  std::uint64_t runs_refused = 0;
  std::uint64_t runs_displaced = 0;  // of these, queued before requests of other organisations
  std::uint64_t upstream_deaths = 0; // deaths of the local upstream that interrupted requests
  std::uint64_t suspicions = 0;      // raised by them
  std::uint64_t suspicions_cleared = 0;
  std::uint64_t isolated_runs = 0; // executions of isolated suspects
  std::uint64_t poison_refusals = 0;
  std::uint64_t reports_sent = 0;
  std::uint64_t reports_received = 0;
  std::uint64_t heartbeats_refused = 0;
  std::uint64_t usage_reports = 0;  // accepted by the platform
  std::uint64_t usage_failures = 0; // reports that the platform has not accepted
};

struct gateway_context {
  gateway_context(gateway_settings values, std::uint64_t seed, time_point start)
      : settings(std::move(values)), directory(settings.domain, settings.host),
        registry({settings.upstream_address, settings.service, settings.domain}), random(seed),
        started(start), now(start),
        process_epoch(static_cast<std::uint64_t>(start.time_since_epoch().count())) {}

  // Appends an action to those of the current event.
  void add_action(action value) { actions.push_back(std::move(value)); }
  // Appends a log line.
  void write(engine::severity level, std::string name,
             std::vector<std::pair<std::string, std::string>> fields) {
    actions.emplace_back(engine::write_event{level, std::move(name), std::move(fields)});
  }
  std::uint64_t next_id() { return ++last_id; }
  // Time of day by the clock of the instance as it was when the process started.
  time_point own_clock() const { return now + suspended; }

  const gateway_settings settings;
  operator_state operator_records;
  peer_directory directory;
  upstream_registry registry;
  crash_containment containment;
  // Executions at the local upstream that are to be counted as usage of an organisation.
  struct usage_start {
    std::string organisation;
    time_point started{};
  };
  std::vector<usage_start> usage_starts;
  random_source random;
  const time_point started; // start of this process
  time_point now;           // time of the current event
  duration suspended{};     // of the process since its start, as of the last tick
  std::uint64_t process_epoch;
  std::uint64_t last_id = 0;
  bool is_stopping = false;
  stop_plan stop; // valid while `is_stopping`
  // A report is to be sent at the end of the event: to peers in the local failure domain, or to
  // all.
  bool is_local_report_due = false;
  bool is_report_due = false;
  bool is_suspicion_record_due = false; // suspicions are to be recorded in the store
  gateway_statistics totals;
  std::vector<action> actions;
};

} // namespace arbutuslb::core::gateway
