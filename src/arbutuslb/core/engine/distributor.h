// Distributes the configuration: reads records from the log and exchanges them with peers.
//
// Two members of each failure domain read the log; standby readers take over when the heartbeats of
// these readers stop. New records are pushed to random peers, which push them on. Every message
// carries the sender's digest, so a daemon that is behind detects it and pulls the missing records.
// Records are applied in the order of their versions without gaps; a snapshot is applied only if
// its version is higher.
#pragma once

#include "arbutuslb/core/engine/context.h"
#include "arbutuslb/core/engine/events.h"

#include <deque>
#include <optional>

namespace arbutuslb::core::engine {

inline constexpr std::size_t readers_per_domain = 2;
inline constexpr std::size_t max_standby_readers = 3;
inline constexpr std::chrono::milliseconds log_poll_wait{400};
inline constexpr std::chrono::milliseconds log_read_timeout{2000};
inline constexpr std::chrono::milliseconds reader_heartbeat_period{450};
// A standby reader starts to read after this long without a reader's heartbeat. The time grows with
// its rank, so that the standby readers do not all start at once.
inline constexpr std::chrono::milliseconds standby_timeout{900};
inline constexpr std::chrono::milliseconds standby_timeout_per_rank{200};
inline constexpr std::chrono::milliseconds pull_timeout{300};
inline constexpr std::chrono::milliseconds max_report_jitter{200};
inline constexpr std::chrono::seconds report_refresh_interval{10};
// Number of recent records retained to answer pulls; older ones are served as a snapshot.
inline constexpr std::size_t max_retained_records = 512;
// Size from which no further record is added to the answer to a pull, in bytes.
inline constexpr std::size_t max_push_bytes = std::size_t{128} * 1024;
// Maximum total size of the records pushed in one datagram, in bytes. Larger updates are announced,
// and peers pull them over the stream channel.
inline constexpr std::size_t max_datagram_record_bytes = 900;
// Token bucket for the snapshots that one daemon sends to its peers: refill rate and burst size.
inline constexpr double bootstraps_per_second = 2.0;
inline constexpr double bootstrap_burst = 8.0;
// Number of records after which the state is written to the log's snapshot stream.
inline constexpr config_version records_per_snapshot = 128;
inline constexpr std::size_t snapshot_writers = 3;
// Number of peers whose digests a new process must receive before it becomes ready, unless it has
// read the log to its end. In a domain with fewer peers, their number is sufficient.
inline constexpr std::size_t peer_digests_before_ready = 3;

// Not thread-safe.
class distributor {
public:
  explicit distributor(context& shared);

  void on_tick();
  void on_digest(const protocol::message& from);
  void on_push(const protocol::message& from, const protocol::config_push& push);
  void on_pull(const protocol::message& from, const protocol::config_pull& pull);
  void on_snapshot(const protocol::message& from, const protocol::config_snapshot& snapshot);
  void on_pull_refused(const protocol::message& from, const protocol::config_busy& busy);
  void on_reader_heartbeat();
  void on_log_read(const log_read& result);
  void on_log_appended(const log_appended& result);

  // The latest version report of one member.
  struct member_report {
    incarnation process_epoch;
    config_version version = 0;
    time_point at; // when the report was received
  };
  // Reports of the local domain's members. Complete only if this daemon is a report collector.
  const std::map<member_id, member_report>& version_reports() const noexcept {
    return version_reports_;
  }
  void on_version_report(const protocol::message& from);
  // Returns the members that collect the version reports of the local domain: the readers of the
  // log.
  std::vector<member_id> report_collectors() {
    return shared_.role_holders("reader", readers_per_domain);
  }

private:
  struct outstanding_read {
    std::uint64_t request;
    std::string stream;
    time_point sent;
  };
  struct outstanding_pull {
    member_id target;
    time_point sent;
  };
  struct retained_record {
    config_version offset;
    std::string bytes;
  };

  bool should_read_log();
  void update_readiness();
  void read_if_due();
  void start_read(const std::string& stream, std::uint64_t from, duration wait);
  void on_config_read(const log_read& result);
  void on_snapshot_read(const log_read& result);
  void on_read_failed();
  void send_reader_heartbeats();
  // Applies the records that are newer than the current version, up to the first gap. `first` is
  // the offset of the first record. Returns the number of applied records.
  std::size_t apply_records(config_version first, const std::vector<std::string>& records);
  void on_record_applied(config_version offset, const config::apply_result& result);
  bool apply_snapshot(const std::string& bytes, const std::string& source);
  void push_records(config_version first, member_id except);
  void pull_if_behind();
  void report_version();
  void write_snapshot_if_due();
  void read_stored_snapshot();
  void write_snapshot();

  context& shared_;
  std::deque<retained_record> recent_records_;
  std::optional<outstanding_read> read_;
  time_point next_read_{};
  int failed_reads_ = 0;
  time_point last_heartbeat_;
  time_point next_heartbeat_{};
  duration standby_jitter_{};
  bool needs_snapshot_ = false;

  std::map<member_id, config_version> peers_ahead_; // peers with a higher version
  std::set<member_id> digest_senders_; // peers whose digests were received before readiness
  bool has_read_to_log_end_ = false;
  std::optional<outstanding_pull> pull_;
  time_point next_pull_{};
  double bootstrap_tokens_ = bootstrap_burst;
  time_point tokens_refilled_at_;

  config_version reported_version_ = 0;
  std::vector<member_id> reported_to_;
  time_point next_report_{};
  std::map<member_id, member_report> version_reports_;

  // Version of the newest snapshot known to be in the log. Daemons that are not snapshot writers
  // assume that each snapshot is written when it is due.
  config_version last_snapshot_version_ = 0;
  time_point last_snapshot_at_;
  time_point snapshot_due_since_{};           // zero if no snapshot is due
  std::uint64_t snapshot_append_request_ = 0; // the outstanding append; 0 if none
  std::uint64_t snapshot_next_offset_ = 0;    // of the snapshot stream, at the last read
  bool stored_snapshot_checked_ = false;      // true if read since this daemon's last append
  config_version last_mismatch_version_ = 0;  // for which a mismatch was logged; 0 if none
};

} // namespace arbutuslb::core::engine
