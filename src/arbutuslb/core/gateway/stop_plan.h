// Times of a planned stop. All follow from the time of the stop request and the grace period, after
// which the platform ends the process:
//
//   requested   callers are told to use other daemons; their requests are still read
//   reads_until requests are read only on connections that are owed an answer; if executions at the
//               local upstream are still in progress, which may send requests of their own, later
//   answers_by  no request is read any more, and every request has been answered
//   exits_by    the process has exited, whether its answers have been read or not
//
// A request that is read during the stop is accepted only if its execution can end by `answers_by`.
//
//   const stop_plan plan = plan_stop(now, settings.grace_period);
#pragma once

#include "arbutuslb/core/base/time.h"

namespace arbutuslb::core::gateway {

struct stop_plan {
  time_point requested{};
  time_point reads_until{};
  time_point answers_by{};
  time_point exits_by{};
};

// Callers notice a stop within two readiness checks, and requests sent before arrive a little
// later.
inline constexpr std::chrono::milliseconds stop_reading_time{2200};
// Parts of the grace period that remain for writing the answers, and for exiting.
inline constexpr std::chrono::milliseconds stop_answer_reserve{500};
inline constexpr std::chrono::milliseconds stop_exit_reserve{200};

// Half of a grace period is the least that requests get, however short it is.
inline stop_plan plan_stop(time_point requested, duration grace_period) {
  const duration half = grace_period / 2;
  stop_plan plan;
  plan.requested = requested;
  plan.reads_until = requested + std::min<duration>(stop_reading_time, half);
  plan.answers_by = requested + std::max<duration>(grace_period - stop_answer_reserve, half);
  plan.exits_by = requested + std::max<duration>(grace_period - stop_exit_reserve, half);
  return plan;
}

} // namespace arbutuslb::core::gateway
