#include "arbutuslb/core/gateway/upstream_subset.h"

#include <algorithm>

namespace arbutuslb::core::gateway {

std::vector<std::size_t> ring_subset(std::size_t rank, std::size_t callers, std::size_t upstreams,
                                     std::size_t size) {
  const std::size_t taken = std::min(size, upstreams);
  std::vector<std::size_t> indices;
  indices.reserve(taken);
  const std::size_t first = rank * upstreams / std::max<std::size_t>(1, callers);
  for (std::size_t i = 0; i < taken; ++i) {
    indices.push_back((first + i) % upstreams);
  }
  return indices;
}

std::size_t remote_subset_size_per_domain(std::size_t remote_domains) {
  return remote_domains == 0 ? 0 : std::max<std::size_t>(1, remote_subset_size / remote_domains);
}

} // namespace arbutuslb::core::gateway
