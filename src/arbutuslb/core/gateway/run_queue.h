// Who may run at an upstream now, who waits, and who is refused.
//
// The queue answers for overload beside the upstream: it runs no more requests at once than the
// upstream has slots, and no more a second than a cold upstream bears. A request that cannot start
// by its latest useful time is refused when it arrives, not when that time has passed. More urgent
// ranks go first; within a rank, the order of arrival.
//
//   run_queue queue;
//   switch (queue.submit(request, now)) { ... }
//   while (std::optional<std::uint64_t> token = queue.next(now)) { run(*token); }
#pragma once

#include "arbutuslb/core/base/time.h"

#include <deque>
#include <optional>
#include <vector>

namespace arbutuslb::core::gateway {

// The span over which a cold upstream's rate is counted.
inline constexpr std::chrono::seconds cold_rate_window{1};

struct waiting_run {
  std::uint64_t token = 0;
  int rank = 0;          // 0 is the most urgent
  time_point start_by{}; // later the request is not worth running
};

enum class offer_verdict : std::uint8_t { run, queued, refused };

// Not thread-safe.
class run_queue {
public:
  void set_limit(int slots) { limit_ = slots; }
  // Zero: no limit on the rate.
  void set_rate(double per_second) { rate_ = per_second; }

  // `run` counts the request as running. O(queue).
  offer_verdict submit(const waiting_run& request, time_point now);
  // A running request ended after `latency`.
  void release(std::optional<duration> latency);
  // Returns the next waiting request that may run now, and counts it as running.
  std::optional<std::uint64_t> next(time_point now);
  // Removes and returns the requests that can no longer start in time.
  std::vector<std::uint64_t> take_expired(time_point now);
  // Removes and returns all that wait.
  std::vector<std::uint64_t> take_all();
  // Returns false if no such request waits.
  bool withdraw(std::uint64_t token);

  // How long a request of this rank would wait if it came now.
  duration expected_wait(int rank, time_point now) const;

  int in_flight() const noexcept { return in_flight_; }
  int limit() const noexcept { return limit_; }
  std::size_t waiting() const noexcept { return waiting_.size(); }
  duration mean_latency() const noexcept { return mean_latency_; }

private:
  bool may_start(time_point now) const;
  void note_start(time_point now);

  int limit_ = 1;
  double rate_ = 0;
  int in_flight_ = 0;
  std::deque<waiting_run> waiting_; // by rank, then by arrival
  std::deque<time_point> starts_;   // within `cold_rate_window`
  duration mean_latency_ = std::chrono::milliseconds{50};
};

} // namespace arbutuslb::core::gateway
