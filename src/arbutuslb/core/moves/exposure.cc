#include "arbutuslb/core/moves/exposure.h"

#include <algorithm>

namespace arbutuslb::core::moves {
namespace {

constexpr double full_share_permille = 1000.0;

double seconds(duration value) {
  return std::max(0.0, std::chrono::duration<double>(value).count());
}

} // namespace

double exposure_forecast::allowed_calls() const {
  return limit.share * (total_calls + calls_per_second * seconds(time_left)) + limit.extra_calls;
}

double exposure_forecast::calls_after_fault_at(int share_permille) const {
  return exposed_calls +
         calls_per_second * seconds(reaction_time) * share_permille / full_share_permille;
}

bool exposure_forecast::allows_step(int share_permille, double fraction) const {
  return calls_after_fault_at(share_permille) <= fraction * allowed_calls();
}

} // namespace arbutuslb::core::moves
