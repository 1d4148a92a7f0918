// Limits retries to a fraction of the calls, so that retries cannot multiply an overload.
#pragma once

#include <algorithm>

namespace arbutuslb::core::routing {

// Not thread-safe.
class retry_budget {
public:
  // `max_tokens` is the maximum number of retries in a burst.
  explicit retry_budget(double max_tokens = 10.0) : max_tokens_(max_tokens), tokens_(max_tokens) {}

  // Changes the maximum burst. Retries beyond it are lost; a higher one is filled by calls.
  void set_max(double max_tokens) {
    max_tokens_ = max_tokens;
    tokens_ = std::min(tokens_, max_tokens_);
  }

  // Adds `fraction` of a retry for one call.
  void on_call(double fraction) { tokens_ = std::min(max_tokens_, tokens_ + fraction); }

  bool has_token() const { return tokens_ >= 1.0; }

  // Consumes one retry. Returns false if the budget is exhausted.
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
