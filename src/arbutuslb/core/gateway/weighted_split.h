// Distributes requests over services in proportion to their weights.
//
// Smooth weighted round robin: over any sequence of requests the count of each service differs from
// its share by less than the number of services.
#pragma once

#include "arbutuslb/core/gateway/mesh_configuration.h"

namespace arbutuslb::core::gateway {

class weighted_split {
public:
  // Returns the service for the next request. `split` must not be empty. Its entries must be in the
  // same order as in the previous call; the distribution restarts if their number differs.
  const std::string& next(const std::vector<weighted_service>& split) {
    if (credit_.size() != split.size()) {
      credit_.assign(split.size(), 0.0);
    }
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < split.size(); ++i) {
      credit_[i] += split[i].weight;
      total += split[i].weight;
      best = credit_[i] > credit_[best] ? i : best;
    }
    credit_[best] -= total;
    return split[best].service;
  }

private:
  std::vector<double> credit_;
};

} // namespace arbutuslb::core::gateway
