// Tests of the subset at the sizes of the fleets: small, large, and that of the capacity page.

#include "arbutuslb/core/gateway/upstream_subset.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>

namespace {

using namespace arbutuslb::core::gateway;

constexpr std::size_t fleet_sizes[] = {10, 100, 1000, 6300};
// Upstreams of one service for each caller, as a divisor.
constexpr std::size_t services[] = {1, 3, 40};

std::set<std::size_t> subset_of(std::size_t rank, std::size_t callers, std::size_t upstreams) {
  const std::vector<std::size_t> indices = ring_subset(rank, callers, upstreams, local_subset_size);
  return {indices.begin(), indices.end()};
}

} // namespace

Test(upstream_subset, every_upstream_is_used_by_the_same_number_of_callers) {
  for (const std::size_t callers : fleet_sizes) {
    for (const std::size_t divisor : services) {
      const std::size_t upstreams = std::max<std::size_t>(1, callers / divisor);
      std::vector<std::size_t> users(upstreams);
      for (std::size_t rank = 0; rank < callers; ++rank) {
        const std::set<std::size_t> subset = subset_of(rank, callers, upstreams);
        cr_assert_eq(subset.size(), std::min(local_subset_size, upstreams));
        for (const std::size_t index : subset) {
          cr_assert(index < upstreams);
          ++users[index];
        }
      }
      const auto [fewest, most] = std::minmax_element(users.begin(), users.end());
      cr_assert(*most - *fewest <= 1, "%zu callers, %zu upstreams: %zu to %zu users", callers,
                upstreams, *fewest, *most);
    }
  }
}

// One upstream that comes or goes changes the subsets of most callers by one upstream at most,
// apart from the renumbering of those behind it.
Test(upstream_subset, a_subset_is_stable_while_upstreams_come_and_go) {
  for (const std::size_t callers : fleet_sizes) {
    const std::size_t upstreams = callers;
    for (std::size_t rank = 0; rank < callers; rank += 1 + callers / 50) {
      std::set<std::size_t> before = subset_of(rank, callers, upstreams);
      // The last upstream in hash order leaves, so the others keep their numbers.
      const std::set<std::size_t> after = subset_of(rank, callers, upstreams - 1);
      before.erase(upstreams - 1);
      std::size_t kept = 0;
      for (const std::size_t index : before) {
        kept += after.contains(index) ? 1 : 0;
      }
      cr_assert(before.size() - kept <= 1, "%zu callers, rank %zu: %zu of %zu kept", callers, rank,
                kept, before.size());
    }
  }
}

Test(upstream_subset, each_remote_domain_gets_at_least_one_upstream) {
  cr_assert_eq(remote_subset_size_per_domain(0), 0);
  cr_assert_eq(remote_subset_size_per_domain(2), remote_subset_size / 2);
  cr_assert_eq(remote_subset_size_per_domain(100), 1);
}
