// The decision logic of one daemon, without I/O: takes events and the time, returns actions.
//
// All decisions of a daemon are made here. The actions are a pure function of the settings, the
// seed and the events, so that several daemons can be driven in one thread on a paused clock. See
// docs/EMBEDDING.md for a worked example.
//
//   daemon_core daemon(settings, seed, now);
//   for (const action& item : daemon.handle(tick{}, now)) { ... }
#pragma once

#include "arbutuslb/core/engine/call_router.h"
#include "arbutuslb/core/engine/command_writer.h"
#include "arbutuslb/core/engine/distributor.h"
#include "arbutuslb/core/engine/membership_service.h"
#include "arbutuslb/core/engine/move_conductor.h"
#include "arbutuslb/core/engine/operator_service.h"
#include "arbutuslb/core/engine/upstream_gate.h"

namespace arbutuslb::core::engine {

// A leaving daemon keeps running for at least `min_leave_time`, so that its peers receive the
// change of status, and exits after `max_leave_time` even if calls are still in flight.
inline constexpr std::chrono::milliseconds min_leave_time{1500};
inline constexpr std::chrono::seconds max_leave_time{30};

// Not thread-safe; neither copyable nor movable.
class daemon_core {
public:
  daemon_core(core_settings settings, std::uint64_t seed, time_point now);
  daemon_core(const daemon_core&) = delete;
  daemon_core& operator=(const daemon_core&) = delete;

  // Handles one event at time `now`, which must not be earlier than that of the previous call.
  // Returns the actions to perform, in order. Does not throw, whatever the event contains.
  std::vector<action> handle(const event& value, time_point now);

  const config::configuration& configuration() const noexcept { return shared_.configuration; }
  const membership::member_table& members() const noexcept { return shared_.members; }
  const membership::member& self() const noexcept { return shared_.self; }
  const statistics& totals() const noexcept { return shared_.totals; }
  protocol::load_report upstream_load() const { return gate_.load(); }
  time_point log_confirmed_at() const noexcept { return shared_.log_confirmed_at; }
  bool is_stopping() const noexcept { return shared_.is_stopping; }

private:
  struct event_handler;
  struct message_handler;
  void on_tick();
  void on_message(const protocol::message& value);
  void begin_leaving();
  void finish_leaving();
  void deliver_internal_messages();
  void on_configuration_change();

  context shared_;
  calls::poison_registry poison_;
  membership_service membership_;
  distributor distribution_;
  upstream_gate gate_;
  call_router router_;
  command_writer writer_;
  move_conductor conductor_;
  operator_service operators_;
  config_version handled_version_ = 0;      // last version handled by `on_configuration_change`
  std::set<std::string> withdrawn_domains_; // as of `handled_version_`
  time_point leaving_since_{};
  bool has_exited_ = false;
};

} // namespace arbutuslb::core::engine
