// Follows the operators' records in the store, from the newest of each key to the end of the log,
// and gives them on as they come. After a failure it tries again at growing, jittered pauses.
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/platform/store_client.h"

#include <asio/steady_timer.hpp>

namespace arbutuslb::runtime {

// Not thread-safe.
class order_follower {
public:
  using records_handler = std::function<void(platform::read_result records, bool is_complete)>;
  // Called when the store is lost and when it is back.
  using contact_handler = std::function<void(bool is_in_contact, const std::string& reason)>;

  order_follower(asio::io_context& loop, platform::store_client& store, std::uint64_t seed,
                 records_handler on_records, contact_handler on_contact);

  // Reads the newest records once.
  void start();
  // Whether to read on as the log grows. The newest records are read in any case.
  void set_following(bool is_enabled);
  // Records up to here are held already, from elsewhere; what is read starts behind them.
  void skip_to(std::uint64_t end_offset);
  // The log is known to be longer than what was read: the pending read may be on a dead connection.
  void restart();
  void stop();

private:
  void read_newest();
  void read_on();
  void on_end(platform::read_result result, bool is_complete);
  void try_again(const std::string& reason);
  void pause(core::duration time, void (order_follower::*next)());

  platform::store_client& store_;
  core::random_source random_;
  records_handler on_records_;
  contact_handler on_contact_;
  asio::steady_timer timer_;
  std::uint64_t pending_ = 0; // the long read, for `restart`
  std::uint64_t next_offset_ = 0;
  int failures_ = 0;
  bool is_following_ = false;
  bool is_busy_ = false; // a read or a pause before one is under way
  bool has_all_ = false;
  bool is_in_contact_ = true;
  bool is_stopped_ = false;
};

} // namespace arbutuslb::runtime
