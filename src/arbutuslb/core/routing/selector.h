// Policies that select one endpoint of a subset.
//
// A policy is a type with
//   std::size_t choose(std::span<const endpoint_view>, time_point, random_source&)
// which returns an index into the span. The span must not be empty. The daemon uses
// `least_cost_of_two`; the other policies are baselines for benchmarks.
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/core/routing/endpoint_stats.h"

#include <concepts>
#include <span>

namespace arbutuslb::core::routing {

// An endpoint of a subset with its statistics, which must outlive the view.
struct endpoint_view {
  member_id id;
  const endpoint_stats* stats = nullptr;
};

template <typename Policy>
concept selection_policy = requires(Policy policy, std::span<const endpoint_view> endpoints,
                                    time_point now, random_source& random) {
  { policy.choose(endpoints, now, random) } -> std::convertible_to<std::size_t>;
};

// Chooses the cheaper of two random endpoints ("power of two choices"). O(1).
class least_cost_of_two {
public:
  std::size_t choose(std::span<const endpoint_view> endpoints, time_point now,
                     random_source& random) {
    const std::size_t first = random.below(endpoints.size());
    const std::size_t second = random.below(endpoints.size());
    return endpoints[second].stats->cost(now) < endpoints[first].stats->cost(now) ? second : first;
  }
};

class round_robin {
public:
  std::size_t choose(std::span<const endpoint_view> endpoints, time_point, random_source&) {
    return next_++ % endpoints.size();
  }

private:
  std::size_t next_ = 0;
};

// Chooses the endpoint with the fewest outstanding requests of this daemon; a random start index
// breaks ties. O(endpoints).
class least_outstanding {
public:
  std::size_t choose(std::span<const endpoint_view> endpoints, time_point, random_source& random) {
    const std::size_t offset = random.below(endpoints.size());
    std::size_t best = offset;
    for (std::size_t i = 1; i < endpoints.size(); ++i) {
      const std::size_t candidate = (offset + i) % endpoints.size();
      if (endpoints[candidate].stats->outstanding() < endpoints[best].stats->outstanding()) {
        best = candidate;
      }
    }
    return best;
  }
};

} // namespace arbutuslb::core::routing
