// One daemon's data path without input or output: events and the time in, actions out.
//
// Requests of callers are routed by what operators published, run by the daemon beside the chosen
// upstream, and answered. What daemons tell each other travels in reports. A run is a pure function
// of the settings, the seed and the events.
//
//   gateway_core core(settings, seed, now);
//   for (const action& item : core.handle(tick{}, now)) { ... }
#pragma once

#include "arbutuslb/core/gateway/request_router.h"
#include "arbutuslb/core/gateway/upstream_gate.h"

namespace arbutuslb::core::gateway {

// Not thread-safe; neither copyable nor movable.
class gateway_core {
public:
  gateway_core(gateway_settings settings, std::uint64_t seed, time_point now);
  gateway_core(const gateway_core&) = delete;
  gateway_core& operator=(const gateway_core&) = delete;

  // Handles one event at `now`, which must not be earlier than at the call before. Returns what is
  // to be done, in order.
  std::vector<action> handle(event value, time_point now);

  // True if callers should be sent here.
  bool is_ready() const;
  const gateway_statistics& totals() const noexcept { return shared_.totals; }
  const operator_state& operator_records() const noexcept { return shared_.operator_records; }
  const peer_directory& directory() const noexcept { return shared_.directory; }

private:
  struct event_handler;
  struct contact {
    time_point heard_at{};
    time_point next_report{};
  };

  void on_tick();
  void on_operator_records(operator_records_received value);
  void on_reports(const reports_received& value);
  void on_report(const aged_report& report);
  void on_peers_discovered(const peers_discovered& found);
  void begin_stopping();
  void finish_stopping();
  void settle();
  peer_report own_report();
  void report_to(const std::string& host, bool reply_requested);
  // Reports to the peers of the own failure domain, or to all.
  void report_change(bool includes_far);
  void send_due_reports();
  void send_evidence();
  void speak_for_domain();
  void pass_on(const std::vector<aged_report>& reports);
  bool is_near(const std::string& host) const;
  void choose_readers();
  void pull_orders();
  void look_for_peers();

  gateway_context shared_;
  rollout_conductor rollouts_;
  upstream_gate gate_;
  request_router router_;
  std::map<std::string, contact> contacts_; // by host
  time_point next_search_{};
  time_point next_bundle_{};
  time_point next_evidence_{};
  time_point readers_chosen_at_{};
  std::uint64_t bundles_sent_ = 0;
  bool is_reader_ = false;
  bool is_store_reachable_ = true;
  time_point store_lost_at_{};
  time_point behind_since_{};
  time_point next_pull_{};
  time_point own_report_at_{};
  time_point stopping_since_{};
  bool has_exited_ = false;
  bool was_usable_ = false;
};

} // namespace arbutuslb::core::gateway
