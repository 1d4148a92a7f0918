#include "arbutuslb/core/engine/daemon_core.h"

namespace arbutuslb::core::engine {

struct daemon_core::message_handler {
  daemon_core& core;
  const protocol::message& from;

  // These messages have no fields; the information is in the digest.
  void operator()(const protocol::version_report&) const {
    core.distribution_.on_version_report(from);
  }
  void operator()(const protocol::reader_heartbeat&) const {
    core.distribution_.on_reader_heartbeat();
  }
  void operator()(const protocol::config_announcement&) const {}

  void operator()(const protocol::config_push& value) const {
    core.distribution_.on_push(from, value);
  }
  void operator()(const protocol::config_pull& value) const {
    core.distribution_.on_pull(from, value);
  }
  void operator()(const protocol::config_snapshot& value) const {
    core.distribution_.on_snapshot(from, value);
  }
  void operator()(const protocol::config_busy& value) const {
    core.distribution_.on_pull_refused(from, value);
  }
  void operator()(const protocol::status_query& value) const {
    core.operators_.on_status_query(from, value);
  }
  void operator()(const protocol::status_reply& value) const {
    core.operators_.on_status_reply(value);
  }
  void operator()(const protocol::call_request& value) const {
    core.gate_.submit(from.sender.id, value);
  }
  void operator()(const protocol::call_reply& value) const { core.router_.on_reply(value); }
  void operator()(const protocol::call_cancel& value) const { core.gate_.cancel(value.id); }
  void operator()(const protocol::keyed_request& value) const {
    core.router_.on_keyed_request(from, value);
  }
  void operator()(const protocol::keyed_reply& value) const { core.router_.on_keyed_reply(value); }
  void operator()(const protocol::evidence_report& value) const {
    core.conductor_.on_evidence(from, value);
  }
  void operator()(const protocol::brake& value) const { core.conductor_.on_brake(from, value); }
  void operator()(const protocol::explain_query& value) const {
    core.conductor_.on_explain_query(from, value);
  }
  void operator()(const protocol::explain_reply& value) const {
    core.operators_.on_explain_reply(value);
  }
  void operator()(const protocol::poison_report& value) const {
    // The message has no generation: it counts in that of this daemon.
    const time_point now = core.shared_.now;
    const std::uint32_t generation = core.poison_.find(value.fingerprint, now).generation;
    const bool is_news =
        value.deaths == 0
            ? core.poison_.clear(value.fingerprint, now)
            : core.poison_.merge({value.fingerprint, generation, value.deaths, now}, now);
    if (!is_news) {
      return;
    }
    for (const member_id id : core.shared_.random_domain_peers(push_fanout)) {
      core.shared_.send(id, value, channel::datagram);
    }
  }
  // All other messages are handled by the membership service.
  template <typename Body>
  void operator()(const Body& value) const {
    core.membership_.handle(from, value);
  }
};

struct daemon_core::event_handler {
  daemon_core& core;

  void operator()(const tick&) const { core.on_tick(); }
  void operator()(const peer_message& value) const { core.on_message(value.value); }
  void operator()(const log_read& value) const {
    core.membership_.on_log_read(value);
    core.distribution_.on_log_read(value);
  }
  void operator()(const log_appended& value) const {
    core.distribution_.on_log_appended(value);
    core.writer_.on_log_appended(value);
  }
  void operator()(const call_received& value) const { core.router_.on_call(value); }
  void operator()(const caller_disconnected& value) const {
    core.router_.on_caller_disconnected(value);
  }
  void operator()(const upstream_answered& value) const { core.gate_.on_answered(value); }
  void operator()(const upstream_failed& value) const { core.gate_.on_failed(value); }
  void operator()(const operator_command_received& value) const {
    core.operators_.on_operator_command(value);
  }
  void operator()(const stop_requested&) const { core.begin_leaving(); }
};

daemon_core::daemon_core(core_settings settings, std::uint64_t seed, time_point now)
    : shared_(std::move(settings), seed, now), membership_(shared_), distribution_(shared_),
      gate_(shared_, poison_), router_(shared_, poison_), writer_(shared_),
      conductor_(shared_, writer_, router_.braked_moves()),
      operators_(shared_, distribution_, writer_, conductor_) {}

std::vector<action> daemon_core::handle(const event& value, time_point now) {
  shared_.now = now;
  std::visit(event_handler{*this}, value);
  deliver_internal_messages();
  return std::exchange(shared_.actions, {});
}

void daemon_core::on_message(const protocol::message& value) {
  if (value.sender.id == shared_.self.id &&
      value.sender.process_epoch != shared_.self.process_epoch) {
    // Sent by an earlier process of this instance, whose entry for itself is out of date.
    shared_.write(severity::info, "message_from_earlier_process");
    return;
  }
  membership_.on_message(value);
  std::visit(message_handler{*this, value}, value.body);
  distribution_.on_digest(value);
}

void daemon_core::on_tick() {
  membership_.on_tick();
  distribution_.on_tick();
  gate_.on_tick();
  router_.on_tick();
  conductor_.on_tick(gate_, poison_.confirmed_count());
  operators_.on_tick();
  poison_.evict(shared_.now);
  finish_leaving();
}

// Delivers the messages between the parts until none is pending.
void daemon_core::deliver_internal_messages() {
  on_configuration_change();
  writer_.on_tick();
  for (const completed_command& settled : writer_.take_completed()) {
    operators_.on_command_completed(settled);
  }
  bool is_done = false;
  while (!is_done) {
    is_done = true;
    for (protocol::call_request& request : router_.take_local_requests()) {
      gate_.submit(shared_.self.id, std::move(request));
      is_done = false;
    }
    for (const call_id& id : router_.take_local_cancels()) {
      gate_.cancel(id);
      is_done = false;
    }
    for (const protocol::call_reply& reply : gate_.take_local_replies()) {
      router_.on_reply(reply);
      is_done = false;
    }
  }
  conductor_.on_executions(gate_.take_finished_executions());
}

void daemon_core::on_configuration_change() {
  if (handled_version_ == shared_.configuration.version()) {
    return;
  }
  handled_version_ = shared_.configuration.version();
  gate_.on_configuration();
  conductor_.on_configuration();
  for (const auto& [name, domain] : shared_.configuration.domains()) {
    if (domain.withdrawn) {
      withdrawn_domains_.insert(name);
    } else if (withdrawn_domains_.erase(name) > 0) {
      router_.reset_domain(name);
      if (name == shared_.settings.domain) {
        gate_.make_cold();
      }
    }
  }
}

void daemon_core::begin_leaving() {
  if (shared_.is_stopping) {
    return;
  }
  shared_.is_stopping = true;
  leaving_since_ = shared_.now;
  membership_.leave();
  shared_.write(severity::info, "leaving");
}

void daemon_core::finish_leaving() {
  if (!shared_.is_stopping || has_exited_) {
    return;
  }
  const duration elapsed = shared_.now - leaving_since_;
  const bool is_idle = gate_.is_idle() && router_.is_idle();
  if ((is_idle && elapsed >= min_leave_time) || elapsed >= max_leave_time) {
    has_exited_ = true;
    shared_.write(severity::info, "left", {{"idle", is_idle ? "yes" : "no"}});
    shared_.add_action(exit_process{});
  }
}

} // namespace arbutuslb::core::engine
