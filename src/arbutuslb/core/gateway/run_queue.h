// Admission queue of an upstream: decides which requests start, wait, or are refused.
//
// The queue protects the upstream from overload. It starts no more concurrent requests than the
// upstream has slots, and no more per second than its rate limit allows. A request that is not
// expected to start by its latest useful time is refused at once instead of timing out in the
// queue. Requests are served by rank, most urgent first. Within a rank, the organisations that wait
// share the slots equally (start-time fair queueing, with the expected execution time as the cost
// of a request), and each organisation's requests are served in order of arrival. Slots that the
// others leave free may all be used by one.
//
// Serves the load of one organisation that sends many times what all others send: theirs are
// delayed by one request of it each, and it waits for itself.
//
//   run_queue queue;
//   switch (queue.submit(request, now)) { ... }
//   while (std::optional<std::uint64_t> token = queue.next(now)) { run(*token); }
#pragma once

#include "arbutuslb/core/base/time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutuslb::core::gateway {

// Sliding window over which a rate limit is enforced.
inline constexpr std::chrono::seconds rate_window{1};

struct queued_run {
  std::uint64_t token = 0;
  int rank = 0;              // priority, 0 is the most urgent
  time_point start_by{};     // latest useful start
  std::string organisation;  // of the caller; empty if none
  duration cost{};           // expected execution time
  std::uint64_t arrival = 0; // set by the queue
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
  // Removes and returns a request that was queued before and can no longer be expected to start in
  // time, since requests of other organisations have been queued in front of it. Call it after each
  // `queued`.
  std::optional<std::uint64_t> take_displaced(int rank, time_point now);
  // Removes and returns all queued requests.
  std::vector<std::uint64_t> take_all();
  // Removes a queued request. Returns false if it is not in the queue.
  bool remove(std::uint64_t token);

  // Returns the expected queueing time of a request of this rank and organisation that is submitted
  // now.
  duration expected_wait(int rank, const std::string& organisation, time_point now) const;

  int in_flight() const noexcept { return in_flight_; }
  int limit() const noexcept { return limit_; }
  double rate() const noexcept { return rate_; }
  // Returns the number of requests that count towards the rate limit.
  std::size_t recent_starts(time_point now) const;
  std::size_t waiting() const noexcept { return waiting_; }
  // Returns the number of organisations that the queue keeps state of.
  std::size_t flow_count() const;
  duration mean_latency() const noexcept { return mean_latency_; }

private:
  // The requests of one organisation and rank.
  struct flow {
    std::deque<queued_run> items; // by arrival
    // Virtual time at which the service of its latest started request ends.
    double finish = 0;
  };
  // The requests of one rank. Virtual time is the start tag of the request that started last.
  struct rank_class {
    std::map<std::string, flow> flows; // by organisation
    double virtual_time = 0;
    std::size_t size = 0;
  };

  bool can_start(time_point now) const;
  // Returns the number of requests that are served before one of this organisation, if `own` of its
  // requests wait.
  std::size_t ahead_of(int rank, const std::string& organisation, std::size_t own) const;
  duration wait_behind(std::size_t ahead) const;
  // Charges a request that starts to its organisation.
  static void charge(rank_class& served, const queued_run& request);
  // Removes the requests that match from all flows.
  template <typename Predicate>
  std::size_t erase_matching(Predicate matches);
  void record_start(time_point now);

  int limit_ = 1;
  double rate_ = 0;
  int in_flight_ = 0;
  std::map<int, rank_class> classes_; // by rank
  std::size_t waiting_ = 0;
  std::uint64_t last_arrival_ = 0;
  std::deque<time_point> starts_; // starts within `rate_window`
  duration mean_latency_ = std::chrono::milliseconds{50};
};

} // namespace arbutuslb::core::gateway
