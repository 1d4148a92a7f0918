// Admission queue of an upstream: decides which requests start, wait, or are refused.
//
// The queue protects the upstream from overload. It starts no more concurrent requests than the
// upstream has slots, and no more per second than its rate limit allows. A request that is not
// expected to start by its latest useful time is refused at once instead of timing out in the
// queue. Requests are served by rank, most urgent first, and in order of arrival within a rank.
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

// Sliding window over which a rate limit is enforced.
inline constexpr std::chrono::seconds rate_window{1};

struct queued_run {
  std::uint64_t token = 0;
  int rank = 0;          // priority, 0 is the most urgent
  time_point start_by{}; // latest useful start
};

enum class admission_verdict : std::uint8_t { run, queued, refused };

// Not thread-safe.
class run_queue {
public:
  void set_limit(int slots) { limit_ = slots; }
  // Sets the rate limit in requests per second; zero: no limit. A limit below 1 counts as 1.
  void set_rate(double per_second) { rate_ = per_second; }

  // Admits, queues or refuses a request. `run`: the request is counted as running. O(queue).
  admission_verdict submit(const queued_run& request, time_point now);
  // Frees the slot of a running request. `latency` updates the mean latency if given.
  void release(std::optional<duration> latency);
  // Returns the next queued request that may start now, and counts it as running.
  std::optional<std::uint64_t> next(time_point now);
  // Removes and returns the queued requests whose latest useful start has passed.
  std::vector<std::uint64_t> take_expired(time_point now);
  // Removes and returns all queued requests.
  std::vector<std::uint64_t> take_all();
  // Removes a queued request. Returns false if it is not in the queue.
  bool remove(std::uint64_t token);

  // Returns the expected queueing time of a request of this rank that is submitted now.
  duration expected_wait(int rank, time_point now) const;

  int in_flight() const noexcept { return in_flight_; }
  int limit() const noexcept { return limit_; }
  double rate() const noexcept { return rate_; }
  // Returns the number of requests that count towards the rate limit.
  std::size_t recent_starts(time_point now) const;
  std::size_t waiting() const noexcept { return waiting_.size(); }
  duration mean_latency() const noexcept { return mean_latency_; }

private:
  bool can_start(time_point now) const;
  void record_start(time_point now);

  int limit_ = 1;
  double rate_ = 0;
  int in_flight_ = 0;
  std::deque<queued_run> waiting_; // by rank, then by arrival
  std::deque<time_point> starts_;  // starts within `rate_window`
  duration mean_latency_ = std::chrono::milliseconds{50};
};

} // namespace arbutuslb::core::gateway
