// Finds out from the evidence of a move whether the new version is worse than the old one.
//
//   std::string fault = find_fault(move, pool, poison_requests);  // empty if there is none
#pragma once

#include "arbutuslb/core/config/model.h"
#include "arbutuslb/core/moves/evidence.h"

namespace arbutuslb::core::moves {

// Returns a description of a fault of the new version, or an empty string: more errors, late or
// slow calls than the old version has on some route, or deaths of upstreams beyond those that
// `poison_requests` requests explain. The calls at the current share, those of the whole move and
// those of the recent window are compared; errors also over every shorter window that ends now, so
// that a fault which the old version had as well for a while does not hide one that lasts.
std::string find_fault(const config::move& value, const evidence_pool& pool,
                       std::size_t poison_requests);

// Returns the lowest share whose calls are compared. At full share the old version has no calls, so
// the observation step is still included.
int comparison_share(const config::move& value);

// Returns the geometric mean of the latencies, computed from the histogram.
duration mean_latency_of(const cell_totals& cell);

struct proportion_interval {
  double low = 0;
  double high = 1;
};
// Returns the Wilson score interval of the proportion `hits` / `trials`. `z` is the half width in
// standard deviations. Returns [0, 1] for no trials.
proportion_interval wilson_interval(std::uint64_t hits, std::uint64_t trials, double z);

} // namespace arbutuslb::core::moves
