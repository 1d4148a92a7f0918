// State shared by the parts of one daemon: its identity, its view of members and configuration, the
// current time, and the actions collected for the current event.
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/core/config/configuration.h"
#include "arbutuslb/core/engine/actions.h"
#include "arbutuslb/core/membership/member_table.h"
#include "arbutuslb/core/membership/rumor_queue.h"

#include <optional>
#include <set>

namespace arbutuslb::core::engine {

// Streams of the log.
inline constexpr const char* config_stream = "config";
inline constexpr const char* snapshot_stream = "snapshots";
inline constexpr const char* announcement_stream = "announcements";

// Number of peers to which a new update is sent immediately.
inline constexpr std::size_t push_fanout = 4;
// A domain counts as unreachable if no member of the local domain has received a message from it
// for this long.
inline constexpr std::chrono::seconds unreachable_timeout{8};
// Maximum number of membership updates in one probe message.
inline constexpr std::size_t updates_per_message = 8;

struct core_settings {
  std::string instance; // the instance's name
  std::string domain;   // its failure domain
  peer_address address;
  std::string service;             // service of the local upstream
  std::string version;             // version of the local upstream
  std::vector<peer_address> seeds; // daemons to contact first
  // Longest time between two snapshots of the state in the log's snapshot stream.
  duration snapshot_interval = std::chrono::minutes{10};
};

// Counters since the start of the process.
struct statistics {
  std::uint64_t calls_answered = 0;
  std::uint64_t calls_not_executed = 0;
  std::uint64_t calls_unknown = 0;
  std::uint64_t retries = 0;
  std::uint64_t runs = 0;         // requests sent to the local upstream
  std::uint64_t runs_refused = 0; // requests for the local upstream that were refused unsent
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

  // Sends to a member. Does nothing if the member is unknown or is this daemon.
  void send(member_id to, protocol::message_body body, channel via);
  void send_to(const peer_address& to, protocol::message_body body, channel via);
  void add_action(action value) { actions.push_back(std::move(value)); }
  void write(severity level, std::string name,
             std::vector<std::pair<std::string, std::string>> fields = {});

  // Merges an update into the member table. Returns true if it changed the table; such an update is
  // also queued for gossip if `pass_on` is true.
  bool merge_update(const membership::member& update, bool pass_on = true);
  // Sets the status and incarnation number of this daemon and queues the change for gossip.
  void update_self(membership::member_status status, incarnation incarnation_number);

  // Returns the present members of the local domain except this daemon, in order of id. The result
  // is cached until the member table changes.
  const std::vector<member_id>& domain_peers();
  // Returns the hash by which the members of a domain are ranked for a role.
  static std::uint64_t role_hash(const std::string& role, const std::string& domain);
  // Returns the members of the local domain with the highest rendezvous weights for the role. This
  // daemon is a candidate unless it is stopping.
  std::vector<member_id> role_holders(const std::string& role, std::size_t count);
  // Like `role_holders`, but over the present members of all domains; this daemon is a candidate
  // even while it is stopping.
  std::vector<member_id> fleet_role_holders(const std::string& role, std::size_t count);
  std::vector<member_id> random_domain_peers(std::size_t count);

  // Records the time of a contact with the domain: one of this daemon, or one that a peer of the
  // local domain reports. Has no effect if a later contact is recorded.
  void record_contact(const std::string& domain, time_point at);
  void record_contact(const protocol::domain_contact_age& reported);
  // Returns the time of the last recorded contact with the domain, or nothing if there was none.
  std::optional<time_point> last_contact_time(const std::string& domain) const;
  // Returns the other domains whose last contact is longer ago than `unreachable_timeout`. A domain
  // that was never contacted is not among them.
  std::set<std::string> unreachable_domains() const;

  // Returns a number that is unique within this process; never 0.
  std::uint64_t next_id() { return ++last_number_; }
  // Returns the digest of this daemon's state. The contact ages of the domains are left empty.
  protocol::digest local_digest() const;

  const core_settings settings;
  membership::member self;
  membership::member_table members;
  membership::rumor_queue rumors;
  config::configuration configuration;
  random_source random;
  time_point now;
  // When this daemon was last known to have applied all records of the log; zero if never.
  time_point log_confirmed_at;
  std::vector<action> actions;
  statistics totals;
  bool is_stopping = false;
  // True once the configuration is as recent as the reachable peers and the log can provide.
  bool is_ready = false;
  // True if the log must be read at once, even if this daemon does not hold the reader role.
  bool log_read_requested = false;

private:
  std::uint64_t last_number_ = 0;
  std::map<std::uint32_t, time_point> last_contacts_; // by the hash of the domain's name
  std::uint64_t peers_generation_ = 0; // generation of the member table that `peers_` reflects
  std::vector<member_id> peers_;       // cached result of `domain_peers`
};

} // namespace arbutuslb::core::engine
