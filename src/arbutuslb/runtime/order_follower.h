// Follows the operator records in the store: reads the newest record of each key, then the log as
// it grows, and passes the records to a handler. Failed reads are retried with exponential backoff
// and jitter. In a new era of the store, the newest records are read again.
//
// A read that the store leaves unanswered does not delay the next one: beside it, reads that do not
// wait are sent on new connections, and the first answer counts. So a store that was silent is read
// again within the time of a poll and `hedge_delay` of its return, and one to which the open
// connections have gone silent is read on others.
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/core/gateway/log_position.h"
#include "arbutuslb/platform/store_client.h"

#include <asio/steady_timer.hpp>
#include <map>

namespace arbutuslb::runtime {

// Not thread-safe.
class order_follower {
public:
  // If `is_complete`, `records` has the newest record of every key; otherwise it has the records
  // that follow those passed before.
  using records_handler = std::function<void(platform::read_result records, bool is_complete)>;
  // Called when the store becomes unreachable, with the reason, and when it is reachable again.
  using reachability_handler = std::function<void(bool is_reachable, const std::string& reason)>;

  order_follower(asio::io_context& loop, platform::store_client& store, std::uint64_t seed,
                 records_handler on_records, reachability_handler on_reachability_change);

  // Reads the newest records once.
  void start();
  // Sets whether to continue reading as the log grows, and for how long a poll waits for a record.
  // The newest records are read in any case.
  void set_following(bool is_enabled, core::duration poll_wait);
  // The records before `end` were received from another source; the next read skips them.
  void skip_to(const core::gateway::log_position& end);
  // Sends the pending long poll again; does nothing if there is none. Call this when the log is
  // known to have more records than were read: the connection of the long poll may be dead.
  void restart();
  void stop();

private:
  void read_newest();
  void read_new_records();
  // Sends a read of the log, or of the newest records, beside those that are pending.
  void send_read(core::duration wait, platform::connection_choice choice);
  void send_read_newest(platform::connection_choice choice);
  // Takes note that a read was answered, and cancels the others. Returns false if it does not
  // count: it was cancelled, or it has failed and another one may still be answered.
  bool end_read(std::uint64_t key, const platform::read_result& result);
  void cancel_reads();
  void schedule_hedge(core::duration delay);
  void on_newest(platform::read_result result);
  // `from` is the position that was read from.
  void on_new_records(const core::gateway::log_position& from, platform::read_result result);
  // Returns false if the read has failed; another one is scheduled then.
  bool check(platform::read_result& result);
  void deliver(platform::read_result result, bool is_complete);
  // Returns the delay before the next read after `failures` failed ones in a row.
  core::duration backoff_after(int failures);
  void report_unreachable(const std::string& reason);
  void schedule_retry(const std::string& reason);
  void schedule(core::duration delay, void (order_follower::*next)());

  platform::store_client& store_;
  core::random_source random_;
  records_handler on_records_;
  reachability_handler on_reachability_change_;
  asio::steady_timer timer_;
  asio::steady_timer hedge_timer_;
  std::map<std::uint64_t, std::uint64_t>
      reads_; // request ids of the pending reads, by key; zero if it cannot be cancelled
  bool is_reading_newest_ = false; // `reads_` are of the newest records
  std::uint64_t last_read_key_ = 0;
  core::duration poll_wait_{};
  bool is_confirmed_ = false;        // the store has answered since it is followed
  core::gateway::log_position next_; // the next record to read
  int failures_ = 0;                 // failed reads in a row
  int invalid_positions_ = 0;        // reads in a row from a position that the store does not have
  bool is_following_ = false;
  bool is_active_ = false; // a read is pending or scheduled
  bool has_newest_records_ = false;
  bool is_reachable_ = true;
  bool is_stopped_ = false;
};

} // namespace arbutuslb::runtime
