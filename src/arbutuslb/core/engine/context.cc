#include "arbutuslb/core/engine/context.h"

#include "arbutuslb/core/base/hash.h"

namespace arbutuslb::core::engine {

using membership::member;
using membership::member_status;

namespace {

// Random low bits distinguish processes that start within the same millisecond.
constexpr int epoch_random_bits = 20;

} // namespace

context::context(core_settings initial_settings, std::uint64_t seed, time_point start)
    : settings(std::move(initial_settings)), random(seed), now(start) {
  self.id = member_id_of(settings.instance);
  self.name = settings.instance;
  self.address = settings.address;
  self.domain = settings.domain;
  self.service = settings.service;
  self.version = settings.version;
  const std::uint64_t started_ms = static_cast<std::uint64_t>(to_epoch_milliseconds(start));
  self.incarnation_number = incarnation{started_ms};
  self.process_epoch =
      incarnation{(started_ms << epoch_random_bits) | random.below(1 << epoch_random_bits)};
  merge_update(self);
}

protocol::digest context::local_digest() const {
  return {configuration.version(),
          configuration.state_hash(),
          now - log_confirmed_at,
          members.fleet_hash(),
          {}};
}

namespace {

std::uint32_t domain_hash(const std::string& domain) {
  return static_cast<std::uint32_t>(hash_bytes(domain));
}

bool is_probe(const protocol::message_body& body) {
  return std::holds_alternative<protocol::ping>(body) ||
         std::holds_alternative<protocol::ack>(body);
}

} // namespace

void context::record_contact(const std::string& domain, time_point at) {
  time_point& last_contact = last_contacts_[domain_hash(domain)];
  last_contact = std::max(last_contact, at);
}

void context::record_contact(const protocol::domain_contact_age& reported) {
  time_point& last_contact = last_contacts_[reported.domain_hash];
  last_contact = std::max(last_contact, now - reported.age);
}

std::optional<time_point> context::last_contact_time(const std::string& domain) const {
  const std::map<std::uint32_t, time_point>::const_iterator found =
      last_contacts_.find(domain_hash(domain));
  if (found == last_contacts_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::set<std::string> context::unreachable_domains() const {
  std::set<std::string> names;
  for (const std::string& domain : members.domains()) {
    const std::optional<time_point> last_contact = last_contact_time(domain);
    if (domain != settings.domain && last_contact && now - *last_contact > unreachable_timeout) {
      names.insert(domain);
    }
  }
  return names;
}

void context::send(member_id to, protocol::message_body body, channel via) {
  const member* target = members.find(to);
  if (target != nullptr && to != self.id) {
    send_to(target->address, std::move(body), via);
  }
}

void context::send_to(const peer_address& to, protocol::message_body body, channel via) {
  protocol::message value;
  value.sender = self;
  value.sender_digest = local_digest();
  if (is_probe(body)) {
    for (const auto& [domain, at] : last_contacts_) {
      value.sender_digest.domains.push_back({domain, now - at});
    }
  }
  if (is_probe(body)) {
    value.updates = rumors.take(updates_per_message, members.size());
  }
  value.body = std::move(body);
  ++totals.messages_sent;
  add_action(send_message{to, std::move(value), via});
}

void context::write(severity level, std::string name,
                    std::vector<std::pair<std::string, std::string>> fields) {
  add_action(write_event{level, std::move(name), std::move(fields)});
}

bool context::merge_update(const member& update, bool pass_on) {
  if (!members.merge(update, now)) {
    return false;
  }
  if (pass_on) {
    rumors.add(update);
  }
  return true;
}

void context::update_self(member_status status, incarnation incarnation_number) {
  self.status = status;
  self.incarnation_number = incarnation_number;
  merge_update(self);
}

const std::vector<member_id>& context::domain_peers() {
  if (peers_generation_ != members.generation()) {
    peers_generation_ = members.generation();
    peers_ = members.present_members_of(settings.domain);
    std::erase(peers_, self.id);
  }
  return peers_;
}

std::uint64_t context::role_hash(const std::string& role, const std::string& domain) {
  return hash_bytes(role + "/" + domain);
}

std::vector<member_id> context::role_holders(const std::string& role, std::size_t count) {
  std::vector<member_id> candidates = domain_peers();
  if (!is_stopping) {
    candidates.push_back(self.id);
  }
  return membership::highest_ranked(role_hash(role, settings.domain), candidates, count);
}

std::vector<member_id> context::fleet_role_holders(const std::string& role, std::size_t count) {
  return membership::highest_ranked(hash_bytes(role), members.present(), count);
}

std::vector<member_id> context::random_domain_peers(std::size_t count) {
  return random.sample(domain_peers(), count);
}

} // namespace arbutuslb::core::engine
