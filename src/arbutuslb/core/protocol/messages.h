// The messages between daemons, as plain values. The runtime's codec encodes them for the wire.
//
// Every message carries its sender and the sender's digest, so that any message tells the receiver
// whether its own state is out of date.
#pragma once

#include "arbutuslb/core/base/time.h"
#include "arbutuslb/core/config/model.h"
#include "arbutuslb/core/membership/member_table.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace arbutuslb::core::protocol {

// The maximum size of a request or response body, in bytes.
inline constexpr std::size_t max_body_bytes = std::size_t{1024} * 1024;
// The maximum size of a message on the stream channel, in bytes.
inline constexpr std::size_t max_stream_message_bytes = std::size_t{4} * 1024 * 1024;
// The maximum size of a message on the datagram channel, in bytes.
inline constexpr std::size_t max_datagram_message_bytes = 1400;

// The time since any member of the sender's domain last received a message from a failure domain.
struct domain_contact_age {
  std::uint32_t domain_hash = 0;
  duration age{};
  friend bool operator==(const domain_contact_age&, const domain_contact_age&) = default;
};

// Summarizes the sender's state, so that the receiver can detect differences.
struct digest {
  config_version version = 0;   // the last version that the sender has applied
  std::uint64_t state_hash = 0; // of the configuration at `version`
  // The time since the sender was last known to have applied all records of the log.
  duration log_confirmed_age{};
  std::uint64_t fleet_hash = 0;            // of the members of all domains
  std::vector<domain_contact_age> domains; // on probes and their acknowledgements; otherwise empty
  friend bool operator==(const digest&, const digest&) = default;
};

struct ping {
  std::uint64_t sequence = 0;
  member_id requester; // of an indirect probe; zero if the sender probes for itself
};
// Asks the receiver to probe `target` on behalf of the sender.
struct ping_request {
  std::uint64_t sequence = 0;
  member_id target;
};
struct ack {
  std::uint64_t sequence = 0; // copied from the ping
  member_id requester;        // copied from the ping
};
// Requests known members, preferably of the sender's domain. Sent by a daemon that has no peers.
struct membership_request {};
// Carries the bucket hashes of one domain; the receiver replies with the members of the buckets
// that differ.
struct membership_compare {
  std::string domain;
  membership::bucket_hashes buckets{};
};
struct membership_entries {
  std::string domain;
  std::vector<membership::member> entries;
  // If true, the receiver replies with its members of the buckets that differ from `buckets`.
  bool reply_requested = false;
  membership::bucket_hashes buckets{};
};
// The member hashes of all domains, exchanged between domains.
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
  config_version from_version = 0; // the version of the first record requested
};
struct config_snapshot {
  std::string bytes;
};
// Rejects a pull because the sender has no capacity to send another snapshot.
struct config_busy {
  duration retry_after{}; // the time to wait before the next pull
};
// Reports the sender's applied version, which is in the digest, to the report collectors of its
// domain, which answer status queries.
struct version_report {};
// Tells the standby readers of the domain that the sender is reading the log.
struct reader_heartbeat {};
// Announces the version in the digest. Sent if its records are too large for a datagram, or if the
// sender has only the snapshot.
struct config_announcement {};

// Asks a report collector which members of its domain have applied `version`.
struct status_query {
  std::uint64_t token = 0;
  config_version version = 0;
};
struct status_reply {
  std::uint64_t token = 0;
  std::string domain;
  std::uint32_t members = 0;                // present in the domain
  std::uint32_t members_at_version = 0;     // members that have applied the queried version
  config_version lowest_version = 0;        // the lowest that a member has applied; 0 if unknown
  std::vector<std::string> lagging_members; // names of members below the queried version; truncated
};

enum class call_outcome : std::uint8_t {
  answered,     // the answer comes from the upstream
  not_executed, // the call was provably not sent to any upstream
  unknown       // the call may have been executed
};

struct call_content {
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  std::string key;         // idempotency key of a non-idempotent call; empty if there is none
  std::uint32_t depth = 0; // the number of calls above this one in the chain of calls
  friend bool operator==(const call_content&, const call_content&) = default;
};
struct call_answer {
  int status = 0;
  std::string content_type;
  std::string body;
  friend bool operator==(const call_answer&, const call_answer&) = default;
};
// The load of an upstream, sent by its daemon with each `call_reply`.
struct load_report {
  double limit = 0;            // the number of concurrent requests that the upstream sustains
  std::uint32_t in_flight = 0; // requests in execution
  std::uint32_t queued = 0;    // requests that wait for execution
};

// Asks the daemon of an upstream to execute one attempt of a call.
struct call_request {
  call_id id;
  incarnation target_epoch; // the epoch of the daemon process that may execute the call
  std::string service;
  std::string route;
  std::string version;
  config::request_class priority = config::request_class::normal;
  bool idempotent = true;
  duration remaining{};          // until the caller's deadline
  std::uint64_t fingerprint = 0; // of service and content; identifies requests that crash upstreams
  call_content content;
};
struct call_reply {
  call_id id;
  call_outcome outcome = call_outcome::unknown;
  bool upstream_died = false; // the upstream exited while it executed the call
  std::string reason;         // why the call was not answered
  call_answer answer;
  load_report load;
};
struct call_cancel {
  call_id id;
};
// Forwards a non-idempotent call to the daemon that owns its idempotency key.
struct keyed_request {
  std::uint64_t token = 0; // copied to the reply
  duration remaining{};    // until the caller's deadline
  call_content content;
};
struct keyed_reply {
  std::uint64_t token = 0;
  call_outcome outcome = call_outcome::unknown;
  std::string reason;
  call_answer answer;
};

// Counts of the calls that one upstream executed for one route at one traffic share of a move.
struct evidence_cell {
  static constexpr std::size_t bucket_count = 24;
  std::string route;
  int share_permille = 0;
  std::uint64_t calls = 0;
  std::uint64_t errors = 0;
  // Calls that took, or have been taking, much longer than the route's target latency.
  std::uint64_t late = 0;
  std::uint64_t deaths = 0; // exits of the upstream while it executed such calls
  std::array<std::uint64_t, bucket_count> latency{}; // calls by latency bucket
  friend bool operator==(const evidence_cell&, const evidence_cell&) = default;
};
// An upstream's results during a move. The cells are totals since the start of the move; a later
// report of the same process replaces an earlier one cell by cell.
struct evidence_report {
  config_version move_id = 0;
  std::string version;
  std::vector<evidence_cell> cells;
  double limit = 0; // the number of concurrent requests that the upstream sustains
  double mean_in_flight = 0;
};
// Stops traffic to the new version of a move before the verdict is in the log.
struct brake {
  config_version move_id = 0;
  std::string reason;
};
// Asks a judge for the status of a move.
struct explain_query {
  std::uint64_t token = 0;
  config_version move_id = 0;
};
struct explain_reply {
  std::uint64_t token = 0;
  std::string text;
};
// Reports how many exits of upstreams are attributed to requests with `fingerprint`.
struct poison_report {
  std::uint64_t fingerprint = 0;
  std::uint32_t deaths = 0; // 0: the requests are no longer suspected
};

using message_body =
    std::variant<ping, ping_request, ack, membership_request, membership_compare,
                 membership_entries, domain_summary, config_push, config_pull, config_snapshot,
                 config_busy, version_report, reader_heartbeat, config_announcement, status_query,
                 status_reply, call_request, call_reply, call_cancel, keyed_request, keyed_reply,
                 evidence_report, brake, explain_query, explain_reply, poison_report>;

struct message {
  membership::member sender;
  digest sender_digest;                    // summary of the sender's state
  std::vector<membership::member> updates; // to merge; on probes and their acknowledgements only
  message_body body;
};

} // namespace arbutuslb::core::protocol
