// Retries as a fraction of calls, so that retries cannot multiply the load of an overload.
#pragma once

#include <algorithm>

namespace arbutuslb::core::routing {

// Not thread-safe.
class retry_budget {
public:
  // Each call earns `fraction` of a retry.
  void on_call(double fraction) { tokens_ = std::min(max_tokens, tokens_ + fraction); }

  // Takes one retry; returns false if none is left.
  bool take() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

private:
  static constexpr double max_tokens = 10.0;
  double tokens_ = max_tokens;
};

} // namespace arbutuslb::core::routing
