// Limits how many calls a faulty new version may receive before it is rolled back.
//
// Callers tolerate a number of calls at a bad version: a share of all calls of the service during
// the move, plus a constant. A step is affordable if a version that fails from this step on is
// rolled back within that number.
//
//   exposure_forecast forecast{limit, exposed, calls, rate, time_left};
//   if (forecast.allows_step(400, 0.6)) { ... }
#pragma once

#include "arbutuslb/core/base/time.h"

namespace arbutuslb::core::moves {

struct exposure_limit {
  double share = 1.0;      // of all calls of the service during the move
  double extra_calls = 0;  // calls beyond it
  duration time_allowed{}; // from the start of the move; calls within it count
};

// What is known of a move when a step is considered.
struct exposure_forecast {
  exposure_limit limit;
  double exposed_calls = 0;    // received by the new version
  double total_calls = 0;      // received by both versions
  double calls_per_second = 0; // of both versions
  duration time_left{};        // within `limit.time_allowed`
  duration reaction_time{};    // from the first faulty call until callers no longer send any

  // Returns the number of calls that a faulty version may receive, if the rate stays as it is.
  double allowed_calls() const;
  // Returns how many calls the new version will have received when it is rolled back for a fault
  // that begins with the step to `share_permille`.
  double calls_after_fault_at(int share_permille) const;
  // Returns true if a fault that begins with the step uses no more than `fraction` of the allowed
  // calls.
  bool allows_step(int share_permille, double fraction) const;
};

} // namespace arbutuslb::core::moves
