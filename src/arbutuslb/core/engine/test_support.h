// What the engine's tests share: the fixed seeds and the check of the fleet's invariants.
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

// Runs `body` for seeds 1 to `count`, or for the one seed in ARBUTUSLB_SEED, or for as many as
// ARBUTUSLB_SEEDS says.
template <typename Body>
void for_each_seed(std::uint64_t count, Body body) {
  const char* one = std::getenv("ARBUTUSLB_SEED");
  const char* many = std::getenv("ARBUTUSLB_SEEDS");
  const std::uint64_t first = one != nullptr ? std::strtoull(one, nullptr, 10) : 1;
  const std::uint64_t last = one != nullptr    ? first
                             : many != nullptr ? std::strtoull(many, nullptr, 10)
                                               : count;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    body(seed);
  }
}

// Fails with the command that repeats the run.
inline void assert_no_violations(const test_fleet& fleet, std::uint64_t seed) {
  const std::vector<std::string> found = fleet.violations();
  cr_assert(found.empty(), "%s\nrepeat: ARBUTUSLB_SEED=%llu", found.empty() ? "" : found[0].c_str(),
            static_cast<unsigned long long>(seed));
}

// Checks a condition and names the seed that failed it.
#define ASSERT_SEED(condition, seed)                                                               \
  cr_assert((condition), "%s\nrepeat: ARBUTUSLB_SEED=%llu", #condition,                            \
            static_cast<unsigned long long>(seed))

} // namespace arbutuslb::core::engine::testing
