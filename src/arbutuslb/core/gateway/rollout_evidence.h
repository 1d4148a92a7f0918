// Decides which executions of the local upstream are evidence in a rollout, and as what they count.
//
// An execution counts when it ends, or as late as soon as it has lasted much longer than the
// target latency of its route: one that is cancelled because it is slow, or never ends, says more
// about a version than those that end. One that is cancelled earlier says nothing.
//
//   evidence.begin(rollout_number);
//   evidence.on_running(sample);                       // on each tick
//   evidence.on_ended(sample, execution_end::good);
#pragma once

#include "arbutuslb/core/moves/evidence.h"

#include <string>
#include <utility>
#include <vector>

namespace arbutuslb::core::gateway {

// How an execution has ended.
enum class execution_end : std::uint8_t {
  good,
  error,
  unanswered, // the upstream sent no answer in time
  cancelled   // by its requester
};

struct execution_sample {
  std::string route;
  int share_permille = -1;   // share of the rollout when the version was chosen; -1: none
  duration target_latency{}; // that was left when the request arrived
  duration elapsed{};        // since it was sent to the upstream
  // Elapsed time at which it was counted as late; zero if it was not.
  duration counted_late_at{};
  bool is_retry = false; // little may have been left of its target latency
};

// Not thread-safe.
class rollout_evidence {
public:
  // Starts to count for this rollout; keeps the counts if it is the current one.
  void begin(std::uint64_t rollout_number);
  // Returns true if the execution has been counted as late now.
  bool on_running(const execution_sample& sample);
  void on_ended(const execution_sample& sample, execution_end end);

  const std::vector<protocol::evidence_cell>& cells() const noexcept { return counter_.cells(); }
  // Returns true if an error or a late execution was counted since the last call.
  bool take_has_faults() { return std::exchange(has_faults_, false); }

private:
  moves::evidence_counter counter_;
  std::uint64_t rollout_number_ = 0;
  bool has_faults_ = false;
};

} // namespace arbutuslb::core::gateway
