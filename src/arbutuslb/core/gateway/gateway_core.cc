#include "arbutuslb/core/gateway/gateway_core.h"

#include "arbutuslb/core/base/hash.h"

#include <algorithm>

namespace arbutuslb::core::gateway {
namespace {

// Mean period of the direct reports to each peer in the local failure domain.
constexpr std::chrono::milliseconds local_report_period{500};
// Representatives of each failure domain send the reports of the domain in bundles to the other
// domains.
constexpr std::size_t representatives_per_domain = 2;
constexpr std::chrono::milliseconds bundle_period{1000};
constexpr std::size_t reports_per_datagram = 10;
constexpr std::size_t presences_per_datagram = 60;
// A peer in another domain is sent direct reports while no report of it has been received for this
// long.
constexpr std::chrono::milliseconds remote_contact_timeout{3000};
constexpr std::chrono::milliseconds remote_report_period{2000};
// A contact without a report for this long is removed.
constexpr std::chrono::seconds contact_retention{60};
constexpr std::chrono::seconds contact_expiry_period{1};
// Ticks update this daemon's entry in the directory at most this often.
constexpr std::chrono::milliseconds directory_update_period{100};
constexpr std::chrono::milliseconds evidence_period{250};
// Evidence of faults is sent this soon after the last one.
constexpr std::chrono::milliseconds min_evidence_interval{60};
// The daemon that evaluates a rollout, and the one that would take over the role.
constexpr std::size_t evidence_receivers = 2;
constexpr std::chrono::milliseconds isolated_discovery_interval{700};
constexpr std::chrono::seconds discovery_interval{60};
// In a new era of the store, the daemons register again within this time.
constexpr std::chrono::seconds registration_spread{2};
// A new process sends no requests to its upstream until it has read which upstream departed last
// and has received the report of a peer, or until this time has passed.
constexpr std::chrono::milliseconds departure_read_timeout{500};
// Daemons of each failure domain that read the operators' log; the others fetch from their peers.
constexpr std::size_t readers_per_domain = 2;
constexpr std::chrono::milliseconds reader_update_period{200};
// Time that a poll of the first reader of a domain waits for a record, and of the others. A poll
// into a silence of the store is given up after that time, and then a change is due soon.
constexpr std::chrono::milliseconds first_reader_poll_wait{1200};
constexpr std::chrono::milliseconds other_reader_poll_wait{2500};
// A new process waits for the reports of its peers before it takes the reader role.
constexpr std::chrono::milliseconds initial_reader_delay{500};
// The store is treated as reachable again after this time, so that the daemon retries it.
constexpr std::chrono::seconds store_retry_delay{5};
// The daemons of a domain spread their fetches over this time, so that later ones find more peers
// that have the records.
constexpr std::chrono::milliseconds fetch_spread{100};
// Delay before a reader fetches from a peer; it normally receives the records from the log first.
constexpr std::chrono::milliseconds reader_fetch_delay{400};
// Delay before a daemon fetches from a peer in another domain.
constexpr std::chrono::milliseconds remote_fetch_delay{600};
constexpr std::chrono::milliseconds fetch_interval{300};
// A record of suspicions that the store has not accepted is submitted again after this time.
constexpr std::chrono::seconds suspicion_retry_delay{1};
constexpr std::chrono::minutes suspicion_eviction_period{1};

// Splits a bundle into parts that fit into a datagram each.
std::vector<report_bundle> split(const report_bundle& bundle) {
  std::vector<report_bundle> parts;
  const auto part_at = [&parts](std::size_t index) -> report_bundle& {
    parts.resize(std::max(parts.size(), index + 1));
    return parts[index];
  };
  for (std::size_t i = 0; i < bundle.reports.size(); ++i) {
    part_at(i / reports_per_datagram).reports.push_back(bundle.reports[i]);
  }
  for (std::size_t i = 0; i < bundle.presences.size(); ++i) {
    part_at(i / presences_per_datagram).presences.push_back(bundle.presences[i]);
  }
  return parts;
}

} // namespace

struct gateway_core::event_handler {
  gateway_core& core;
  void operator()(const tick& value) const { core.on_tick(value.suspended); }
  void operator()(call_received& value) const { core.router_.on_call(std::move(value)); }
  void operator()(const caller_disconnected& value) const {
    core.router_.on_caller_disconnected(value.token);
  }
  void operator()(const run_requested& value) const { core.gate_.on_peer_request(value); }
  void operator()(const peer_disconnected& value) const {
    core.gate_.on_peer_disconnected(value.token);
  }
  void operator()(const attempt_written& value) const { core.gate_.on_attempt_written(value); }
  void operator()(const attempt_completed& value) const {
    if (!core.gate_.on_attempt_completed(value)) {
      core.router_.on_attempt_completed(value);
    }
  }
  void operator()(const upstream_probed& value) const { core.gate_.on_upstream_probed(value); }
  void operator()(const heartbeat_received& value) const { core.gate_.on_heartbeat(value); }
  void operator()(const deregistration_received& value) const {
    core.gate_.on_deregistration(value);
  }
  void operator()(operator_records_received& value) const {
    core.on_operator_records(std::move(value));
  }
  void operator()(const reports_received& value) const { core.on_reports(value); }
  void operator()(const store_reachability_changed& value) const {
    core.is_store_reachable_ = value.is_store_reachable;
    core.store_unreachable_since_ = value.is_store_reachable ? time_point{} : core.shared_.now;
  }
  void operator()(const peers_discovered& value) const { core.on_peers_discovered(value); }
  void operator()(const departure_recorded& value) const {
    core.gate_.on_departure_recorded(value);
  }
  void operator()(const suspicions_recorded& value) const { core.on_suspicions_recorded(value); }
  void operator()(const outcomes_read& value) const { core.rollouts_.on_outcomes(value); }
  void operator()(const outcome_recorded& value) const { core.rollouts_.on_recorded(value); }
  void operator()(usage_log_read& value) const { core.usage_.on_log_read(std::move(value)); }
  void operator()(const usage_appended& value) const { core.usage_.on_appended(value); }
  void operator()(const usage_posted& value) const { core.usage_.on_posted(value); }
  void operator()(const stop_requested&) const { core.begin_stopping(); }
  void operator()(const callers_drained&) const { core.are_callers_drained_ = true; }
};

gateway_core::gateway_core(gateway_settings settings, std::uint64_t seed, time_point now)
    : shared_(std::move(settings), seed, now), rollouts_(shared_), gate_(shared_, rollouts_),
      router_(shared_, rollouts_), usage_(shared_) {
  next_discovery_ = now;
  shared_.registry.set_unusable_until(now + departure_read_timeout);
  reader_role_updated_at_ = now + initial_reader_delay;
}

std::vector<action> gateway_core::handle(event value, time_point now) {
  shared_.now = std::max(now, shared_.now);
  std::visit(event_handler{*this}, value);
  finish_event();
  return std::exchange(shared_.actions, {});
}

void gateway_core::finish_event() {
  bool is_drained = false;
  while (!is_drained) {
    is_drained = true;
    for (request_router::local_request& item : router_.take_local_requests()) {
      gate_.on_local_request(item.attempt, std::move(item.request));
      is_drained = false;
    }
    for (const std::uint64_t attempt : router_.take_local_cancellations()) {
      gate_.cancel_local(attempt);
      is_drained = false;
    }
    for (upstream_gate::local_result& item : gate_.take_local_results()) {
      router_.on_attempt_completed({item.attempt, std::move(item.result), false});
      is_drained = false;
    }
  }
  if (shared_.is_report_due || shared_.is_local_report_due) {
    broadcast_report(shared_.is_report_due);
  }
}

bool gateway_core::is_ready() const {
  return !shared_.is_stopping && shared_.operator_records.configuration() != nullptr;
}

void gateway_core::on_tick(duration suspended) {
  shared_.suspended = suspended;
  const bool is_usable = shared_.registry.is_usable(shared_.now);
  if (is_usable != was_usable_) {
    was_usable_ = is_usable;
    shared_.is_report_due = true;
  }
  if (shared_.now - directory_updated_at_ >= directory_update_period) {
    directory_updated_at_ = shared_.now;
    shared_.directory.merge(build_report(), shared_.now);
  }
  if (shared_.operator_records.reconcile(shared_.now)) {
    shared_.write(engine::severity::info, "orders_reconciled",
                  {{"end", std::to_string(shared_.operator_records.end().offset)}});
    on_orders_changed();
  }
  gate_.on_tick();
  router_.on_tick();
  rollouts_.on_tick();
  send_due_reports();
  send_evidence();
  send_domain_bundle();
  update_reader_role();
  fetch_missing_records();
  start_peer_discovery();
  record_suspicions();
  usage_.on_tick();
  shared_.directory.remove_expired(shared_.now);
  if (shared_.is_stopping) {
    finish_stopping();
  }
}

// --- operator records ---

void gateway_core::on_operator_records(operator_records_received value) {
  const log_position previous_end = shared_.operator_records.end();
  bool has_changes = false;
  std::set<std::string> keys;
  for (operator_record& record : value.records) {
    const std::string key = record.key;
    keys.insert(key);
    const log_position position = record.position;
    if (const auto* unreadable = std::get_if<unreadable_record>(&record.value)) {
      shared_.write(engine::severity::error, "order_unreadable",
                    {{"key", key},
                     {"era", std::to_string(position.era)},
                     {"offset", std::to_string(position.offset)},
                     {"reason", unreadable->reason}});
    }
    const apply_result result = shared_.operator_records.apply(std::move(record), shared_.now);
    if (result != apply_result::applied) {
      shared_.write(engine::severity::info, "order_ignored",
                    {{"key", key},
                     {"era", std::to_string(position.era)},
                     {"offset", std::to_string(position.offset)},
                     {"end", std::to_string(shared_.operator_records.end().offset)},
                     {"reason", to_string(result)}});
      continue;
    }
    has_changes = true;
    shared_.write(engine::severity::info, "order_applied",
                  {{"key", key},
                   {"era", std::to_string(position.era)},
                   {"offset", std::to_string(position.offset)}});
  }
  if (value.is_complete && shared_.operator_records.remove_absent(keys, value.end)) {
    has_changes = true;
    shared_.write(
        engine::severity::info, "orders_removed",
        {{"era", std::to_string(value.end.era)}, {"end", std::to_string(value.end.offset)}});
  }
  shared_.operator_records.advance_to(value.end, shared_.now);
  if (previous_end != log_position{} && shared_.operator_records.end().era != previous_end.era) {
    shared_.write(engine::severity::info, "era_changed",
                  {{"from", std::to_string(previous_end.era)},
                   {"era", std::to_string(shared_.operator_records.end().era)},
                   {"end", std::to_string(shared_.operator_records.end().offset)}});
    // The store may have lost the registrations of this daemon and its peers.
    next_discovery_ =
        std::min(next_discovery_, shared_.now + shared_.random.jitter(registration_spread));
  }
  if (has_changes) {
    on_orders_changed();
  }
}

void gateway_core::on_orders_changed() {
  rollouts_.on_operator_records();
  gate_.on_operator_records();
  shared_.is_local_report_due = true;
}

void gateway_core::update_reader_role() {
  if (shared_.now - reader_role_updated_at_ < reader_update_period) {
    return;
  }
  reader_role_updated_at_ = shared_.now;
  if (!is_store_reachable_ && shared_.now - store_unreachable_since_ >= store_retry_delay) {
    is_store_reachable_ = true;
  }
  const std::vector<std::string> readers = shared_.directory.role_holders(
      "orders", shared_.settings.domain, readers_per_domain, shared_.now);
  const bool is_selected =
      !shared_.is_stopping &&
      std::find(readers.begin(), readers.end(), shared_.settings.host) != readers.end();
  const duration poll_wait = is_selected && readers.front() == shared_.settings.host
                                 ? first_reader_poll_wait
                                 : other_reader_poll_wait;
  if (is_selected && is_reader_ && poll_wait != reader_poll_wait_) {
    reader_poll_wait_ = poll_wait;
    shared_.add_action(follow_operator_log{true, poll_wait});
  }
  if (is_selected != is_reader_) {
    is_reader_ = is_selected;
    reader_poll_wait_ = poll_wait;
    shared_.write(engine::severity::info, "reader_changed",
                  {{"is_reader", is_reader_ ? "true" : "false"},
                   {"era", std::to_string(shared_.operator_records.end().era)},
                   {"orders_end", std::to_string(shared_.operator_records.end().offset)}});
    shared_.add_action(follow_operator_log{is_reader_, poll_wait});
  }
}

void gateway_core::fetch_missing_records() {
  // The log may end with a configuration that cannot be decoded; peers have the one before.
  const log_position end =
      shared_.operator_records.configuration() ? shared_.operator_records.end() : log_position{};
  if (!shared_.directory.peer_with_newer_records(end, true, shared_.now, shared_.random)) {
    behind_since_ = {};
    return;
  }
  if (behind_since_ == time_point{}) {
    const duration delay =
        is_reader_ ? duration{reader_fetch_delay} : shared_.random.jitter(fetch_spread);
    behind_since_ = shared_.now;
    next_fetch_ = std::max(next_fetch_, shared_.now + delay);
  }
  if (shared_.now < next_fetch_) {
    return;
  }
  const bool allows_remote = shared_.now - behind_since_ >= remote_fetch_delay;
  const std::optional<std::string> host =
      shared_.directory.peer_with_newer_records(end, allows_remote, shared_.now, shared_.random);
  if (host) {
    next_fetch_ = shared_.now + fetch_interval;
    shared_.add_action(fetch_operator_records{*host, end});
  }
}

// --- reports ---

peer_report gateway_core::build_report() {
  peer_report report;
  report.name = shared_.settings.name;
  report.host = shared_.settings.host;
  report.domain = shared_.settings.domain;
  report.process_epoch = shared_.process_epoch;
  report.sequence = shared_.next_id();
  report.is_stopping = shared_.is_stopping;
  gate_.describe(report);
  report.settled_version = rollouts_.settled_version(report.service);
  report.operator_log_end =
      shared_.operator_records.configuration() ? shared_.operator_records.end() : log_position{};
  report.rollouts = rollouts_.progress();
  report.is_store_reachable = is_store_reachable_;
  report.capacity_weight = shared_.settings.capacity_weight;
  report.suspicions = shared_.containment.to_report(shared_.now);
  if (shared_.settings.usage.is_enabled) {
    report.clock = shared_.own_clock();
  }
  return report;
}

void gateway_core::send_report(const std::string& host, bool reply_requested) {
  peer_report report = build_report();
  report.reply_requested = reply_requested;
  ++shared_.totals.reports_sent;
  shared_.add_action(send_reports{host, {{{std::move(report), {}}}, {}}});
}

bool gateway_core::is_in_local_domain(const std::string& host) const {
  const auto peer = shared_.directory.peers().find(host);
  return peer != shared_.directory.peers().end() &&
         peer->second.report.domain == shared_.settings.domain;
}

void gateway_core::broadcast_report(bool includes_remote) {
  shared_.is_report_due = false;
  shared_.is_local_report_due = false;
  const peer_report report = build_report();
  shared_.directory.merge(report, shared_.now);
  for (auto& [host, entry] : contacts_) {
    if (includes_remote || entry.is_local) {
      ++shared_.totals.reports_sent;
      shared_.add_action(send_reports{host, {{{report, {}}}, {}}});
    }
  }
}

void gateway_core::send_due_reports() {
  if (shared_.now >= next_contact_expiry_) {
    next_contact_expiry_ = shared_.now + contact_expiry_period;
    std::erase_if(contacts_, [&](const auto& item) {
      return shared_.now - item.second.last_contact > contact_retention;
    });
  }
  for (auto& [host, entry] : contacts_) {
    if (shared_.now < entry.next_report) {
      continue;
    }
    const duration period = entry.is_local ? local_report_period : remote_report_period;
    entry.next_report = shared_.now + period * 3 / 4 + shared_.random.jitter(period / 2);
    if (entry.is_local || shared_.now - entry.last_contact >= remote_contact_timeout) {
      send_report(host, false);
    }
  }
}

void gateway_core::send_evidence() {
  const bool is_due = shared_.now >= next_evidence_;
  const bool may_be_early = shared_.now >= next_evidence_ - evidence_period + min_evidence_interval;
  if (!is_due && !(may_be_early && gate_.take_has_evidence_of_faults())) {
    return;
  }
  next_evidence_ = shared_.now + evidence_period;
  std::optional<protocol::evidence_report> evidence = gate_.report_evidence();
  if (!evidence) {
    return;
  }
  peer_report report = build_report();
  report.evidence.push_back(std::move(*evidence));
  for (const std::string& host : shared_.directory.role_holders(
           rollout_conductor::role_name(report.service), "", evidence_receivers, shared_.now)) {
    if (host == shared_.settings.host) {
      rollouts_.on_report(report);
    } else {
      ++shared_.totals.reports_sent;
      shared_.add_action(send_reports{host, {{{report, {}}}, {}}});
    }
  }
}

void gateway_core::send_domain_bundle() {
  if (shared_.now < next_bundle_) {
    return;
  }
  next_bundle_ = shared_.now + bundle_period * 3 / 4 + shared_.random.jitter(bundle_period / 2);
  const std::vector<std::string> representatives = shared_.directory.role_holders(
      "speaker", shared_.settings.domain, representatives_per_domain, shared_.now);
  if (std::find(representatives.begin(), representatives.end(), shared_.settings.host) ==
      representatives.end()) {
    return;
  }
  const report_bundle bundle = bundle_planner_.plan(shared_.directory.domain_reports(shared_.now));
  const std::vector<report_bundle> datagrams = split(bundle);
  ++bundles_sent_;
  for (const std::string& domain : shared_.directory.other_domains()) {
    const std::vector<std::string> receivers =
        shared_.directory.role_holders("speaker", domain, representatives_per_domain, shared_.now);
    if (receivers.empty()) {
      continue;
    }
    const std::string& host = receivers[bundles_sent_ % receivers.size()];
    for (const report_bundle& datagram : datagrams) {
      ++shared_.totals.reports_sent;
      shared_.add_action(send_reports{host, datagram});
    }
  }
}

void gateway_core::forward_to_domain(const report_bundle& bundle) {
  for (const auto& [host, entry] : contacts_) {
    if (entry.is_local) {
      ++shared_.totals.reports_sent;
      shared_.add_action(send_reports{host, bundle});
    }
  }
}

void gateway_core::on_reports(const reports_received& value) {
  const report_bundle& content = value.content;
  for (const aged_report& item : content.reports) {
    on_report(item);
  }
  for (const peer_presence& item : content.presences) {
    on_presence(item);
  }
  usage_.on_reports(value);
  const bool is_bundle =
      !content.presences.empty() ||
      (!content.reports.empty() && content.reports.front().age > duration::zero());
  if (is_bundle && !is_in_local_domain(value.from)) {
    forward_to_domain(content);
  }
}

void gateway_core::on_presence(const peer_presence& presence) {
  const std::map<std::string, contact>::iterator found = contacts_.find(presence.host);
  if (found != contacts_.end()) {
    const time_point last_contact = shared_.now - presence.age;
    found->second.last_contact = std::max(found->second.last_contact, last_contact);
    shared_.directory.on_contact(presence.host, last_contact);
  }
}

void gateway_core::on_report(const aged_report& aged) {
  const peer_report& report = aged.content;
  if (report.host == shared_.settings.host) {
    return;
  }
  ++shared_.totals.reports_received;
  if (is_departure_known_) {
    shared_.registry.set_unusable_until({});
  }
  const time_point last_contact = shared_.now - aged.age;
  contact& entry = contacts_[report.host];
  entry.last_contact = std::max(entry.last_contact, last_contact);
  entry.is_local = report.domain == shared_.settings.domain;
  const peer_directory::merge_result merged = shared_.directory.merge(report, last_contact);
  if (merged.is_changed) {
    shared_.write(engine::severity::info, "peer_changed",
                  {{"peer", report.name},
                   {"service", report.service},
                   {"instance", report.instance_id},
                   {"version", report.version},
                   {"usable", report.is_usable ? "true" : "false"},
                   {"stopping", report.is_stopping ? "true" : "false"},
                   {"rate_limit", std::to_string(static_cast<int>(report.rate_limit))},
                   {"age_ms", std::to_string(to_milliseconds(aged.age))}});
  }
  merge_suspicions(report.suspicions, report.name);
  rollouts_.on_report(report);
  if (report.reply_requested) {
    send_report(report.host, false);
  }
}

void gateway_core::on_peers_discovered(const peers_discovered& found) {
  // Peers may know of suspicions that the store has lost; they reply to the report below.
  const bool has_peers = std::any_of(found.hosts.begin(), found.hosts.end(), [&](const auto& host) {
    return host != shared_.settings.host;
  });
  is_departure_known_ = true;
  if (!has_peers || shared_.totals.reports_received > 0) {
    shared_.registry.set_unusable_until({});
  }
  if (found.departed && shared_.registry.restore_departure(*found.departed, shared_.now)) {
    gate_.on_departure_restored(found.era);
    shared_.write(engine::severity::info, "departure_restored",
                  {{"instance", found.departed->instance_id},
                   {"started_ms", std::to_string(found.departed->started_ms)}});
  }
  merge_suspicions(found.suspicions, "store");
  for (const std::string& host : found.hosts) {
    if (host == shared_.settings.host || contacts_.contains(host)) {
      continue;
    }
    contacts_[host] = {shared_.now, shared_.now + remote_report_period, false};
    send_report(host, true);
  }
}

void gateway_core::start_peer_discovery() {
  if (shared_.now < next_discovery_ || shared_.is_stopping) {
    return;
  }
  const bool is_isolated = shared_.directory.live_count(shared_.now) <= 1;
  const duration period =
      is_isolated ? duration{isolated_discovery_interval} : duration{discovery_interval};
  next_discovery_ = shared_.now + period + shared_.random.jitter(period / 2);
  shared_.add_action(discover_peers{shared_.operator_records.end().era});
}

// --- requests that crash their upstreams ---

void gateway_core::merge_suspicions(const std::vector<calls::suspicion>& suspicions,
                                    const std::string& source) {
  for (const calls::suspicion& value : suspicions) {
    const bool is_news = shared_.containment.merge(value, shared_.now);
    if (is_news && shared_.containment.is_isolated(value)) {
      shared_.write(engine::severity::info, "suspicion_received",
                    {{"fingerprint", to_hexadecimal(value.fingerprint)},
                     {"deaths", std::to_string(value.deaths())},
                     {"generation", std::to_string(value.generation)},
                     {"from", source}});
    }
  }
}

void gateway_core::record_suspicions() {
  if (shared_.now >= next_eviction_) {
    next_eviction_ = shared_.now + suspicion_eviction_period;
    shared_.containment.evict(shared_.now);
  }
  const bool is_lost = suspicion_era_ && *suspicion_era_ < shared_.operator_records.end().era;
  if ((!shared_.is_suspicion_record_due && !is_lost) || is_recording_suspicions_ ||
      shared_.now < next_suspicion_record_) {
    return;
  }
  shared_.is_suspicion_record_due = false;
  is_recording_suspicions_ = true;
  next_suspicion_record_ = shared_.now + suspicion_retry_delay;
  shared_.add_action(gateway::record_suspicions{shared_.containment.to_record(shared_.now)});
}

void gateway_core::on_suspicions_recorded(const suspicions_recorded& value) {
  is_recording_suspicions_ = false;
  if (value.is_recorded) {
    suspicion_era_ = value.era;
    next_suspicion_record_ = shared_.now;
  } else {
    shared_.is_suspicion_record_due = true;
  }
}

// --- stopping ---

void gateway_core::begin_stopping() {
  if (shared_.is_stopping) {
    return;
  }
  shared_.is_stopping = true;
  shared_.is_report_due = true;
  shared_.stop = plan_stop(shared_.now, shared_.settings.grace_period);
  shared_.write(engine::severity::info, "stopping", {});
}

void gateway_core::finish_stopping() {
  if (has_exited_) {
    return;
  }
  const stop_plan& plan = shared_.stop;
  const bool is_time_over = shared_.now >= plan.answers_by;
  // Executions at the local upstream may send requests of their own, as callers.
  if (!has_stopped_reading_ &&
      (is_time_over || (shared_.now >= plan.reads_until && gate_.is_idle()))) {
    has_stopped_reading_ = true;
    shared_.add_action(stop_reading_callers{});
  }
  const bool is_complete =
      gate_.is_idle() && !gate_.owes_acknowledgement() && router_.is_idle() && are_callers_drained_;
  if (!is_complete && !is_time_over) {
    return;
  }
  const std::uint64_t given_up_before = shared_.totals.given_up;
  router_.end_all("daemon is leaving");
  gate_.end_all("daemon is leaving");
  has_exited_ = true;
  shared_.write(engine::severity::info, "stopped",
                {{"after_ms", std::to_string(to_milliseconds(shared_.now - plan.requested))},
                 {"complete", is_complete ? "true" : "false"},
                 {"given_up", std::to_string(shared_.totals.given_up - given_up_before)}});
  shared_.add_action(exit_process{plan.exits_by});
}

} // namespace arbutuslb::core::gateway
