#include "arbutuslb/core/gateway/stated_rate_limit.h"

namespace arbutuslb::core::gateway {

void stated_rate_limit::on_answer(std::optional<double> stated, time_point started_at,
                                  time_point now) {
  has_answer_ = true;
  if (stated) {
    value_ = stated;
    stated_at_ = now;
  } else if (started_at >= stated_at_) {
    value_ = std::nullopt;
  }
}

void stated_rate_limit::on_peer_hint(double limit) {
  if (!has_answer_) {
    value_ = limit;
  }
}

} // namespace arbutuslb::core::gateway
