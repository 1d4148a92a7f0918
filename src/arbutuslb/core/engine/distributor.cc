#include "arbutuslb/core/engine/distributor.h"

#include <algorithm>

namespace arbutuslb::core::engine {
namespace {

using config::apply_result;
using config::apply_status;

constexpr std::chrono::milliseconds first_read_backoff{100};
constexpr std::chrono::milliseconds max_read_backoff{2000};
// A snapshot writer waits this much longer for each one before it.
constexpr std::chrono::seconds snapshot_wait_per_rank{5};
constexpr std::size_t max_peers_ahead = 8;

} // namespace

distributor::distributor(context& shared)
    : shared_(shared), last_heartbeat_(shared.now), tokens_at_(shared.now),
      last_snapshot_at_(shared.now) {
  substitute_jitter_ = shared_.random.jitter(substitute_wait_per_rank);
  next_report_ = shared_.now;
}

void distributor::on_tick() {
  if (read_ && shared_.now - read_->sent > log_read_timeout) {
    on_read_failed();
  }
  read_if_due();
  pull_if_behind();
  note_readiness();
  report_version();
  write_snapshot_if_due();
}

// A fresh process serves only when it knows of nobody that holds a higher version.
void distributor::note_readiness() {
  if (shared_.is_ready || shared_.configuration.version() == 0 || !ahead_.empty()) {
    return;
  }
  const std::size_t peers = shared_.domain_peers().size();
  const std::size_t needed = std::min(peers_heard_before_ready, std::max<std::size_t>(peers, 1));
  if (has_read_log_ || heard_.size() >= needed) {
    shared_.is_ready = true;
    heard_.clear();
    shared_.write(severity::info, "ready",
                  {{"version", std::to_string(shared_.configuration.version())},
                   {"from", has_read_log_ ? "log" : "peers"}});
  }
}

// --- reading the log ---

bool distributor::has_read_duty() {
  if (shared_.log_read_requested) {
    return true;
  }
  const std::vector<member_id> holders =
      shared_.role_holders("reader", readers_per_domain + max_substitute_readers);
  const std::vector<member_id>::const_iterator own =
      std::find(holders.begin(), holders.end(), shared_.self.id);
  if (own == holders.end()) {
    return false;
  }
  const std::size_t rank = static_cast<std::size_t>(own - holders.begin());
  if (rank < readers_per_domain) {
    return true;
  }
  const duration patience =
      substitute_wait + substitute_jitter_ + substitute_wait_per_rank * (rank - readers_per_domain);
  return shared_.now - last_heartbeat_ > patience;
}

void distributor::read_if_due() {
  if (read_ || shared_.now < next_read_ || !has_read_duty()) {
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
    return; // an answer that came after its time
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
    has_read_log_ = true;
  }
  beat_to_substitutes();
  read_if_due();
}

void distributor::on_config_read(const log_read& result) {
  const config_version wanted = shared_.configuration.version() + 1;
  if (result.oldest_offset > wanted) {
    needs_snapshot_ = true;
    shared_.write(
        severity::warning, "log_expired",
        {{"wanted", std::to_string(wanted)}, {"oldest", std::to_string(result.oldest_offset)}});
    return;
  }
  if (fold_records(result.first_offset, result.records) > 0) {
    spread(wanted, shared_.self.id);
  }
}

void distributor::on_snapshot_read(const log_read& result) {
  needs_snapshot_ = false;
  snapshot_checked_ = true;
  const bool is_newer = result.next_offset != stored_snapshots_;
  stored_snapshots_ = result.next_offset;
  if (result.records.empty()) {
    next_read_ = shared_.now + shared_.random.jitter(max_read_backoff);
    return;
  }
  try {
    const config::configuration stored =
        config::configuration::from_snapshot(result.records.back());
    last_snapshot_ = std::max(last_snapshot_, stored.version());
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
  adopt_snapshot(result.records.back(), "log");
}

void distributor::beat_to_substitutes() {
  if (shared_.now < next_heartbeat_) {
    return;
  }
  next_heartbeat_ = shared_.now + reader_heartbeat_period;
  const std::vector<member_id> holders =
      shared_.role_holders("reader", readers_per_domain + max_substitute_readers);
  for (std::size_t rank = readers_per_domain; rank < holders.size(); ++rank) {
    shared_.send(holders[rank], protocol::reader_heartbeat{}, channel::datagram);
  }
}

void distributor::on_reader_heartbeat() {
  last_heartbeat_ = shared_.now;
}

// --- folding and spreading ---

std::size_t distributor::fold_records(config_version first,
                                      const std::vector<std::string>& records) {
  std::size_t folded = 0;
  for (std::size_t i = 0; i < records.size(); ++i) {
    const config_version offset = first + i;
    if (offset <= shared_.configuration.version()) {
      continue;
    }
    const apply_result result = shared_.configuration.apply(offset, records[i]);
    if (result.status == apply_status::out_of_order) {
      break;
    }
    note_fold(offset, result);
    records_.push_back({offset, records[i]});
    ++folded;
  }
  while (records_.size() > kept_records) {
    records_.pop_front();
  }
  return folded;
}

void distributor::note_fold(config_version offset, const apply_result& result) {
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

bool distributor::adopt_snapshot(const std::string& bytes, const std::string& source) {
  try {
    config::configuration state = config::configuration::from_snapshot(bytes);
    if (state.version() <= shared_.configuration.version()) {
      return false;
    }
    shared_.configuration = std::move(state);
    records_.clear();
  } catch (const findings_error& error) {
    shared_.write(severity::error, "snapshot_malformed",
                  {{"source", source}, {"findings", error.what()}});
    return false;
  }
  shared_.write(severity::info, "snapshot_applied",
                {{"version", std::to_string(shared_.configuration.version())}, {"source", source}});
  return true;
}

void distributor::spread(config_version first, member_id except) {
  protocol::config_push push;
  push.first_version = first;
  std::size_t bytes = 0;
  for (const kept_record& item : records_) {
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
  if (fold_records(push.first_version, push.records) > 0) {
    spread(first, from.sender.id);
  }
  pull_if_behind();
}

void distributor::on_snapshot(const protocol::message& from,
                              const protocol::config_snapshot& snapshot) {
  pull_.reset();
  if (adopt_snapshot(snapshot.bytes, from.sender.name)) {
    spread(shared_.configuration.version() + 1, from.sender.id);
  }
  pull_if_behind();
}

// --- catching up ---

void distributor::on_digest(const protocol::message& from) {
  const protocol::digest& theirs = from.sender_digest;
  const config_version own = shared_.configuration.version();
  if (theirs.version == own && own > 0 && mismatch_at_ != own &&
      theirs.state_hash != shared_.configuration.state_hash()) {
    mismatch_at_ = own;
    ++shared_.totals.state_mismatches;
    shared_.write(severity::error, "state_mismatch",
                  {{"version", std::to_string(own)}, {"peer", from.sender.name}});
  }
  if (theirs.version == own) {
    shared_.log_confirmed_at =
        std::max(shared_.log_confirmed_at, shared_.now - theirs.log_confirmed_age);
  }
  if (!shared_.is_ready) {
    heard_.insert(from.sender.id);
  }
  if (theirs.version > own) {
    if (ahead_.size() >= max_peers_ahead) {
      ahead_.erase(ahead_.begin());
    }
    ahead_[from.sender.id] = theirs.version;
    pull_if_behind();
  }
}

void distributor::pull_if_behind() {
  const config_version own = shared_.configuration.version();
  std::erase_if(ahead_, [own](const auto& item) { return item.second <= own; });
  if (pull_ && shared_.now - pull_->sent > pull_timeout) {
    ahead_.erase(pull_->target);
    pull_.reset();
  }
  if (pull_ || ahead_.empty() || shared_.now < next_pull_) {
    return;
  }
  std::map<member_id, config_version>::const_iterator chosen = ahead_.begin();
  std::advance(chosen, static_cast<std::ptrdiff_t>(shared_.random.below(ahead_.size())));
  pull_ = outstanding_pull{chosen->first, shared_.now};
  shared_.send(chosen->first, protocol::config_pull{own + 1}, channel::stream);
}

void distributor::on_pull(const protocol::message& from, const protocol::config_pull& pull) {
  if (pull.from_version > shared_.configuration.version()) {
    return;
  }
  if (!records_.empty() && records_.front().offset <= pull.from_version) {
    protocol::config_push push;
    push.first_version = pull.from_version;
    std::size_t bytes = 0;
    for (const kept_record& item : records_) {
      if (item.offset >= pull.from_version && bytes < max_push_bytes) {
        push.records.push_back(item.bytes);
        bytes += item.bytes.size();
      }
    }
    ++shared_.totals.pulls_served;
    shared_.send_to(from.sender.address, std::move(push), channel::stream);
    return;
  }
  const double elapsed = std::chrono::duration<double>(shared_.now - tokens_at_).count();
  tokens_at_ = shared_.now;
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
  ahead_.erase(from.sender.id);
  if (ahead_.empty()) {
    next_pull_ = shared_.now + std::min<duration>(busy.retry_after, max_read_backoff);
    ahead_[from.sender.id] = from.sender_digest.version;
  }
}

// --- reporting ---

void distributor::report_version() {
  const config_version own = shared_.configuration.version();
  const std::vector<member_id> present_reporters = reporters();
  if (own != reported_version_ || present_reporters != reported_to_) {
    reported_version_ = own;
    reported_to_ = present_reporters;
    next_report_ = shared_.now + shared_.random.jitter(max_report_jitter);
  }
  if (shared_.now < next_report_) {
    return;
  }
  next_report_ = shared_.now + report_refresh - shared_.random.jitter(report_refresh / 4);
  for (const member_id id : present_reporters) {
    if (id == shared_.self.id) {
      reports_[id] = {shared_.self.process_epoch, own, shared_.now};
    } else {
      shared_.send(id, protocol::version_report{}, channel::datagram);
    }
  }
}

void distributor::on_version_report(const protocol::message& from) {
  reported& known = reports_[from.sender.id];
  if (known.process_epoch != from.sender.process_epoch ||
      known.version <= from.sender_digest.version) {
    known = {from.sender.process_epoch, from.sender_digest.version, shared_.now};
  }
}

// --- snapshots in the log ---

void distributor::write_snapshot_if_due() {
  const config_version own = shared_.configuration.version();
  const bool is_due =
      own >= last_snapshot_ + records_per_snapshot ||
      (own > 0 && shared_.now - last_snapshot_at_ >= shared_.settings.snapshot_interval);
  if (!is_due || snapshot_append_ != 0) {
    snapshot_due_since_ = is_due ? snapshot_due_since_ : time_point{};
    return;
  }
  if (snapshot_due_since_ == time_point{}) {
    snapshot_due_since_ = shared_.now;
  }
  const std::vector<member_id> writers = shared_.fleet_role_holders("snapshot", snapshot_writers);
  const std::vector<member_id>::const_iterator own_place =
      std::find(writers.begin(), writers.end(), shared_.self.id);
  if (own_place == writers.end()) {
    last_snapshot_ = own;
    last_snapshot_at_ = shared_.now;
    return;
  }
  const std::ptrdiff_t rank = own_place - writers.begin();
  if (shared_.now - snapshot_due_since_ < snapshot_wait_per_rank * rank) {
    return;
  }
  if (rank > 0 && !snapshot_checked_) {
    check_stored_snapshot();
    return;
  }
  write_snapshot();
}

// A later writer first looks whether an earlier one has written.
void distributor::check_stored_snapshot() {
  if (!read_) {
    start_read(snapshot_stream, latest_record, duration{});
  }
}

void distributor::write_snapshot() {
  snapshot_checked_ = false;
  snapshot_append_ = shared_.next_id();
  ++shared_.totals.log_appends;
  shared_.add_action(
      append_log{snapshot_append_, snapshot_stream, shared_.configuration.snapshot()});
}

void distributor::on_log_appended(const log_appended& result) {
  if (snapshot_append_ == 0 || result.request != snapshot_append_) {
    return;
  }
  snapshot_append_ = 0;
  snapshot_due_since_ = shared_.now; // waits its rank again if the append failed
  if (result.result == append_result::appended) {
    ++shared_.totals.snapshots_written;
    last_snapshot_ = shared_.configuration.version();
    last_snapshot_at_ = shared_.now;
    shared_.write(
        severity::info, "snapshot_written",
        {{"version", std::to_string(last_snapshot_)}, {"offset", std::to_string(result.offset)}});
  }
}

} // namespace arbutuslb::core::engine
