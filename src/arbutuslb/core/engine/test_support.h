// Shared by the engine's tests: iteration over seeds and the check of the fleet's invariants.
#pragma once

#include "arbutuslb/fakes/meshes.h"

#include <criterion/criterion.h>
#include <cstdlib>

namespace arbutuslb::core::engine::testing {

using namespace std::chrono_literals;
using fakes::add_sample_daemons;
using fakes::generate_calls;
using fakes::start_sample_mesh;
using fakes::success_ratio;
using fakes::test_fleet;

// Runs `body` for the seeds 1 to `count`. The environment variable ARBUTUSLB_SEED selects one seed
// instead; ARBUTUSLB_SEEDS replaces `count`.
template <typename Body>
void for_each_seed(std::uint64_t count, Body body) {
  const char* single_seed = std::getenv("ARBUTUSLB_SEED");
  const char* seed_count = std::getenv("ARBUTUSLB_SEEDS");
  const std::uint64_t first = single_seed != nullptr ? std::strtoull(single_seed, nullptr, 10) : 1;
  const std::uint64_t last = single_seed != nullptr  ? first
                             : seed_count != nullptr ? std::strtoull(seed_count, nullptr, 10)
                                                     : count;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    body(seed);
  }
}

// Fails with the first violation and the seed that reproduces it.
inline void assert_no_violations(const test_fleet& fleet, std::uint64_t seed) {
  const std::vector<std::string> found = fleet.violations();
  cr_assert(found.empty(), "%s\nrepeat: ARBUTUSLB_SEED=%llu", found.empty() ? "" : found[0].c_str(),
            static_cast<unsigned long long>(seed));
}

// Asserts a condition; the failure message contains the seed that reproduces it.
#define ASSERT_SEED(condition, seed)                                                               \
  cr_assert((condition), "%s\nrepeat: ARBUTUSLB_SEED=%llu", #condition,                            \
            static_cast<unsigned long long>(seed))

} // namespace arbutuslb::core::engine::testing
