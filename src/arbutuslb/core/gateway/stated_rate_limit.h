// The limit of requests per second that an upstream states in its answers.
//
// The limit is in force from the first answer that states it until an answer to a later request
// states none. A new process of the daemon has no answers yet: it uses the limit that other daemons
// state in their requests until the upstream itself has answered.
//
//   stated_rate_limit limit;
//   limit.on_answer(notice.rate_limit, started_at, now);
//   if (limit.value()) { queue.set_rate(*limit.value()); }
//
// Serves the load of an upstream that takes less than it is offered and says so.
#pragma once

#include "arbutuslb/core/base/time.h"

#include <optional>

namespace arbutuslb::core::gateway {

// Not thread-safe.
class stated_rate_limit {
public:
  // The upstream has answered a request that was started at `started_at`. `stated` is in requests
  // per second, nothing if the answer states no limit.
  void on_answer(std::optional<double> stated, time_point started_at, time_point now);
  // Another daemon has received this limit in an answer of the upstream.
  void on_peer_hint(double limit);
  // Discards what is known: the upstream has been replaced or has started again.
  void reset() { *this = {}; }

  // Returns the limit in force; nothing if there is none.
  std::optional<double> value() const noexcept { return value_; }

private:
  std::optional<double> value_;
  time_point stated_at_{}; // latest answer that stated a limit
  bool has_answer_ = false;
};

} // namespace arbutuslb::core::gateway
