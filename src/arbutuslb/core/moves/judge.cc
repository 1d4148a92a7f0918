#include "arbutuslb/core/moves/judge.h"

#include "arbutuslb/core/moves/fault.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace arbutuslb::core::moves {
namespace {

using config::move;

// Fractions of the exposure limit that a fault may use which begins with a step: below full share,
// at full share, and if the move could not be completed in time otherwise.
constexpr double planned_exposure = 0.6;
constexpr double planned_full_share_exposure = 0.85;
constexpr double late_exposure = 1.0;
// Time from a faulty call until its evidence has been reported, judged, and answered by a rollback
// on all daemons.
constexpr std::chrono::milliseconds rollback_delay{350};
// A fault shows after some calls have ended: their number, and the mean latency of the calls.
constexpr double calls_to_detect = 12;
constexpr std::array<int, 3> limited_steps_permille{150, 400, 1000}; // after the first one
// Part of the exposure limit that the first step uses.
constexpr double first_share_exposure = 0.2;
// Time of the step at full share. Requests at the old version end within it.
constexpr std::chrono::milliseconds limited_full_share_time{1200};
// Time between the end of a short step's minimum time and the next step.
constexpr std::chrono::milliseconds limited_evidence_delay{200};
// The concurrency limits of the new version's upstreams grow with use, so a step may require up to
// this multiple of their current sum.
constexpr double limit_growth_factor = 2.0;

using totals_by_route = std::map<std::string, cell_totals>;

// The steps of a move and their times.
class schedule {
public:
  // `call_time` is the mean latency of the calls.
  schedule(const move& value, bool is_limited, duration call_time)
      : move_(value), is_limited_(is_limited), call_time_(call_time) {}

  bool is_limited() const { return is_limited_; }
  int next_share(int share) const {
    for (const int step : steps()) {
      if (step > share) {
        return step;
      }
    }
    return share_steps_permille.back();
  }
  // Returns the share up to which a move with an exposure limit remains as long as it can.
  bool is_held(int share) const { return is_limited_ && share <= max_first_share_permille; }
  duration min_time_at(int share) const {
    if (is_limited_) {
      if (share == share_steps_permille.back()) {
        return std::max<duration>(limited_full_share_time, call_time_ + limited_judgement_time);
      }
      const duration total = move_.deadline - move_.started;
      return std::max({duration{total / 24}, duration{min_limited_step_time},
                       call_time_ + limited_judgement_time});
    }
    return share == observation_share_permille ? observation_time(move_) : step_time(move_);
  }
  // Returns the time that the steps from `share` on take at least.
  duration remaining_time_from(int share) const {
    const duration delay =
        is_limited_ ? duration{limited_evidence_delay} : duration{evidence_delay};
    duration needed{};
    for (const int step : steps()) {
      needed += step >= share ? min_time_at(step) + delay : duration::zero();
    }
    return needed;
  }
  bool has_time_for(int share, time_point now) const {
    return now + remaining_time_from(share) < move_.deadline;
  }
  // Returns when the first step of a move with an exposure limit ends; a reserve remains.
  time_point hold_end() const {
    const duration reserve = (move_.deadline - move_.started) / 12;
    return move_.deadline - reserve - remaining_time_from(next_share(max_first_share_permille));
  }

private:
  std::span<const int> steps() const {
    return is_limited_ ? std::span<const int>(limited_steps_permille)
                       : std::span<const int>(share_steps_permille);
  }

  const move& move_;
  bool is_limited_;
  duration call_time_;
};

// Returns the share at which the new version is expected to execute `min_step_calls` within the
// minimum time of a step.
int first_share(const move& value, const evidence_pool& pool, duration measured) {
  std::uint64_t calls = 0;
  for (const auto& [route, cell] : pool.recent_totals(value.from)) {
    calls += cell.calls;
  }
  const duration window = std::min<duration>(measured, recent_window);
  const double rate = static_cast<double>(calls) / std::chrono::duration<double>(window).count();
  const double expected_calls = rate * std::chrono::duration<double>(step_time(value)).count();
  constexpr double permille = 1000.0;
  const double share =
      permille * static_cast<double>(min_step_calls) / std::max(1.0, expected_calls);
  return std::clamp(static_cast<int>(std::ceil(share)), share_steps_permille.front(),
                    max_first_share_permille);
}

// Returns the share at which the new version receives a given part of the allowed calls until the
// hold ends.
int limited_first_share(const exposure_forecast& forecast, duration hold_time) {
  const double calls = forecast.calls_per_second * std::chrono::duration<double>(hold_time).count();
  constexpr double permille = 1000.0;
  const double share =
      permille * first_share_exposure * forecast.allowed_calls() / std::max(1.0, calls);
  return std::clamp(static_cast<int>(share), share_steps_permille.front(),
                    max_first_share_permille);
}

// Returns a route that has traffic but fewer than `min_step_calls` of the new version, or an empty
// string.
std::string route_with_few_calls(const move& value, const evidence_pool& pool) {
  const totals_by_route new_totals = pool.totals(value.to, 0);
  for (const auto& [route, cell] : pool.totals(value.from, 0)) {
    const totals_by_route::const_iterator found = new_totals.find(route);
    const std::uint64_t calls = found == new_totals.end() ? 0 : found->second.calls;
    if (cell.calls >= min_route_calls && calls < min_step_calls) {
      return route;
    }
  }
  return {};
}

std::uint64_t calls_from_share(const move& value, const evidence_pool& pool, int share) {
  std::uint64_t calls = 0;
  for (const auto& [route, cell] : pool.totals(value.to, share)) {
    calls += cell.calls;
  }
  return calls;
}

// Returns true if there are enough calls of the new version for a step.
bool has_enough_calls(const move& value, const evidence_pool& pool, const schedule& plan,
                      time_point now) {
  const std::uint64_t calls_at_step = calls_from_share(value, pool, comparison_share(value));
  if (!plan.is_limited()) {
    return calls_at_step >= min_step_calls;
  }
  if (!plan.has_time_for(plan.next_share(value.share_permille), now)) {
    return calls_at_step >= min_errors;
  }
  return calls_at_step >= min_limited_step_calls &&
         calls_from_share(value, pool, 0) >= min_step_calls;
}

// Returns the route for whose calls the next step waits, "any route" if there are too few calls on
// all routes together, or an empty string.
std::string route_without_evidence(const move& value, const evidence_pool& pool,
                                   const schedule& plan, time_point now) {
  if (!has_enough_calls(value, pool, plan, now)) {
    return "any route";
  }
  // With an exposure limit, the first share has been held for as long as possible.
  const int share = plan.next_share(value.share_permille);
  const bool is_step_to_high_share = !plan.is_limited() &&
                                     value.share_permille < high_share_permille &&
                                     share >= high_share_permille;
  return is_step_to_high_share && plan.has_time_for(share, now) ? route_with_few_calls(value, pool)
                                                                : std::string{};
}

exposure_forecast forecast_of(const move& value, const evidence_pool& pool,
                              const exposure_limit& limit, time_point now) {
  const cell_totals old_calls = pool.total_of(value.from);
  const cell_totals new_calls = pool.total_of(value.to);
  exposure_forecast forecast;
  forecast.limit = limit;
  forecast.exposed_calls = static_cast<double>(new_calls.calls);
  forecast.total_calls = static_cast<double>(old_calls.calls + new_calls.calls);
  forecast.calls_per_second = pool.recent_rate(value.started, now);
  forecast.time_left = value.started + limit.time_allowed - now;
  return forecast;
}

// Returns why a version that fails from the step to `share` on would exceed the exposure limit, or
// an empty string.
std::string exposure_excess(const move& value, const evidence_pool& pool, const schedule& plan,
                            const std::optional<exposure_limit>& limit, int share, time_point now) {
  if (!limit) {
    return {};
  }
  exposure_forecast forecast = forecast_of(value, pool, *limit, now);
  const double new_calls_per_second =
      std::max(1.0, forecast.calls_per_second * share / share_steps_permille.back());
  const duration time_to_detect{std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(calls_to_detect / new_calls_per_second))};
  forecast.reaction_time =
      rollback_delay + mean_latency_of(pool.total_of(value.to)) + time_to_detect;
  const bool is_full = share == share_steps_permille.back();
  const double fraction = !plan.has_time_for(share, now) ? late_exposure
                          : is_full                      ? planned_full_share_exposure
                                                         : planned_exposure;
  if (forecast.allows_step(share, fraction)) {
    return {};
  }
  return "exposure: a fault at " + std::to_string(share) + " permille would reach " +
         std::to_string(static_cast<int>(forecast.calls_after_fault_at(share))) + " calls of " +
         std::to_string(static_cast<int>(forecast.allowed_calls())) + " allowed";
}

// Returns why the new version lacks the capacity for `share`, or an empty string.
std::string capacity_shortage(const move& value, const evidence_pool& pool, int share) {
  const version_capacity new_capacity = pool.capacity_of(value.to);
  const version_capacity old_capacity = pool.capacity_of(value.from);
  const double demand =
      (new_capacity.mean_in_flight + old_capacity.mean_in_flight) * share / 1000.0;
  if (new_capacity.upstreams == 0) {
    return "no upstream of the new version has reported";
  }
  if (demand <= new_capacity.limit * limit_growth_factor) {
    return {};
  }
  return "capacity: the new version sustains " +
         std::to_string(static_cast<int>(new_capacity.limit)) +
         " concurrent requests, the next step needs " + std::to_string(static_cast<int>(demand));
}

judgement wait_judgement(std::string reason, const move& value, const schedule& plan,
                         time_point now) {
  const bool is_late = !plan.has_time_for(plan.next_share(value.share_permille), now);
  return {judgement_kind::wait, 0, std::move(reason), is_late};
}

// Judges a move whose new version has no calls yet.
judgement judge_start(const move& value, const evidence_pool& pool, const schedule& plan,
                      const std::optional<exposure_limit>& limit, time_point step_started_at,
                      time_point now) {
  const std::string shortage = capacity_shortage(value, pool, share_steps_permille.front());
  if (!shortage.empty()) {
    return wait_judgement(shortage, value, plan, now);
  }
  if (now - step_started_at < traffic_measurement_time) {
    return wait_judgement("measuring the traffic", value, plan, now);
  }
  const int share =
      limit ? limited_first_share(forecast_of(value, pool, *limit, now), plan.hold_end() - now)
            : first_share(value, pool, now - step_started_at);
  return {judgement_kind::step, share, "first step", false};
}

} // namespace

duration step_time(const move& value) {
  const duration total = value.deadline - value.started;
  return std::clamp(duration{total / 12}, duration{min_step_time},
                    duration{std::chrono::minutes{10}});
}

duration observation_time(const move& value) {
  return 3 * step_time(value);
}

judgement judge_move(const move& value, const evidence_pool& pool, std::size_t poison_requests,
                     time_point step_started_at, time_point now,
                     const std::optional<exposure_limit>& limit) {
  const schedule plan(value, limit.has_value(), mean_latency_of(pool.total_of(value.from)));
  const std::string fault = find_fault(value, pool, poison_requests);
  if (!fault.empty()) {
    return {judgement_kind::brake, 0, fault, false};
  }
  const bool is_in_time = now < value.deadline;
  if (value.share_permille == 0 && is_in_time) {
    return judge_start(value, pool, plan, limit, step_started_at, now);
  }
  if (plan.is_held(value.share_permille) && now < plan.hold_end()) {
    return wait_judgement("the share is held while time is left", value, plan, now);
  }
  const bool is_full_share = value.share_permille == share_steps_permille.back();
  const std::string route_lacking_calls =
      is_full_share ? "" : route_without_evidence(value, pool, plan, now);
  const bool is_step_over = now - step_started_at >= plan.min_time_at(value.share_permille);
  if (is_step_over && route_lacking_calls.empty()) {
    if (is_full_share) {
      return {judgement_kind::done, 0, "full share held without a fault", now > value.deadline};
    }
    const int share = plan.next_share(value.share_permille);
    std::string obstacle = capacity_shortage(value, pool, share);
    if (obstacle.empty()) {
      obstacle = exposure_excess(value, pool, plan, limit, share, now);
    }
    if (obstacle.empty()) {
      return {judgement_kind::step, share, "evidence is sufficient", false};
    }
    if (is_in_time) {
      return wait_judgement(obstacle, value, plan, now);
    }
  }
  if (!is_in_time && !is_full_share) {
    return {judgement_kind::brake, 0,
            "the stated time has passed at " + std::to_string(value.share_permille) + " permille" +
                (route_lacking_calls.empty() ? "" : ": too few calls on " + route_lacking_calls),
            true};
  }
  return wait_judgement(route_lacking_calls.empty()
                            ? "the minimum time of the step has not passed"
                            : "evidence: too few calls on " + route_lacking_calls,
                        value, plan, now);
}

judgement judge_move_at_once(const move& value, const evidence_pool& pool, time_point now) {
  cell_totals all;
  for (const auto& [route, cell] : pool.totals(value.to, 0)) {
    all.calls += cell.calls;
    all.errors += cell.errors;
  }
  if (value.share_permille == 0) {
    return {judgement_kind::step, share_steps_permille.back(), "all at once", false};
  }
  const double errors = static_cast<double>(all.errors);
  if (all.calls >= min_step_calls &&
      errors > value.limits.max_error_increase * static_cast<double>(all.calls)) {
    return {judgement_kind::brake, 0, "error rate is above the limit", false};
  }
  if (now >= value.deadline) {
    return {judgement_kind::done, 0, "the stated time has passed", false};
  }
  return {judgement_kind::wait, 0, "", false};
}

} // namespace arbutuslb::core::moves
