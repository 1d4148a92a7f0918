// Decides on a move from its evidence: raise the share, wait, roll the move back, or complete it.
//
// The judge is a pure function of the move, the evidence and the time. More errors or a higher
// latency than the old version's are a fault if the difference is statistically significant on some
// route: at the current share, over the whole move, or in the recent window. Unexplained deaths of
// upstreams are a fault too. A higher share requires a minimum time and enough calls, and may not
// exceed the capacity of the new version. A route with too few calls holds the share only while it
// is low and only while time is left. After its deadline, a move below full share is rolled back
// unless its next step is due.
//
// With an exposure limit, the share stays low for as long as the stated time permits, so that a
// fault that begins late is found there, and then rises in few short steps. A step is taken only if
// a version that fails from this step on is rolled back within the limit.
//
//   judgement verdict = judge_move(move, pool, poison_requests, step_started_at, now);
#pragma once

#include "arbutuslb/core/config/model.h"
#include "arbutuslb/core/moves/evidence.h"
#include "arbutuslb/core/moves/exposure.h"

#include <array>
#include <optional>

namespace arbutuslb::core::moves {

// The new version's share of traffic at each step. The last step but one, the observation step,
// keeps some traffic on the old version for comparison and lasts longer.
inline constexpr std::array<int, 6> share_steps_permille{10, 50, 150, 400, 900, 1000};
inline constexpr int observation_share_permille = 900;
// Calls that the new version must have executed at a step before the next step.
inline constexpr std::uint64_t min_step_calls = 30;
// At this share and above, a fault reaches many calls before it is found. The step to it also
// requires `min_step_calls` in the whole move on each route with traffic, as long as the move can
// still be completed by its deadline. Above it, no route holds the share.
inline constexpr int high_share_permille = 400;
// Time between the end of a step's minimum time and the next step: evidence is reported and judged
// periodically.
inline constexpr std::chrono::milliseconds evidence_delay{500};
// A route on which the old version has executed fewer calls counts as a route without traffic. With
// fewer calls of either version, latencies are not compared.
inline constexpr std::uint64_t min_route_calls = 10;
// Fewer errors of the new version on a route are not considered a fault.
inline constexpr std::uint64_t min_errors = 4;
// Lower bound of `step_time`.
inline constexpr std::chrono::seconds min_step_time{1};
// Time for which the traffic is measured before the first step. The rate of calls determines the
// share of that step.
inline constexpr std::chrono::seconds traffic_measurement_time{2};
inline constexpr int max_first_share_permille = 100;
// Lower bound of the time of a step above the first share in a move with an exposure limit, and the
// time within which its calls are reported and judged once they have ended.
inline constexpr std::chrono::milliseconds min_limited_step_time{600};
inline constexpr std::chrono::milliseconds limited_judgement_time{400};
// With an exposure limit, calls that such a step requires at its share, besides `min_step_calls` in
// the whole move.
inline constexpr std::uint64_t min_limited_step_calls = 10;

// `brake` rolls the move back. `step` raises the share.
enum class judgement_kind : std::uint8_t { wait, brake, step, done };

struct judgement {
  judgement_kind kind = judgement_kind::wait;
  int share_permille = 0; // the new share if `kind` is `step`; otherwise 0
  std::string reason;     // explains the judgement to operators
  bool is_late = false;   // the move can no longer be completed by its deadline
};

// `step_started_at` is the time at which the current share came into force. `poison_requests` is
// the number of requests that are known to crash any upstream; deaths that they explain do not
// count against the new version.
judgement judge_move(const config::move& value, const evidence_pool& pool,
                     std::size_t poison_requests, time_point step_started_at, time_point now,
                     const std::optional<exposure_limit>& limit = std::nullopt);

// Returns the minimum time of a step, which depends on the time from the move's start to its
// deadline.
duration step_time(const config::move& value);
// Returns the minimum time of the observation step.
duration observation_time(const config::move& value);

// Baseline for benchmarks: full share at once, rolled back if more than `max_error_increase` of all
// calls failed, done at the deadline.
judgement judge_move_at_once(const config::move& value, const evidence_pool& pool, time_point now);

} // namespace arbutuslb::core::moves
