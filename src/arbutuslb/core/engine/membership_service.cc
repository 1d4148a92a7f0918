#include "arbutuslb/core/engine/membership_service.h"

#include "arbutuslb/core/base/object_reader.h"

#include <algorithm>
#include <limits>

namespace arbutuslb::core::engine {

using membership::direct_probe;
using membership::indirect_probe;
using membership::member;
using membership::member_status;
using membership::probe_step;
using membership::status_change;

std::string serialize_announcement(const member& value) {
  const json out = {{"name", value.name},
                    {"host", value.address.host},
                    {"datagram_port", value.address.datagram_port},
                    {"stream_port", value.address.stream_port},
                    {"domain", value.domain},
                    {"life", value.incarnation_number.value}};
  return out.dump();
}

member parse_announcement(std::string_view bytes) {
  const json document = parse_json_with_comments(bytes);
  finding_list findings;
  object_reader reader(document, "", findings);
  member value;
  value.name = reader.required_string("name");
  value.address.host = reader.required_string("host");
  value.address.datagram_port =
      static_cast<std::uint16_t>(reader.required_integer("datagram_port", 1, 65535));
  value.address.stream_port =
      static_cast<std::uint16_t>(reader.required_integer("stream_port", 1, 65535));
  value.domain = reader.required_string("domain");
  value.incarnation_number.value = static_cast<std::uint64_t>(
      reader.required_integer("life", 0, std::numeric_limits<std::int64_t>::max()));
  reader.finish();
  findings.throw_if_any();
  return value;
}

membership_service::membership_service(context& shared)
    : shared_(shared), detector_(shared.self.id), tokens_refilled_at_(shared.now) {
  next_join_ = shared_.now + shared_.random.jitter(first_join_jitter);
  next_summary_ = shared_.now + shared_.random.jitter(summary_period);
  next_announcement_ = shared_.now + shared_.random.jitter(summary_period);
}

void membership_service::on_tick() {
  join_if_no_peers();
  run_probes();
  exchange_summaries();
  compare_if_different();
  announce();
  if (shared_.now >= next_dead_removal_) {
    next_dead_removal_ = shared_.now + std::chrono::minutes{1};
    shared_.members.remove_expired_dead(shared_.now);
  }
}

void membership_service::on_message(const protocol::message& value) {
  shared_.record_contact(value.sender.domain, shared_.now);
  if (value.sender.domain == shared_.settings.domain) {
    for (const protocol::domain_contact_age& contact : value.sender_digest.domains) {
      shared_.record_contact(contact);
    }
  }
  shared_.merge_update(value.sender);
  for (const member& update : value.updates) {
    shared_.merge_update(update);
  }
  refute_if_misreported();
  if (value.sender_digest.fleet_hash != shared_.members.fleet_hash()) {
    differing_peer_ = value.sender.address;
  }
}

// Raises this daemon's incarnation number if the table, after a merge, holds a different status or
// address of it, or a higher incarnation number.
void membership_service::refute_if_misreported() {
  const member* recorded = shared_.members.find(shared_.self.id);
  if (recorded->incarnation_number == shared_.self.incarnation_number &&
      recorded->status == shared_.self.status && recorded->address == shared_.self.address) {
    return;
  }
  if (recorded->incarnation_number < shared_.self.incarnation_number) {
    return;
  }
  shared_.update_self(shared_.self.status, incarnation{recorded->incarnation_number.value + 1});
}

// --- joining ---

void membership_service::join_if_no_peers() {
  if (shared_.now < next_join_ || !shared_.domain_peers().empty()) {
    return;
  }
  join_backoff_ = std::min<duration>(join_backoff_ * 2, max_join_backoff);
  next_join_ = shared_.now + join_backoff_ / 2 + shared_.random.jitter(join_backoff_);
  std::vector<peer_address> targets = shared_.settings.seeds;
  targets.insert(targets.end(), announced_addresses_.begin(), announced_addresses_.end());
  std::erase(targets, shared_.self.address);
  for (const peer_address& target : shared_.random.sample(targets, join_request_fanout)) {
    shared_.send_to(target, protocol::membership_request{}, channel::stream);
  }
  read_announcements();
}

void membership_service::read_announcements() {
  announcement_read_request_ = shared_.next_id();
  ++shared_.totals.log_reads;
  shared_.add_action(read_log{announcement_read_request_, announcement_stream, 0, duration{}});
}

void membership_service::on_log_read(const log_read& result) {
  if (result.request != announcement_read_request_ || result.failed) {
    return;
  }
  announcement_read_request_ = 0;
  announced_addresses_.clear();
  for (const std::string& record : result.records) {
    try {
      announced_addresses_.push_back(parse_announcement(record).address);
    } catch (const findings_error& error) {
      shared_.write(severity::warning, "announcement_malformed", {{"findings", error.what()}});
    }
  }
  if (announced_addresses_.size() > max_announcements) {
    announced_addresses_.erase(announced_addresses_.begin(),
                               announced_addresses_.end() - max_announcements);
  }
}

// Appends this daemon's address to the log once after the start, so that daemons without a
// reachable peer can find it. Only the members with the announcer role repeat it.
void membership_service::announce() {
  if (shared_.now < next_announcement_ || shared_.is_stopping) {
    return;
  }
  const bool is_first =
      next_announcement_ - shared_.now < announcement_interval && shared_.totals.log_appends == 0;
  next_announcement_ = shared_.now + announcement_interval;
  const std::vector<member_id> holders =
      shared_.role_holders("announce", representatives_per_domain);
  const bool is_announcer =
      std::find(holders.begin(), holders.end(), shared_.self.id) != holders.end();
  if (!is_first && !is_announcer) {
    return;
  }
  ++shared_.totals.log_appends;
  shared_.add_action(
      append_log{shared_.next_id(), announcement_stream, serialize_announcement(shared_.self)});
}

// The number of listed members is limited, so that many processes that start at once do not
// overload the daemons that they ask.
void membership_service::handle(const protocol::message& from,
                                const protocol::membership_request&) {
  protocol::membership_entries answer;
  answer.domain = from.sender.domain;
  const std::size_t count =
      take_answer_token() ? entries_per_join_answer : entries_per_limited_join_answer;
  std::vector<member_id> ids =
      shared_.random.sample(shared_.members.present_members_of(from.sender.domain), count);
  if (ids.size() < count) {
    const std::vector<member_id> others =
        shared_.random.sample(shared_.members.present(), count - ids.size());
    ids.insert(ids.end(), others.begin(), others.end());
  }
  for (const member_id id : ids) {
    answer.entries.push_back(*shared_.members.find(id));
  }
  shared_.send_to(from.sender.address, std::move(answer), channel::stream);
}

// --- probing ---

void membership_service::run_probes() {
  const std::vector<member_id> peers = shared_.domain_peers();
  for (const probe_step& step :
       detector_.advance(shared_.members, peers, shared_.now, shared_.random)) {
    if (const direct_probe* direct = std::get_if<direct_probe>(&step)) {
      shared_.send(direct->target, protocol::ping{direct->sequence, {}}, channel::datagram);
    } else if (const indirect_probe* indirect = std::get_if<indirect_probe>(&step)) {
      shared_.send(indirect->helper, protocol::ping_request{indirect->sequence, indirect->target},
                   channel::datagram);
    } else if (const status_change* change = std::get_if<status_change>(&step)) {
      member changed = *shared_.members.find(change->target);
      changed.status = change->status;
      shared_.merge_update(changed);
      shared_.write(severity::warning, "member_status",
                    {{"member", changed.name}, {"status", membership::to_string(changed.status)}});
    }
  }
}

void membership_service::handle(const protocol::message& from, const protocol::ping& value) {
  shared_.send_to(from.sender.address, protocol::ack{value.sequence, value.requester},
                  channel::datagram);
}

void membership_service::handle(const protocol::message& from,
                                const protocol::ping_request& value) {
  shared_.send(value.target, protocol::ping{value.sequence, from.sender.id}, channel::datagram);
}

void membership_service::handle(const protocol::message&, const protocol::ack& value) {
  if (value.requester == member_id{} || value.requester == shared_.self.id) {
    detector_.on_ack(value.sequence);
  } else {
    shared_.send(value.requester, protocol::ack{value.sequence, value.requester},
                 channel::datagram);
  }
}

// --- comparing ---

protocol::domain_summary membership_service::summary_of_domains() const {
  protocol::domain_summary summary;
  for (const std::string& domain : shared_.members.domains()) {
    summary.domains.push_back({domain, shared_.members.domain_hash(domain)});
  }
  return summary;
}

void membership_service::exchange_summaries() {
  if (shared_.now < next_summary_) {
    return;
  }
  next_summary_ = shared_.now + summary_period;
  const std::vector<member_id> representatives =
      shared_.role_holders("speaker", representatives_per_domain);
  if (std::find(representatives.begin(), representatives.end(), shared_.self.id) ==
      representatives.end()) {
    return;
  }
  const protocol::domain_summary summary = summary_of_domains();
  for (const std::string& domain : shared_.members.domains()) {
    const std::vector<member_id> present = shared_.members.present_members_of(domain);
    if (domain != shared_.settings.domain && !present.empty()) {
      shared_.send(present[shared_.random.below(present.size())], summary, channel::datagram);
    }
  }
}

// Compares one of the domains whose hashes differ: the local domain if it does, else a random one.
void membership_service::handle(const protocol::message& from,
                                const protocol::domain_summary& value) {
  std::map<std::string, std::uint64_t> peer_hashes;
  for (const protocol::domain_summary::item& item : value.domains) {
    peer_hashes[item.domain] = item.hash;
  }
  for (const std::string& domain : shared_.members.domains()) {
    peer_hashes.try_emplace(domain, 0);
  }
  std::vector<std::string> differing;
  for (const auto& [domain, hash] : peer_hashes) {
    if (hash != shared_.members.domain_hash(domain)) {
      differing.push_back(domain);
    }
  }
  if (differing.empty()) {
    return;
  }
  const bool includes_local =
      std::find(differing.begin(), differing.end(), shared_.settings.domain) != differing.end();
  compare_with(from.sender.address, includes_local
                                        ? shared_.settings.domain
                                        : differing[shared_.random.below(differing.size())]);
}

void membership_service::compare_if_different() {
  if (!differing_peer_ || shared_.now < next_compare_) {
    return;
  }
  next_compare_ = shared_.now + compare_period / 2 + shared_.random.jitter(compare_period);
  shared_.send_to(*differing_peer_, summary_of_domains(), channel::datagram);
  differing_peer_.reset();
}

void membership_service::compare_with(const peer_address& to, const std::string& domain) {
  shared_.send_to(to,
                  protocol::membership_compare{domain, shared_.members.bucket_hashes_of(domain)},
                  channel::stream);
}

bool membership_service::take_answer_token() {
  const double elapsed = std::chrono::duration<double>(shared_.now - tokens_refilled_at_).count();
  tokens_refilled_at_ = shared_.now;
  answer_tokens_ = std::min(answer_burst, answer_tokens_ + elapsed * answers_per_second);
  if (answer_tokens_ < 1.0) {
    return false;
  }
  answer_tokens_ -= 1.0;
  return true;
}

void membership_service::handle(const protocol::message& from,
                                const protocol::membership_compare& value) {
  if (!take_answer_token()) {
    return;
  }
  protocol::membership_entries answer;
  answer.domain = value.domain;
  answer.entries = shared_.random.sample(
      shared_.members.members_in_differing_buckets(value.domain, value.buckets),
      entries_per_answer);
  answer.reply_requested = true;
  answer.buckets = shared_.members.bucket_hashes_of(value.domain);
  shared_.send_to(from.sender.address, std::move(answer), channel::stream);
}

void membership_service::handle(const protocol::message& from,
                                const protocol::membership_entries& value) {
  protocol::membership_entries answer;
  answer.domain = value.domain;
  if (value.reply_requested && take_answer_token()) {
    answer.entries = shared_.random.sample(
        shared_.members.members_in_differing_buckets(value.domain, value.buckets),
        entries_per_answer);
  }
  // Large differences are resolved by further comparisons, not by gossiping single updates.
  const bool should_gossip = value.entries.size() <= max_gossiped_entries;
  for (const member& entry : value.entries) {
    shared_.merge_update(entry, should_gossip);
  }
  refute_if_misreported();
  if (!answer.entries.empty()) {
    shared_.send_to(from.sender.address, std::move(answer), channel::stream);
  }
}

// --- leaving ---

void membership_service::leave() {
  shared_.update_self(member_status::leaving, shared_.self.incarnation_number);
  for (const member_id id : shared_.random_domain_peers(leave_fanout)) {
    shared_.send(id, protocol::ping{0, {}}, channel::datagram);
  }
  const std::vector<member_id> present = shared_.members.present();
  for (const member_id id : shared_.random.sample(present, leave_fanout)) {
    shared_.send(id, protocol::ping{0, {}}, channel::datagram);
  }
}

} // namespace arbutuslb::core::engine
