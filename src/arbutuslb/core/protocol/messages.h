// The messages between daemons, as plain values. The runtime's codec puts them on the wire.
//
// Every message carries its sender and the sender's digest, so that any message lets a daemon that
// is behind find out that it is.
#pragma once

#include "arbutuslb/core/base/time.h"
#include "arbutuslb/core/config/model.h"
#include "arbutuslb/core/membership/member_table.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace arbutuslb::core::protocol {

// The longest body of a call or an answer, in bytes.
inline constexpr std::size_t max_body_bytes = std::size_t{1024} * 1024;
// The longest message on the stream channel, in bytes.
inline constexpr std::size_t max_stream_message_bytes = std::size_t{4} * 1024 * 1024;
// The longest message on the datagram channel, in bytes.
inline constexpr std::size_t max_datagram_message_bytes = 1400;

// How long ago anything was heard from a failure domain, by any member of the sender's domain.
struct domain_contact_age {
  std::uint32_t domain_hash = 0;
  duration age{};
  friend bool operator==(const domain_contact_age&, const domain_contact_age&) = default;
};

// What the sender holds.
struct digest {
  config_version version = 0;
  std::uint64_t state_hash = 0;
  // How long ago the sender's knowledge was known to be the end of the log.
  duration log_confirmed_age{};
  std::uint64_t fleet_hash = 0;            // of the members of all domains
  std::vector<domain_contact_age> domains; // on probes only
  friend bool operator==(const digest&, const digest&) = default;
};

struct ping {
  std::uint64_t sequence = 0;
  member_id requester; // who asked for an indirect probe; zero if the sender itself probes
};
struct ping_request {
  std::uint64_t sequence = 0;
  member_id target;
};
struct ack {
  std::uint64_t sequence = 0;
  member_id requester;
};
// Asks for the members of every domain.
struct membership_request {};
// Offers the bucket hashes of one domain; the receiver answers with the members that differ.
struct membership_compare {
  std::string domain;
  membership::bucket_hashes buckets{};
};
struct membership_entries {
  std::string domain;
  std::vector<membership::member> entries;
  bool reply_requested = false; // with `buckets`: the sender asks for what differs in return
  membership::bucket_hashes buckets{};
};
// Hashes of all domains, exchanged between domains.
struct domain_summary {
  struct item {
    std::string domain;
    std::uint64_t hash = 0;
    friend bool operator==(const item&, const item&) = default;
  };
  std::vector<item> domains;
};

struct config_push {
  config_version first_version = 0;
  std::vector<std::string> records;
};
struct config_pull {
  config_version from_version = 0; // the first record wanted
};
struct config_snapshot {
  std::string bytes;
};
// The peer has no capacity for a bootstrap now.
struct config_busy {
  duration retry_after{};
};
// Only the digest matters: the sender's applied version, to the reporters of its domain.
struct version_report {};
// Only the digest matters: a reader tells its substitutes that it reads.
struct reader_heartbeat {};
// Only the digest matters: the sender holds a version too large for a datagram.
struct config_announcement {};

struct status_query {
  std::uint64_t token = 0;
  config_version version = 0;
};
struct status_reply {
  std::uint64_t token = 0;
  std::string domain;
  std::uint32_t members = 0;
  std::uint32_t members_at_version = 0;
  config_version lowest_version = 0;
  std::vector<std::string> lagging_members; // names, at most a few
};

enum class call_outcome : std::uint8_t {
  answered,     // the upstream's own answer
  not_executed, // provably not given to any upstream
  unknown       // may have run
};

struct call_content {
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  std::string key;         // of a non-idempotent call; empty if the caller gave none
  std::uint32_t depth = 0; // calls above this one
  friend bool operator==(const call_content&, const call_content&) = default;
};
struct call_answer {
  int status = 0;
  std::string content_type;
  std::string body;
  friend bool operator==(const call_answer&, const call_answer&) = default;
};
// What an upstream's daemon can take, carried by its replies.
struct load_report {
  double limit = 0; // requests at once
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
};

struct call_request {
  call_id id;
  incarnation target_epoch; // of the process that is to run it
  std::string service;
  std::string route;
  std::string version;
  config::request_class priority = config::request_class::normal;
  bool idempotent = true;
  duration remaining{}; // until the caller's deadline
  std::uint64_t fingerprint = 0;
  call_content content;
};
struct call_reply {
  call_id id;
  call_outcome outcome = call_outcome::unknown;
  bool upstream_died = false;
  std::string reason;
  call_answer answer;
  load_report load;
};
struct call_cancel {
  call_id id;
};
// A non-idempotent call on its way to the daemon that its key names.
struct keyed_request {
  std::uint64_t token = 0;
  duration remaining{};
  call_content content;
};
struct keyed_reply {
  std::uint64_t token = 0;
  call_outcome outcome = call_outcome::unknown;
  std::string reason;
  call_answer answer;
};

// Counts of the calls that one upstream ran for one route at one share of a move.
struct evidence_cell {
  static constexpr std::size_t bucket_count = 24;
  std::string route;
  int share_permille = 0;
  std::uint64_t calls = 0;
  std::uint64_t errors = 0;
  std::uint64_t deaths = 0; // of the upstream while it ran such calls
  std::array<std::uint64_t, bucket_count> latency{};
  friend bool operator==(const evidence_cell&, const evidence_cell&) = default;
};
// Totals since the start of the move; later reports of the same process replace earlier ones, cell
// by cell.
struct evidence_report {
  config_version move_id = 0;
  std::string version;
  std::vector<evidence_cell> cells;
  double limit = 0;
  double mean_in_flight = 0;
};
// Stop sending to the new version before the verdict is in the log.
struct brake {
  config_version move_id = 0;
  std::string reason;
};
// Asks a judge where a move stands.
struct explain_query {
  std::uint64_t token = 0;
  config_version move_id = 0;
};
struct explain_reply {
  std::uint64_t token = 0;
  std::string text;
};
struct poison_report {
  std::uint64_t fingerprint = 0;
  std::uint32_t deaths = 0; // 0: cleared
};

using message_body =
    std::variant<ping, ping_request, ack, membership_request, membership_compare,
                 membership_entries, domain_summary, config_push, config_pull, config_snapshot,
                 config_busy, version_report, reader_heartbeat, config_announcement, status_query,
                 status_reply, call_request, call_reply, call_cancel, keyed_request, keyed_reply,
                 evidence_report, brake, explain_query, explain_reply, poison_report>;

struct message {
  membership::member sender;
  digest sender_digest;
  std::vector<membership::member> updates;
  message_body body;
};

} // namespace arbutuslb::core::protocol
