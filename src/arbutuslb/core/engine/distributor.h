// Brings the configuration from the log to this daemon and from it to its peers.
//
// Two members of a domain read the log; substitutes step in when they hear nothing from them. New
// records are pushed along a random tree, and every message's digest lets a daemon that is behind
// pull what it lacks. A version is taken only if it is higher and nothing is missing before it.
#pragma once

#include "arbutuslb/core/engine/context.h"
#include "arbutuslb/core/engine/events.h"

#include <deque>
#include <optional>

namespace arbutuslb::core::engine {

inline constexpr std::size_t readers_per_domain = 2;
inline constexpr std::size_t max_substitute_readers = 3;
inline constexpr std::chrono::milliseconds log_poll_wait{400};
inline constexpr std::chrono::milliseconds log_read_timeout{2000};
inline constexpr std::chrono::milliseconds reader_heartbeat_period{450};
inline constexpr std::chrono::milliseconds substitute_wait{900};
inline constexpr std::chrono::milliseconds substitute_wait_per_rank{200};
inline constexpr std::chrono::milliseconds pull_timeout{300};
inline constexpr std::chrono::milliseconds max_report_jitter{200};
inline constexpr std::chrono::seconds report_refresh{10};
// Records kept to serve peers that are a little behind.
inline constexpr std::size_t kept_records = 512;
inline constexpr std::size_t max_push_bytes = std::size_t{128} * 1024;
// Records pushed by datagram are at most this long; peers pull longer ones.
inline constexpr std::size_t max_datagram_record_bytes = 900;
// Snapshots that one daemon hands out a second, and at once.
inline constexpr double bootstraps_per_second = 2.0;
inline constexpr double bootstrap_burst = 8.0;
// Records after which the state is written to the snapshot stream.
inline constexpr config_version records_per_snapshot = 128;
inline constexpr std::size_t snapshot_writers = 3;
// Peers that a fresh process hears before it serves, unless it has read the log itself.
inline constexpr std::size_t peers_heard_before_ready = 3;

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

  // Versions that members of the own domain reported, as far as they report to this daemon.
  struct reported {
    incarnation process_epoch;
    config_version version = 0;
    time_point at;
  };
  const std::map<member_id, reported>& reports() const noexcept { return reports_; }
  void on_version_report(const protocol::message& from);
  std::vector<member_id> reporters() { return shared_.role_holders("reader", readers_per_domain); }

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
  struct kept_record {
    config_version offset;
    std::string bytes;
  };

  bool has_read_duty();
  void note_readiness();
  void read_if_due();
  void start_read(const std::string& stream, std::uint64_t from, duration wait);
  void on_config_read(const log_read& result);
  void on_snapshot_read(const log_read& result);
  void on_read_failed();
  void beat_to_substitutes();
  // Folds what is new out of the records; returns how many were.
  std::size_t fold_records(config_version first, const std::vector<std::string>& records);
  void note_fold(config_version offset, const config::apply_result& result);
  bool adopt_snapshot(const std::string& bytes, const std::string& source);
  void spread(config_version first, member_id except);
  void pull_if_behind();
  void report_version();
  void write_snapshot_if_due();
  void check_stored_snapshot();
  void write_snapshot();

  context& shared_;
  std::deque<kept_record> records_;
  std::optional<outstanding_read> read_;
  time_point next_read_{};
  int failed_reads_ = 0;
  time_point last_heartbeat_;
  time_point next_heartbeat_{};
  duration substitute_jitter_{};
  bool needs_snapshot_ = false;

  std::map<member_id, config_version> ahead_; // peers that hold more
  std::set<member_id> heard_;                 // peers whose digest was seen before being ready
  bool has_read_log_ = false;
  std::optional<outstanding_pull> pull_;
  time_point next_pull_{};
  double bootstrap_tokens_ = bootstrap_burst;
  time_point tokens_at_;

  config_version reported_version_ = 0;
  std::vector<member_id> reported_to_;
  time_point next_report_{};
  std::map<member_id, reported> reports_;

  config_version last_snapshot_ = 0; // the newest that this daemon knows of
  time_point last_snapshot_at_;
  time_point snapshot_due_since_{};
  std::uint64_t snapshot_append_ = 0;
  std::uint64_t stored_snapshots_ = 0; // the next offset of the snapshot stream when last read
  bool snapshot_checked_ = false;
  config_version mismatch_at_ = 0; // the last version at which a mismatch was reported
};

} // namespace arbutuslb::core::engine
