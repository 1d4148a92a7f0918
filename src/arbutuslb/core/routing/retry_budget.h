// Retries as a fraction of calls, so that retries cannot multiply the load of an overload.
#pragma once

#include <algorithm>

namespace arbutuslb::core::routing {

// Not thread-safe.
class retry_budget {
public:
  // `max_tokens`: retries that may come at once.
  explicit retry_budget(double max_tokens = 10.0) : max_tokens_(max_tokens), tokens_(max_tokens) {}

  // Each call earns `fraction` of a retry.
  void on_call(double fraction) { tokens_ = std::min(max_tokens_, tokens_ + fraction); }

  bool has_token() const { return tokens_ >= 1.0; }

  // Takes one retry; returns false if none is left.
  bool take() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

private:
  double max_tokens_;
  double tokens_;
};

} // namespace arbutuslb::core::routing
