#include "arbutuslb/core/gateway/rollout_evidence.h"

namespace arbutuslb::core::gateway {
namespace {

// An execution is late when it has lasted this multiple of the target latency. Upstreams of a sound
// version that have just started, and slow instances, remain below it.
constexpr double late_target_multiple = 1.5;

bool is_late(const execution_sample& sample) {
  return !sample.is_retry &&
         static_cast<double>(sample.elapsed.count()) >=
             late_target_multiple * static_cast<double>(sample.target_latency.count());
}

} // namespace

void rollout_evidence::begin(std::uint64_t rollout_number) {
  if (rollout_number_ != rollout_number) {
    rollout_number_ = rollout_number;
    counter_ = {};
  }
}

bool rollout_evidence::on_running(const execution_sample& sample) {
  if (sample.share_permille < 0 || sample.counted_late_at > duration::zero() || !is_late(sample)) {
    return false;
  }
  counter_.record_late(sample.route, sample.share_permille, sample.elapsed);
  has_faults_ = true;
  return true;
}

void rollout_evidence::on_ended(const execution_sample& sample, execution_end end) {
  if (sample.share_permille < 0) {
    return;
  }
  const bool is_error = end == execution_end::error || end == execution_end::unanswered;
  const moves::execution_outcome outcome =
      is_error ? moves::execution_outcome::error : moves::execution_outcome::good;
  if (sample.counted_late_at > duration::zero()) {
    counter_.amend_late(sample.route, sample.share_permille, sample.counted_late_at, outcome,
                        sample.elapsed);
    has_faults_ = has_faults_ || is_error;
    return;
  }
  // A caller may leave at any time; only an execution that has missed its target was slow.
  const bool has_missed_target = !sample.is_retry && sample.elapsed >= sample.target_latency;
  if (end == execution_end::cancelled && !has_missed_target) {
    return;
  }
  const bool counts_as_late = end == execution_end::cancelled || is_late(sample);
  counter_.record_execution(sample.route, sample.share_permille, outcome, sample.elapsed,
                            counts_as_late);
  has_faults_ = has_faults_ || is_error || counts_as_late;
}

} // namespace arbutuslb::core::gateway
