#include "arbutuslb/core/engine/distributor.h"

#include <algorithm>

namespace arbutuslb::core::engine {
namespace {

using config::apply_result;
using config::apply_status;

constexpr std::chrono::milliseconds first_read_backoff{100};
constexpr std::chrono::milliseconds max_read_backoff{2000};
// Each snapshot writer waits this much longer than the writer ranked before it.
constexpr std::chrono::seconds snapshot_delay_per_rank{5};
constexpr std::size_t max_peers_ahead = 8;

} // namespace

distributor::distributor(context& shared)
    : shared_(shared), last_heartbeat_(shared.now), tokens_refilled_at_(shared.now),
      last_snapshot_at_(shared.now) {
  standby_jitter_ = shared_.random.jitter(standby_timeout_per_rank);
  next_report_ = shared_.now;
}

void distributor::on_tick() {
  if (read_ && shared_.now - read_->sent > log_read_timeout) {
    on_read_failed();
  }
  read_if_due();
  pull_if_behind();
  update_readiness();
  report_version();
  write_snapshot_if_due();
}

// A new process becomes ready once it has a configuration, no known peer has a higher version, and
// it has read the log to its end or received the digests of enough peers.
void distributor::update_readiness() {
  if (shared_.is_ready || shared_.configuration.version() == 0 || !peers_ahead_.empty()) {
    return;
  }
  const std::size_t peers = shared_.domain_peers().size();
  const std::size_t needed = std::min(peer_digests_before_ready, std::max<std::size_t>(peers, 1));
  if (has_read_to_log_end_ || digest_senders_.size() >= needed) {
    shared_.is_ready = true;
    digest_senders_.clear();
    shared_.write(severity::info, "ready",
                  {{"version", std::to_string(shared_.configuration.version())},
                   {"from", has_read_to_log_end_ ? "log" : "peers"}});
  }
}

// --- reading the log ---

bool distributor::should_read_log() {
  if (shared_.log_read_requested) {
    return true;
  }
  const std::vector<member_id> holders =
      shared_.role_holders("reader", readers_per_domain + max_standby_readers);
  const std::vector<member_id>::const_iterator self_position =
      std::find(holders.begin(), holders.end(), shared_.self.id);
  if (self_position == holders.end()) {
    return false;
  }
  const std::size_t rank = static_cast<std::size_t>(self_position - holders.begin());
  if (rank < readers_per_domain) {
    return true;
  }
  const duration timeout =
      standby_timeout + standby_jitter_ + standby_timeout_per_rank * (rank - readers_per_domain);
  return shared_.now - last_heartbeat_ > timeout;
}

void distributor::read_if_due() {
  if (read_ || shared_.now < next_read_ || !should_read_log()) {
    return;
  }
  if (needs_snapshot_) {
    start_read(snapshot_stream, latest_record, duration{});
  } else {
    start_read(config_stream, shared_.configuration.version() + 1, log_poll_wait);
  }
}

void distributor::start_read(const std::string& stream, std::uint64_t from, duration wait) {
  read_ = outstanding_read{shared_.next_id(), stream, shared_.now};
  ++shared_.totals.log_reads;
  shared_.add_action(read_log{read_->request, stream, from, wait});
}

void distributor::on_read_failed() {
  read_.reset();
  ++failed_reads_;
  if (failed_reads_ == 1) {
    shared_.write(severity::warning, "log_unreachable",
                  {{"version", std::to_string(shared_.configuration.version())}});
  }
  const int doublings = std::min(failed_reads_, 6);
  const duration ceiling =
      std::min<duration>(first_read_backoff * (1 << doublings), max_read_backoff);
  next_read_ = shared_.now + first_read_backoff + shared_.random.jitter(ceiling);
}

void distributor::on_log_read(const log_read& result) {
  if (!read_ || read_->request != result.request) {
    return; // the answer to a read that has timed out
  }
  if (result.failed) {
    on_read_failed();
    return;
  }
  if (failed_reads_ > 0) {
    shared_.write(severity::info, "log_reachable",
                  {{"failed_reads", std::to_string(failed_reads_)}});
  }
  failed_reads_ = 0;
  const time_point sent = read_->sent;
  read_.reset();
  next_read_ = shared_.now;
  if (result.stream == snapshot_stream) {
    on_snapshot_read(result);
    return;
  }
  on_config_read(result);
  if (shared_.configuration.version() + 1 >= result.next_offset) {
    shared_.log_confirmed_at = std::max(shared_.log_confirmed_at, sent);
    shared_.log_read_requested = false;
    has_read_to_log_end_ = true;
  }
  send_reader_heartbeats();
  read_if_due();
}

void distributor::on_config_read(const log_read& result) {
  const config_version next_version = shared_.configuration.version() + 1;
  if (result.oldest_offset > next_version) {
    needs_snapshot_ = true;
    shared_.write(severity::warning, "log_expired",
                  {{"wanted", std::to_string(next_version)},
                   {"oldest", std::to_string(result.oldest_offset)}});
    return;
  }
  if (apply_records(result.first_offset, result.records) > 0) {
    push_records(next_version, shared_.self.id);
  }
}

void distributor::on_snapshot_read(const log_read& result) {
  needs_snapshot_ = false;
  stored_snapshot_checked_ = true;
  const bool is_newer = result.next_offset != snapshot_next_offset_;
  snapshot_next_offset_ = result.next_offset;
  if (result.records.empty()) {
    next_read_ = shared_.now + shared_.random.jitter(max_read_backoff);
    return;
  }
  try {
    const config::configuration stored =
        config::configuration::from_snapshot(result.records.back());
    last_snapshot_version_ = std::max(last_snapshot_version_, stored.version());
    last_snapshot_at_ = is_newer ? shared_.now : last_snapshot_at_;
    if (stored.version() == shared_.configuration.version() &&
        stored.state_hash() != shared_.configuration.state_hash()) {
      ++shared_.totals.state_mismatches;
      shared_.write(severity::error, "snapshot_mismatch",
                    {{"version", std::to_string(stored.version())}});
    }
  } catch (const findings_error& error) {
    shared_.write(severity::error, "snapshot_malformed", {{"findings", error.what()}});
    next_read_ = shared_.now + shared_.random.jitter(max_read_backoff);
    return;
  }
  apply_snapshot(result.records.back(), "log");
}

void distributor::send_reader_heartbeats() {
  if (shared_.now < next_heartbeat_) {
    return;
  }
  next_heartbeat_ = shared_.now + reader_heartbeat_period;
  const std::vector<member_id> holders =
      shared_.role_holders("reader", readers_per_domain + max_standby_readers);
  for (std::size_t rank = readers_per_domain; rank < holders.size(); ++rank) {
    shared_.send(holders[rank], protocol::reader_heartbeat{}, channel::datagram);
  }
}

void distributor::on_reader_heartbeat() {
  last_heartbeat_ = shared_.now;
}

// --- applying and pushing records ---

std::size_t distributor::apply_records(config_version first,
                                       const std::vector<std::string>& records) {
  std::size_t applied = 0;
  for (std::size_t i = 0; i < records.size(); ++i) {
    const config_version offset = first + i;
    if (offset <= shared_.configuration.version()) {
      continue;
    }
    const apply_result result = shared_.configuration.apply(offset, records[i]);
    if (result.status == apply_status::out_of_order) {
      break;
    }
    on_record_applied(offset, result);
    recent_records_.push_back({offset, records[i]});
    ++applied;
  }
  while (recent_records_.size() > max_retained_records) {
    recent_records_.pop_front();
  }
  return applied;
}

void distributor::on_record_applied(config_version offset, const apply_result& result) {
  ++shared_.totals.records_applied;
  if (result.status == apply_status::malformed) {
    ++shared_.totals.records_malformed;
    shared_.write(severity::error, "record_malformed",
                  {{"offset", std::to_string(offset)},
                   {"findings", findings_error::describe(result.findings)}});
  } else if (result.status == apply_status::refused) {
    shared_.write(severity::info, "command_refused",
                  {{"version", std::to_string(offset)}, {"command", result.command_id}});
  } else {
    shared_.write(severity::info, "version_applied", {{"version", std::to_string(offset)}});
  }
}

bool distributor::apply_snapshot(const std::string& bytes, const std::string& source) {
  try {
    config::configuration state = config::configuration::from_snapshot(bytes);
    if (state.version() <= shared_.configuration.version()) {
      return false;
    }
    shared_.configuration = std::move(state);
    recent_records_.clear();
  } catch (const findings_error& error) {
    shared_.write(severity::error, "snapshot_malformed",
                  {{"source", source}, {"findings", error.what()}});
    return false;
  }
  shared_.write(severity::info, "snapshot_applied",
                {{"version", std::to_string(shared_.configuration.version())}, {"source", source}});
  return true;
}

void distributor::push_records(config_version first, member_id except) {
  protocol::config_push push;
  push.first_version = first;
  std::size_t bytes = 0;
  for (const retained_record& item : recent_records_) {
    if (item.offset >= first) {
      push.records.push_back(item.bytes);
      bytes += item.bytes.size();
    }
  }
  for (const member_id id : shared_.random_domain_peers(push_fanout)) {
    if (id == except) {
      continue;
    }
    if (!push.records.empty() && bytes <= max_datagram_record_bytes) {
      shared_.send(id, push, channel::datagram);
    } else {
      shared_.send(id, protocol::config_announcement{}, channel::datagram);
    }
  }
}

void distributor::on_push(const protocol::message& from, const protocol::config_push& push) {
  pull_.reset();
  const config_version first = shared_.configuration.version() + 1;
  if (apply_records(push.first_version, push.records) > 0) {
    push_records(first, from.sender.id);
  }
  pull_if_behind();
}

void distributor::on_snapshot(const protocol::message& from,
                              const protocol::config_snapshot& snapshot) {
  pull_.reset();
  if (apply_snapshot(snapshot.bytes, from.sender.name)) {
    push_records(shared_.configuration.version() + 1, from.sender.id);
  }
  pull_if_behind();
}

// --- catching up ---

void distributor::on_digest(const protocol::message& from) {
  const protocol::digest& peer_digest = from.sender_digest;
  const config_version local_version = shared_.configuration.version();
  if (peer_digest.version == local_version && local_version > 0 &&
      last_mismatch_version_ != local_version &&
      peer_digest.state_hash != shared_.configuration.state_hash()) {
    last_mismatch_version_ = local_version;
    ++shared_.totals.state_mismatches;
    shared_.write(severity::error, "state_mismatch",
                  {{"version", std::to_string(local_version)}, {"peer", from.sender.name}});
  }
  if (peer_digest.version == local_version) {
    shared_.log_confirmed_at =
        std::max(shared_.log_confirmed_at, shared_.now - peer_digest.log_confirmed_age);
  }
  if (!shared_.is_ready) {
    digest_senders_.insert(from.sender.id);
  }
  if (peer_digest.version > local_version) {
    if (peers_ahead_.size() >= max_peers_ahead) {
      peers_ahead_.erase(peers_ahead_.begin());
    }
    peers_ahead_[from.sender.id] = peer_digest.version;
    pull_if_behind();
  }
}

void distributor::pull_if_behind() {
  const config_version local_version = shared_.configuration.version();
  std::erase_if(peers_ahead_,
                [local_version](const auto& item) { return item.second <= local_version; });
  if (pull_ && shared_.now - pull_->sent > pull_timeout) {
    peers_ahead_.erase(pull_->target);
    pull_.reset();
  }
  if (pull_ || peers_ahead_.empty() || shared_.now < next_pull_) {
    return;
  }
  std::map<member_id, config_version>::const_iterator chosen = peers_ahead_.begin();
  std::advance(chosen, static_cast<std::ptrdiff_t>(shared_.random.below(peers_ahead_.size())));
  pull_ = outstanding_pull{chosen->first, shared_.now};
  shared_.send(chosen->first, protocol::config_pull{local_version + 1}, channel::stream);
}

void distributor::on_pull(const protocol::message& from, const protocol::config_pull& pull) {
  if (pull.from_version > shared_.configuration.version()) {
    return;
  }
  if (!recent_records_.empty() && recent_records_.front().offset <= pull.from_version) {
    protocol::config_push push;
    push.first_version = pull.from_version;
    std::size_t bytes = 0;
    for (const retained_record& item : recent_records_) {
      if (item.offset >= pull.from_version && bytes < max_push_bytes) {
        push.records.push_back(item.bytes);
        bytes += item.bytes.size();
      }
    }
    ++shared_.totals.pulls_served;
    shared_.send_to(from.sender.address, std::move(push), channel::stream);
    return;
  }
  const double elapsed = std::chrono::duration<double>(shared_.now - tokens_refilled_at_).count();
  tokens_refilled_at_ = shared_.now;
  bootstrap_tokens_ =
      std::min(bootstrap_burst, bootstrap_tokens_ + elapsed * bootstraps_per_second);
  if (bootstrap_tokens_ < 1.0) {
    ++shared_.totals.pulls_refused;
    const duration retry =
        std::chrono::milliseconds{300} + shared_.random.jitter(std::chrono::milliseconds{700});
    shared_.send_to(from.sender.address, protocol::config_busy{retry}, channel::stream);
    return;
  }
  bootstrap_tokens_ -= 1.0;
  ++shared_.totals.pulls_served;
  shared_.send_to(from.sender.address, protocol::config_snapshot{shared_.configuration.snapshot()},
                  channel::stream);
}

void distributor::on_pull_refused(const protocol::message& from,
                                  const protocol::config_busy& busy) {
  pull_.reset();
  peers_ahead_.erase(from.sender.id);
  if (peers_ahead_.empty()) {
    next_pull_ = shared_.now + std::min<duration>(busy.retry_after, max_read_backoff);
    peers_ahead_[from.sender.id] = from.sender_digest.version;
  }
}

// --- reporting ---

void distributor::report_version() {
  const config_version local_version = shared_.configuration.version();
  const std::vector<member_id> present_collectors = report_collectors();
  if (local_version != reported_version_ || present_collectors != reported_to_) {
    reported_version_ = local_version;
    reported_to_ = present_collectors;
    next_report_ = shared_.now + shared_.random.jitter(max_report_jitter);
  }
  if (shared_.now < next_report_) {
    return;
  }
  next_report_ =
      shared_.now + report_refresh_interval - shared_.random.jitter(report_refresh_interval / 4);
  for (const member_id id : present_collectors) {
    if (id == shared_.self.id) {
      version_reports_[id] = {shared_.self.process_epoch, local_version, shared_.now};
    } else {
      shared_.send(id, protocol::version_report{}, channel::datagram);
    }
  }
}

void distributor::on_version_report(const protocol::message& from) {
  member_report& recorded = version_reports_[from.sender.id];
  if (recorded.process_epoch != from.sender.process_epoch ||
      recorded.version <= from.sender_digest.version) {
    recorded = {from.sender.process_epoch, from.sender_digest.version, shared_.now};
  }
}

// --- snapshots in the log ---

void distributor::write_snapshot_if_due() {
  const config_version local_version = shared_.configuration.version();
  const bool is_due =
      local_version >= last_snapshot_version_ + records_per_snapshot ||
      (local_version > 0 && shared_.now - last_snapshot_at_ >= shared_.settings.snapshot_interval);
  if (!is_due || snapshot_append_request_ != 0) {
    snapshot_due_since_ = is_due ? snapshot_due_since_ : time_point{};
    return;
  }
  if (snapshot_due_since_ == time_point{}) {
    snapshot_due_since_ = shared_.now;
  }
  const std::vector<member_id> writers = shared_.fleet_role_holders("snapshot", snapshot_writers);
  const std::vector<member_id>::const_iterator self_position =
      std::find(writers.begin(), writers.end(), shared_.self.id);
  if (self_position == writers.end()) {
    last_snapshot_version_ = local_version;
    last_snapshot_at_ = shared_.now;
    return;
  }
  const std::ptrdiff_t rank = self_position - writers.begin();
  if (shared_.now - snapshot_due_since_ < snapshot_delay_per_rank * rank) {
    return;
  }
  if (rank > 0 && !stored_snapshot_checked_) {
    read_stored_snapshot();
    return;
  }
  write_snapshot();
}

// A lower-ranked writer first checks whether a higher-ranked one has written the snapshot.
void distributor::read_stored_snapshot() {
  if (!read_) {
    start_read(snapshot_stream, latest_record, duration{});
  }
}

void distributor::write_snapshot() {
  stored_snapshot_checked_ = false;
  snapshot_append_request_ = shared_.next_id();
  ++shared_.totals.log_appends;
  shared_.add_action(
      append_log{snapshot_append_request_, snapshot_stream, shared_.configuration.snapshot()});
}

void distributor::on_log_appended(const log_appended& result) {
  if (snapshot_append_request_ == 0 || result.request != snapshot_append_request_) {
    return;
  }
  snapshot_append_request_ = 0;
  snapshot_due_since_ = shared_.now; // restarts the delay by rank if the append failed
  if (result.result == append_result::appended) {
    ++shared_.totals.snapshots_written;
    last_snapshot_version_ = shared_.configuration.version();
    last_snapshot_at_ = shared_.now;
    shared_.write(severity::info, "snapshot_written",
                  {{"version", std::to_string(last_snapshot_version_)},
                   {"offset", std::to_string(result.offset)}});
  }
}

} // namespace arbutuslb::core::engine
