// Distributes requests over services by weight, as evenly as whole requests allow.
//
// Smooth weighted round robin: over any run of requests each service's count differs from its
// share by less than the number of services.
#pragma once

#include "arbutuslb/core/gateway/mesh_configuration.h"

namespace arbutuslb::core::gateway {

class weighted_split {
public:
  // Returns the service of the next request. `split` must not be empty; the order and the number of
  // its parts must be those of the call before, or the distribution starts anew.
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
