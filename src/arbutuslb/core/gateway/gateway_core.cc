#include "arbutuslb/core/gateway/gateway_core.h"

#include <algorithm>

namespace arbutuslb::core::gateway {
namespace {

// Peers of the own failure domain hear each other directly.
constexpr std::chrono::milliseconds near_report_period{500};
// Two daemons of each failure domain speak for it to the others, in one bundle of reports each.
constexpr std::size_t representatives_per_domain = 2;
constexpr std::chrono::milliseconds bundle_period{1000};
constexpr std::size_t reports_per_datagram = 10;
// A peer of another domain that no bundle names is asked directly.
constexpr std::chrono::milliseconds far_silence{3000};
constexpr std::chrono::milliseconds far_report_period{2000};
// A contact that has not been heard for this long is forgotten.
constexpr std::chrono::seconds contact_memory{60};
// The own entry in the directory is brought up to date at most this often by ticks.
constexpr std::chrono::milliseconds own_report_period{100};
constexpr std::chrono::milliseconds evidence_period{250};
constexpr std::size_t evidence_receivers = 2;
constexpr std::chrono::milliseconds lonely_search_period{700};
constexpr std::chrono::seconds search_period{60};
// A fresh daemon lets nothing in before it knows which upstream an earlier process saw leave, or,
// without the store, before this time has passed.
constexpr std::chrono::milliseconds departure_read_patience{500};
// Two daemons of each failure domain read the operators' log; the others fetch from their peers.
constexpr std::size_t readers_per_domain = 2;
constexpr std::chrono::milliseconds reader_choice_period{200};
// A fresh daemon hears its peers first.
constexpr std::chrono::milliseconds first_reader_choice{500};
// A daemon that lost the store is held to have it again after this time, and tries.
constexpr std::chrono::seconds store_retry_time{5};
// Fetches of one domain are spread over this time, so that later ones find more sources.
constexpr std::chrono::milliseconds fetch_spread{100};
// A reader's own read comes first; so does the own domain before others.
constexpr std::chrono::milliseconds reader_patience{400};
constexpr std::chrono::milliseconds far_patience{600};
constexpr std::chrono::milliseconds fetch_period{300};
// Callers are told within two readiness checks; open connections are served that long.
constexpr std::chrono::milliseconds min_stopping_time{2300};
// Kept free at the end of the grace period.
constexpr std::chrono::milliseconds stopping_reserve{700};

} // namespace

struct gateway_core::event_handler {
  gateway_core& core;
  void operator()(const tick&) const { core.on_tick(); }
  void operator()(call_received& value) const { core.router_.on_call(std::move(value)); }
  void operator()(const caller_disconnected& value) const {
    core.router_.on_caller_left(value.token);
  }
  void operator()(const run_requested& value) const { core.gate_.on_peer_request(value); }
  void operator()(const peer_disconnected& value) const { core.gate_.on_peer_left(value.token); }
  void operator()(const attempt_completed& value) const {
    if (!core.gate_.on_sending_ended(value)) {
      core.router_.on_sending_ended(value);
    }
  }
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
    core.store_lost_at_ = value.is_store_reachable ? time_point{} : core.shared_.now;
  }
  void operator()(const peers_discovered& value) const { core.on_peers_discovered(value); }
  void operator()(const departure_recorded& value) const {
    core.gate_.on_departure_recorded(value);
  }
  void operator()(const outcomes_read& value) const { core.rollouts_.on_outcomes(value); }
  void operator()(const outcome_recorded& value) const { core.rollouts_.on_recorded(value); }
  void operator()(const stop_requested&) const { core.begin_stopping(); }
};

gateway_core::gateway_core(gateway_settings settings, std::uint64_t seed, time_point now)
    : shared_(std::move(settings), seed, now), rollouts_(shared_), gate_(shared_, rollouts_),
      router_(shared_, rollouts_) {
  next_search_ = now;
  shared_.registry.close_until(now + departure_read_patience);
  readers_chosen_at_ = now + first_reader_choice;
}

std::vector<action> gateway_core::handle(event value, time_point now) {
  shared_.now = std::max(now, shared_.now);
  std::visit(event_handler{*this}, value);
  settle();
  return std::exchange(shared_.actions, {});
}

// Carries requests and results between the two sides of this daemon until nothing is left.
void gateway_core::settle() {
  bool is_settled = false;
  while (!is_settled) {
    is_settled = true;
    for (request_router::local_request& item : router_.take_local_requests()) {
      gate_.on_local_request(item.attempt, std::move(item.request));
      is_settled = false;
    }
    for (const std::uint64_t attempt : router_.take_local_cancels()) {
      gate_.cancel_local(attempt);
      is_settled = false;
    }
    for (upstream_gate::local_result& item : gate_.take_local_results()) {
      router_.on_sending_ended({item.attempt, std::move(item.result), false});
      is_settled = false;
    }
  }
  if (shared_.wants_report || shared_.wants_near_report) {
    report_change(shared_.wants_report);
  }
}

bool gateway_core::is_ready() const {
  return !shared_.is_stopping && shared_.operator_records.configuration() != nullptr;
}

void gateway_core::on_tick() {
  const bool is_usable = shared_.registry.is_usable(shared_.now);
  if (is_usable != was_usable_) {
    was_usable_ = is_usable;
    shared_.wants_report = true;
  }
  if (shared_.now - own_report_at_ >= own_report_period) {
    own_report_at_ = shared_.now;
    shared_.directory.merge(own_report(), shared_.now);
  }
  gate_.on_tick();
  router_.on_tick();
  rollouts_.on_tick();
  send_due_reports();
  send_evidence();
  speak_for_domain();
  choose_readers();
  pull_orders();
  look_for_peers();
  shared_.directory.forget_silent(shared_.now);
  if (shared_.is_stopping) {
    finish_stopping();
  }
}

// --- orders ---

void gateway_core::on_operator_records(operator_records_received value) {
  bool has_news = false;
  for (operator_record& record : value.records) {
    const std::string key = record.key;
    const std::uint64_t offset = record.offset;
    if (const auto* unreadable = std::get_if<unreadable_record>(&record.value)) {
      shared_.write(
          engine::severity::error, "order_unreadable",
          {{"key", key}, {"offset", std::to_string(offset)}, {"reason", unreadable->reason}});
    }
    if (!shared_.operator_records.apply(std::move(record))) {
      continue;
    }
    has_news = true;
    shared_.write(engine::severity::info, "order_applied",
                  {{"key", key}, {"offset", std::to_string(offset)}});
  }
  shared_.operator_records.advance_to(value.end_offset);
  if (has_news) {
    rollouts_.on_operator_records();
    gate_.on_operator_records();
    shared_.wants_near_report = true;
  }
}

void gateway_core::choose_readers() {
  if (shared_.now - readers_chosen_at_ < reader_choice_period) {
    return;
  }
  readers_chosen_at_ = shared_.now;
  if (!is_store_reachable_ && shared_.now - store_lost_at_ >= store_retry_time) {
    is_store_reachable_ = true;
  }
  const std::vector<std::string> readers = shared_.directory.role_holders(
      "orders", shared_.settings.domain, readers_per_domain, shared_.now);
  const bool is_chosen = !shared_.is_stopping && std::find(readers.begin(), readers.end(),
                                                           shared_.settings.host) != readers.end();
  if (is_chosen != is_reader_) {
    is_reader_ = is_chosen;
    shared_.write(engine::severity::info, "reader_changed",
                  {{"is_reader", is_reader_ ? "true" : "false"},
                   {"orders_end", std::to_string(shared_.operator_records.end_offset())}});
    shared_.add_action(follow_operator_log{is_reader_});
  }
}

void gateway_core::pull_orders() {
  const std::uint64_t end = shared_.operator_records.end_offset();
  if (!shared_.directory.peer_ahead(end, true, shared_.now, shared_.random)) {
    behind_since_ = {};
    return;
  }
  if (behind_since_ == time_point{}) {
    const duration patience =
        is_reader_ ? duration{reader_patience} : shared_.random.jitter(fetch_spread);
    behind_since_ = shared_.now;
    next_pull_ = std::max(next_pull_, shared_.now + patience);
  }
  if (shared_.now < next_pull_) {
    return;
  }
  const bool allows_far = shared_.now - behind_since_ >= far_patience;
  const std::optional<std::string> host =
      shared_.directory.peer_ahead(end, allows_far, shared_.now, shared_.random);
  if (host) {
    next_pull_ = shared_.now + fetch_period;
    shared_.add_action(fetch_operator_records{*host, end});
  }
}

// --- reports ---

peer_report gateway_core::own_report() {
  peer_report report;
  report.name = shared_.settings.name;
  report.host = shared_.settings.host;
  report.domain = shared_.settings.domain;
  report.process_epoch = shared_.process_epoch;
  report.sequence = shared_.next_id();
  report.is_stopping = shared_.is_stopping;
  gate_.describe(report);
  report.operator_log_end =
      shared_.operator_records.configuration() ? shared_.operator_records.end_offset() : 0;
  report.rollouts = rollouts_.progress();
  report.is_store_reachable = is_store_reachable_;
  report.capacity_weight = shared_.settings.capacity_weight;
  return report;
}

void gateway_core::report_to(const std::string& host, bool reply_requested) {
  peer_report report = own_report();
  report.reply_requested = reply_requested;
  ++shared_.totals.reports_sent;
  shared_.add_action(send_reports{host, {{std::move(report), {}}}});
}

bool gateway_core::is_near(const std::string& host) const {
  const auto peer = shared_.directory.peers().find(host);
  return peer != shared_.directory.peers().end() &&
         peer->second.report.domain == shared_.settings.domain;
}

void gateway_core::report_change(bool includes_far) {
  shared_.wants_report = false;
  shared_.wants_near_report = false;
  const peer_report report = own_report();
  shared_.directory.merge(report, shared_.now);
  for (auto& [host, known] : contacts_) {
    if (includes_far || is_near(host)) {
      ++shared_.totals.reports_sent;
      shared_.add_action(send_reports{host, {{report, {}}}});
    }
  }
}

void gateway_core::send_due_reports() {
  const auto is_forgotten = [&](const auto& item) {
    return shared_.now - item.second.heard_at > contact_memory;
  };
  std::erase_if(contacts_, is_forgotten);
  for (auto& [host, known] : contacts_) {
    if (shared_.now < known.next_report) {
      continue;
    }
    const bool near = is_near(host);
    const duration period = near ? near_report_period : far_report_period;
    known.next_report = shared_.now + period * 3 / 4 + shared_.random.jitter(period / 2);
    if (near || shared_.now - known.heard_at >= far_silence) {
      report_to(host, false);
    }
  }
}

// The judges of the own service's rollout hear the evidence directly.
void gateway_core::send_evidence() {
  if (shared_.now < next_evidence_) {
    return;
  }
  next_evidence_ = shared_.now + evidence_period;
  std::optional<protocol::evidence_report> evidence = gate_.rollout_evidence();
  if (!evidence) {
    return;
  }
  peer_report report = own_report();
  report.evidence.push_back(std::move(*evidence));
  for (const std::string& host : shared_.directory.role_holders(
           rollout_conductor::duty_of(report.service), "", evidence_receivers, shared_.now)) {
    if (host == shared_.settings.host) {
      rollouts_.on_report(report);
    } else {
      ++shared_.totals.reports_sent;
      shared_.add_action(send_reports{host, {{report, {}}}});
    }
  }
}

void gateway_core::speak_for_domain() {
  if (shared_.now < next_bundle_) {
    return;
  }
  next_bundle_ = shared_.now + bundle_period * 3 / 4 + shared_.random.jitter(bundle_period / 2);
  const std::vector<std::string> speakers = shared_.directory.role_holders(
      "speaker", shared_.settings.domain, representatives_per_domain, shared_.now);
  if (std::find(speakers.begin(), speakers.end(), shared_.settings.host) == speakers.end()) {
    return;
  }
  const std::vector<aged_report> reports = shared_.directory.domain_reports(shared_.now);
  ++bundles_sent_;
  for (const std::string& domain : shared_.directory.other_domains()) {
    const std::vector<std::string> listeners =
        shared_.directory.role_holders("speaker", domain, representatives_per_domain, shared_.now);
    if (listeners.empty()) {
      continue;
    }
    const std::string& host = listeners[bundles_sent_ % listeners.size()];
    for (std::size_t first = 0; first < reports.size(); first += reports_per_datagram) {
      const std::size_t last = std::min(reports.size(), first + reports_per_datagram);
      ++shared_.totals.reports_sent;
      shared_.add_action(send_reports{host,
                                      {reports.begin() + static_cast<std::ptrdiff_t>(first),
                                       reports.begin() + static_cast<std::ptrdiff_t>(last)}});
    }
  }
}

void gateway_core::pass_on(const std::vector<aged_report>& reports) {
  for (const auto& [host, known] : contacts_) {
    if (is_near(host)) {
      ++shared_.totals.reports_sent;
      shared_.add_action(send_reports{host, reports});
    }
  }
}

void gateway_core::on_reports(const reports_received& value) {
  for (const aged_report& item : value.reports) {
    on_report(item);
  }
  const bool is_bundle = !value.reports.empty() && value.reports.front().age > duration::zero();
  if (is_bundle && !is_near(value.from)) {
    pass_on(value.reports);
  }
}

void gateway_core::on_report(const aged_report& aged) {
  const peer_report& report = aged.content;
  if (report.host == shared_.settings.host) {
    return;
  }
  ++shared_.totals.reports_received;
  const time_point heard_at = shared_.now - aged.age;
  contact& known = contacts_[report.host];
  known.heard_at = std::max(known.heard_at, heard_at);
  const peer_directory::merge_result merged = shared_.directory.merge(report, heard_at);
  if (merged.is_changed) {
    shared_.write(engine::severity::info, "peer_changed",
                  {{"peer", report.name},
                   {"service", report.service},
                   {"instance", report.instance_id},
                   {"version", report.version},
                   {"usable", report.is_usable ? "true" : "false"},
                   {"stopping", report.is_stopping ? "true" : "false"},
                   {"cold_rate", std::to_string(static_cast<int>(report.cold_rate))},
                   {"age_ms", std::to_string(to_milliseconds(aged.age))}});
  }
  rollouts_.on_report(report);
  if (report.reply_requested) {
    report_to(report.host, false);
  }
}

void gateway_core::on_peers_discovered(const peers_discovered& found) {
  shared_.registry.close_until({});
  if (found.departed) {
    shared_.registry.restore_departure(*found.departed, shared_.now);
    shared_.write(engine::severity::info, "departure_restored",
                  {{"instance", found.departed->instance_id},
                   {"started_ms", std::to_string(found.departed->started_ms)}});
  }
  for (const std::string& host : found.hosts) {
    if (host == shared_.settings.host || contacts_.contains(host)) {
      continue;
    }
    contacts_[host] = {shared_.now, shared_.now + far_report_period};
    report_to(host, true);
  }
}

void gateway_core::look_for_peers() {
  if (shared_.now < next_search_ || shared_.is_stopping) {
    return;
  }
  const bool is_alone = shared_.directory.live_count(shared_.now) <= 1;
  const duration period = is_alone ? duration{lonely_search_period} : duration{search_period};
  next_search_ = shared_.now + period + shared_.random.jitter(period / 2);
  shared_.add_action(discover_peers{});
}

// --- the end ---

void gateway_core::begin_stopping() {
  if (shared_.is_stopping) {
    return;
  }
  shared_.is_stopping = true;
  shared_.wants_report = true;
  stopping_since_ = shared_.now;
  shared_.write(engine::severity::info, "stopping", {});
}

void gateway_core::finish_stopping() {
  const duration since = shared_.now - stopping_since_;
  const bool is_done = gate_.is_idle() && router_.is_idle() && since >= min_stopping_time;
  if (has_exited_ || (!is_done && since < shared_.settings.grace_period - stopping_reserve)) {
    return;
  }
  has_exited_ = true;
  shared_.write(engine::severity::info, "stopped",
                {{"after_ms", std::to_string(to_milliseconds(since))},
                 {"complete", is_done ? "true" : "false"}});
  shared_.add_action(exit_process{});
}

} // namespace arbutuslb::core::gateway
