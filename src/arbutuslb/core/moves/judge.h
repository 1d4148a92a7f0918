// Judges a move from its evidence: raise the share, wait, take it back, or call it done.
//
// The judge is a pure function of the move, the evidence and the time. A fault must be plain
// beyond chance on some route, at the present share or over the whole move; a rise needs time and
// enough calls on every route that has traffic; the share never passes what the new version bears.
//
//   judgement verdict = judge_move(move, pool, poison_requests, step_started_at, now);
#pragma once

#include "arbutuslb/core/config/model.h"
#include "arbutuslb/core/moves/evidence.h"

#include <array>

namespace arbutuslb::core::moves {

// The new version's share of traffic at each step. The last but one keeps some traffic on the old
// version to compare with, and is watched longer.
inline constexpr std::array<int, 6> share_steps_permille{10, 50, 150, 400, 900, 1000};
inline constexpr int watched_share_permille = 900;
// Calls that the new version must have run at a step before the next step.
inline constexpr std::uint64_t min_step_calls = 30;
// From this share on, each route with traffic must have had `min_step_calls` in the whole move
// before the next step.
inline constexpr int route_evidence_permille = 400;
// Calls of the old version below which a route counts as without traffic.
inline constexpr std::uint64_t min_route_calls = 10;
// Errors below which nothing is concluded.
inline constexpr std::uint64_t min_errors = 3;
inline constexpr std::chrono::seconds min_step_time{1};
// The traffic is measured for this long before the first step, whose share is chosen by it.
inline constexpr std::chrono::seconds first_step_wait{2};
inline constexpr int max_first_share_permille = 100;

enum class judgement_kind : std::uint8_t { wait, brake, step, done };

struct judgement {
  judgement_kind kind = judgement_kind::wait;
  int share_permille = 0; // for `step`
  // Why the move waits, was braked or is done, for operators.
  std::string reason;
  // Set as soon as the stated time cannot be met.
  bool is_late = false;
};

// `step_started_at` is when the present share came into force. `poison_requests` is the number of
// requests that are known to crash any upstream; their deaths do not count against a version.
judgement judge_move(const config::move& value, const evidence_pool& pool,
                     std::size_t poison_requests, time_point step_started_at, time_point now);

// The time that a step takes at least in a move with this much time in all.
duration step_time(const config::move& value);
// The time for which the last but one step is watched.
duration watch_time(const config::move& value);

// The baseline that benchmarks compare with: full share at once, taken back when more than
// `max_error_increase` of all calls failed, done at the stated time.
judgement judge_move_at_once(const config::move& value, const evidence_pool& pool, time_point now);

// Wilson score interval of a proportion.
struct proportion_interval {
  double low = 0;
  double high = 1;
};
proportion_interval wilson_interval(std::uint64_t hits, std::uint64_t trials, double z);

} // namespace arbutuslb::core::moves
