// Counts executions for each organisation, collects the counts of all daemons, and reports them to
// the platform while this daemon has that duty (core/duties/usage_duty.h).
//
// Every daemon sends its counters to the two daemons that the role is assigned to. Their copies are
// equal but for what is still on its way, so that the second one can go on at once. Windows are
// those of the true time, estimated from the clocks of all daemons.
#pragma once

#include "arbutuslb/core/duties/mesh_clock.h"
#include "arbutuslb/core/duties/usage_duty.h"
#include "arbutuslb/core/gateway/gateway_context.h"

namespace arbutuslb::core::gateway {

// Not thread-safe. Does nothing unless the settings enable it.
class usage_service {
public:
  explicit usage_service(gateway_context& shared);

  void on_tick();
  void on_reports(const reports_received& value);
  void on_log_read(usage_log_read value);
  void on_appended(const usage_appended& value);
  void on_posted(const usage_posted& value);

private:
  // Returns whether the estimate of the time is based on enough clocks.
  bool knows_time() const;
  time_point true_time() const { return shared_.own_clock() + clock_error_; }
  void update_clock();
  void count_starts();
  void complete_windows();
  void send_counters();
  void advance_duty();
  // Returns the counts of a window once all daemons that were in contact lately have sent theirs,
  // or at the last chance.
  std::optional<duties::usage_counts> collect(duties::window_number window,
                                              bool is_last_chance) const;
  bool is_enabled() const { return shared_.settings.usage.is_enabled; }

  gateway_context& shared_;
  duties::mesh_clock clock_;
  duration clock_error_{}; // estimated difference of the true time to the own clock
  duties::usage_counter counter_;
  duties::usage_ledger ledger_;
  duties::usage_duty duty_;
  std::vector<std::string> collectors_;                // hosts; the first one has the duty
  std::optional<duties::window_number> next_complete_; // window to be completed next
  duties::window_number resent_window_ = 0; // last one after whose end all counters were sent again
  time_point next_update_{};
  time_point next_send_{};
  bool was_holder_ = false;
};

} // namespace arbutuslb::core::gateway
