// The data path of one daemon as a state machine without I/O: it takes events and the current time
// and returns actions.
//
// Requests of callers are routed by the published configuration, executed by the daemon of the
// chosen upstream, and answered. Daemons exchange their state in reports. The actions are a pure
// function of the settings, the seed and the events.
//
//   gateway_core core(settings, seed, now);
//   for (const action& item : core.handle(tick{}, now)) { ... }
#pragma once

#include "arbutuslb/core/gateway/bundle_planner.h"
#include "arbutuslb/core/gateway/request_router.h"
#include "arbutuslb/core/gateway/upstream_gate.h"
#include "arbutuslb/core/gateway/usage_service.h"

namespace arbutuslb::core::gateway {

// Not thread-safe; neither copyable nor movable.
class gateway_core {
public:
  gateway_core(gateway_settings settings, std::uint64_t seed, time_point now);
  gateway_core(const gateway_core&) = delete;
  gateway_core& operator=(const gateway_core&) = delete;

  // Handles one event at time `now` and returns the actions to perform, in order. Time does not go
  // backwards: if `now` is earlier than in the previous call, the time of that call is used.
  std::vector<action> handle(event value, time_point now);

  // Returns true if callers should use this daemon: it has a configuration and is not stopping.
  // Requests that it receives while it is stopping are still handled.
  bool is_ready() const;
  const gateway_statistics& totals() const noexcept { return shared_.totals; }
  const operator_state& operator_records() const noexcept { return shared_.operator_records; }
  const crash_containment& containment() const noexcept { return shared_.containment; }
  const peer_directory& directory() const noexcept { return shared_.directory; }

private:
  struct event_handler;
  // Another daemon that this one has discovered or received a report about.
  struct contact {
    time_point last_contact{}; // time of its newest report, or of its discovery
    time_point next_report{};
    bool is_local = false; // in the local failure domain
  };

  void on_tick(duration suspended);
  void on_operator_records(operator_records_received value);
  void on_orders_changed();
  void on_reports(const reports_received& value);
  void on_report(const aged_report& report);
  void on_peers_discovered(const peers_discovered& found);
  void begin_stopping();
  // Stops reading requests, answers those that are still in progress, and exits, each when it is
  // due.
  void finish_stopping();
  // Passes local requests, cancellations and results between the router and the gate until none is
  // left, then sends a report if one is due.
  void finish_event();
  peer_report build_report();
  void send_report(const std::string& host, bool reply_requested);
  // Sends a report to the peers in the local failure domain or, if `includes_remote`, to all peers.
  void broadcast_report(bool includes_remote);
  void send_due_reports();
  // Sends the evidence for the rollout of the local service to the daemon that evaluates it and to
  // the one that would take over the role.
  void send_evidence();
  // Sends the reports of the local failure domain to one representative of each other domain.
  void send_domain_bundle();
  // Sends the reports of another domain's bundle to the peers in the local failure domain.
  void forward_to_domain(const report_bundle& bundle);
  void on_presence(const peer_presence& presence);
  bool is_in_local_domain(const std::string& host) const;
  // Starts or stops following the operators' log when the assignment of the role changes.
  void update_reader_role();
  void fetch_missing_records();
  void start_peer_discovery();
  void merge_suspicions(const std::vector<calls::suspicion>& suspicions, const std::string& source);
  // Records suspicions in the store when they have changed, or when the store has lost the record.
  void record_suspicions();
  void on_suspicions_recorded(const suspicions_recorded& value);

  gateway_context shared_;
  rollout_conductor rollouts_;
  upstream_gate gate_;
  request_router router_;
  usage_service usage_;
  std::map<std::string, contact> contacts_; // by host
  time_point next_discovery_{};
  time_point next_bundle_{};
  time_point next_evidence_{};
  time_point reader_role_updated_at_{};
  bundle_planner bundle_planner_;
  std::uint64_t bundles_sent_ = 0;
  time_point next_contact_expiry_{};
  bool is_departure_known_ = false; // the store has told which upstream departed last
  bool is_reader_ = false;
  duration reader_poll_wait_{}; // of this daemon, while it is a reader
  bool is_store_reachable_ = true;
  time_point store_unreachable_since_{};
  time_point behind_since_{}; // a peer has newer operator records since; zero if none has
  time_point next_fetch_{};
  time_point directory_updated_at_{};
  bool is_recording_suspicions_ = false;
  std::optional<std::uint64_t> suspicion_era_; // era of the store that has the record
  time_point next_suspicion_record_{};
  time_point next_eviction_{};
  bool has_stopped_reading_ = false;
  bool are_callers_drained_ = false;
  bool has_exited_ = false;
  bool was_usable_ = false;
};

} // namespace arbutuslb::core::gateway
