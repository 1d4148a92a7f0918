// What the parts of one daemon share: who it is, what it knows, the time, and the actions so far.
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/core/config/configuration.h"
#include "arbutuslb/core/engine/actions.h"
#include "arbutuslb/core/membership/member_table.h"
#include "arbutuslb/core/membership/rumor_queue.h"

#include <optional>
#include <set>

namespace arbutuslb::core::engine {

inline constexpr const char* config_stream = "config";
inline constexpr const char* snapshot_stream = "snapshots";
inline constexpr const char* announcement_stream = "announcements";

// Peers that a new piece of knowledge is passed to at once.
inline constexpr std::size_t push_fanout = 4;
// A domain counts as unreachable when nobody in the own domain has heard of it for this long.
inline constexpr std::chrono::seconds unreachable_after{8};
// Membership updates carried by one message.
inline constexpr std::size_t updates_per_message = 8;

struct core_settings {
  std::string instance; // the instance's name
  std::string domain;   // its failure domain
  peer_address address;
  std::string service; // of the upstream beside the daemon
  std::string version; // of the upstream beside the daemon
  std::vector<peer_address> seeds;
  // How often the state is written to the log's snapshot stream at least.
  duration snapshot_interval = std::chrono::minutes{10};
};

// Totals since the start of the process.
struct statistics {
  std::uint64_t calls_answered = 0;
  std::uint64_t calls_not_executed = 0;
  std::uint64_t calls_unknown = 0;
  std::uint64_t retries = 0;
  std::uint64_t runs = 0;         // requests given to the upstream
  std::uint64_t runs_refused = 0; // requests refused beside the upstream
  std::uint64_t upstream_deaths = 0;
  std::uint64_t poison_refusals = 0;
  std::uint64_t records_applied = 0;
  std::uint64_t records_malformed = 0;
  std::uint64_t state_mismatches = 0;
  std::uint64_t log_reads = 0;
  std::uint64_t log_appends = 0;
  std::uint64_t snapshots_written = 0;
  std::uint64_t pulls_served = 0;
  std::uint64_t pulls_refused = 0;
  std::uint64_t messages_sent = 0;
};

class context {
public:
  context(core_settings settings, std::uint64_t seed, time_point start);

  // Sends to a known member; does nothing if it is unknown or this daemon itself.
  void send(member_id to, protocol::message_body body, channel via);
  void send_to(const peer_address& to, protocol::message_body body, channel via);
  void add_action(action value) { actions.push_back(std::move(value)); }
  void write(severity level, std::string name,
             std::vector<std::pair<std::string, std::string>> fields = {});

  // Merges an update; if it is news, passes it on unless told otherwise. Returns true if it was.
  bool merge_update(const membership::member& update, bool pass_on = true);
  // Gives the own member a new status or a higher life, and spreads it.
  void update_self(membership::member_status status, incarnation incarnation_number);

  // The present members of the own domain without this daemon, in order of id. Cached.
  const std::vector<member_id>& domain_peers();
  // The hash under which the members of a domain are ranked for a duty.
  static std::uint64_t role_hash(const std::string& role, const std::string& domain);
  // The own domain's members with the highest weights for the duty, this daemon included.
  std::vector<member_id> role_holders(const std::string& role, std::size_t count);
  // The same over the members of all domains.
  std::vector<member_id> fleet_role_holders(const std::string& role, std::size_t count);
  std::vector<member_id> random_domain_peers(std::size_t count);

  // Something was heard from the domain at that time, here or by a peer of the own domain.
  void record_contact(const std::string& domain, time_point at);
  void record_contact(const protocol::domain_contact_age& heard);
  // When anything was last heard from the domain; nothing if never.
  std::optional<time_point> last_contact(const std::string& domain) const;
  // The domains that nothing has been heard of for `unreachable_after`.
  std::set<std::string> unreachable_domains() const;

  std::uint64_t next_id() { return ++last_number_; }
  protocol::digest local_digest() const;

  const core_settings settings;
  membership::member self;
  membership::member_table members;
  membership::rumor_queue rumors;
  config::configuration configuration;
  random_source random;
  time_point now;
  time_point log_confirmed_at; // when the own version was last known to be the log's end
  std::vector<action> actions;
  statistics totals;
  bool is_stopping = false;
  // Holds a configuration that is as high as its reachable peers and the log allow.
  bool is_ready = false;
  // Reads of the log are wanted at once, whoever has the duty.
  bool log_read_requested = false;

private:
  std::uint64_t last_number_ = 0;
  std::map<std::uint32_t, time_point> last_contact_; // by the hash of the domain's name
  std::uint64_t peers_generation_ = 0;
  std::vector<member_id> peers_;
};

} // namespace arbutuslb::core::engine
