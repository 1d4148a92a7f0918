// Bounds the upstreams of a service that one daemon chooses from.
//
// A daemon that used every upstream of every service would keep as many connections and as much
// state as the fleet has members, and the load that it knows of would be too old to balance by.
// Callers and upstreams are each ordered by a hash and laid out on a ring, and a caller uses the
// upstreams that follow its own position. All upstreams are therefore used by the same number of
// callers, give or take one, and a member that comes or goes moves most subsets by one upstream at
// most.
//
//   for (std::size_t index : ring_subset(rank, callers, upstreams.size(), local_subset_size)) {
//     use(upstreams[index]);
//   }
#pragma once

#include <cstddef>
#include <vector>

namespace arbutuslb::core::gateway {

// Maximum number of upstreams of one service that one daemon chooses from: in its own failure
// domain, and in all others together, where each domain gets at least one.
inline constexpr std::size_t local_subset_size = 16;
inline constexpr std::size_t remote_subset_size = 14;

// Returns the indices, below `upstreams`, of the upstreams that the caller uses: min(size,
// upstreams) of them. `rank` is the caller's position among the `callers` of its failure domain,
// ordered by hash; `rank` must be less than `callers`.
std::vector<std::size_t> ring_subset(std::size_t rank, std::size_t callers, std::size_t upstreams,
                                     std::size_t size);

// Returns the number of upstreams that a daemon uses in each of `remote_domains` other domains.
std::size_t remote_subset_size_per_domain(std::size_t remote_domains);

} // namespace arbutuslb::core::gateway
