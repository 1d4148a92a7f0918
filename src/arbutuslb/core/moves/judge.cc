#include "arbutuslb/core/moves/judge.h"

#include <algorithm>
#include <cmath>

namespace arbutuslb::core::moves {
namespace {

using config::move;

// Standard deviations that a difference must stand out by. Each of the two intervals compared is
// this wide.
constexpr double confidence_z = 3.0;
constexpr double latency_z = 4.0;
// The part of calls that may be slower than the old version's slow calls before it is a fault.
constexpr double max_slow_increase = 0.10;
constexpr double slow_quantile = 0.9;
// Deaths of the new version's upstreams that are a fault beyond those of poison requests.
constexpr std::uint64_t max_unexplained_deaths = 3;
// The new version's limits grow as they are used; a step may use up to this multiple.
constexpr double limit_headroom = 2.0;

struct comparison {
  const move& judged;
  const std::string& route;
  const cell_totals& before;
  const cell_totals& after;
};

std::string percent(std::uint64_t part, std::uint64_t whole) {
  const double value =
      whole == 0 ? 0.0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
  return std::to_string(static_cast<int>(std::lround(value))) + "%";
}

std::string error_fault(const comparison& of) {
  if (of.after.errors < min_errors) {
    return {};
  }
  const proportion_interval before =
      wilson_interval(of.before.errors, of.before.calls, confidence_z);
  const proportion_interval after = wilson_interval(of.after.errors, of.after.calls, confidence_z);
  // Without calls of the old version to compare with, a plain majority of errors is a fault.
  const double allowed = of.before.calls == 0 ? 0.5 : before.high;
  if (after.low <= std::min(0.9, allowed + of.judged.limits.max_error_increase)) {
    return {};
  }
  return "errors on route " + of.route + ": " + percent(of.after.errors, of.after.calls) + " of " +
         std::to_string(of.after.calls) + " calls, against " +
         percent(of.before.errors, of.before.calls) + " before";
}

struct log_latency {
  double mean = 0;
  double variance = 0;
};

log_latency log_latency_of(const cell_totals& cell) {
  const double bucket_width = std::log(2.0) / 2.0;
  double sum = 0;
  double squares = 0;
  for (std::size_t i = 0; i < cell.latency.size(); ++i) {
    const double value = static_cast<double>(i) * bucket_width;
    sum += value * static_cast<double>(cell.latency[i]);
    squares += value * value * static_cast<double>(cell.latency[i]);
  }
  const double count = std::max(1.0, static_cast<double>(cell.calls));
  const double mean = sum / count;
  return {mean, std::max(bucket_width * bucket_width, squares / count - mean * mean)};
}

std::string mean_latency_fault(const comparison& of) {
  const log_latency before = log_latency_of(of.before);
  const log_latency after = log_latency_of(of.after);
  const double error = std::sqrt(before.variance / static_cast<double>(of.before.calls) +
                                 after.variance / static_cast<double>(of.after.calls));
  const double difference = after.mean - before.mean;
  if (difference - latency_z * error <= std::log(of.judged.limits.max_latency_ratio)) {
    return {};
  }
  return "latency on route " + of.route + ": " + std::to_string(std::exp(difference)).substr(0, 4) +
         " times that of the old version over " + std::to_string(of.after.calls) + " calls";
}

std::uint64_t calls_from(const cell_totals& cell, std::size_t first_bucket) {
  std::uint64_t count = 0;
  for (std::size_t i = first_bucket; i < cell.latency.size(); ++i) {
    count += cell.latency[i];
  }
  return count;
}

// Finds versions that are slow for a part of their calls only.
std::string slow_share_fault(const comparison& of) {
  std::uint64_t faster = 0;
  std::size_t quantile = 0;
  while (quantile + 1 < of.before.latency.size()) {
    faster += of.before.latency[quantile];
    if (static_cast<double>(faster) >= slow_quantile * static_cast<double>(of.before.calls)) {
      break;
    }
    ++quantile;
  }
  const double ratio_buckets = std::ceil(std::log2(of.judged.limits.max_latency_ratio) * 2.0);
  const std::size_t slow = quantile + 1 + static_cast<std::size_t>(ratio_buckets);
  const std::uint64_t slow_before = calls_from(of.before, slow);
  const std::uint64_t slow_after = calls_from(of.after, slow);
  const proportion_interval before = wilson_interval(slow_before, of.before.calls, confidence_z);
  const proportion_interval after = wilson_interval(slow_after, of.after.calls, confidence_z);
  if (after.low <= before.high + max_slow_increase) {
    return {};
  }
  return "slow calls on route " + of.route + ": " + percent(slow_after, of.after.calls) +
         ", against " + percent(slow_before, of.before.calls) + " before";
}

std::string latency_fault(const comparison& of) {
  if (of.before.calls < min_route_calls || of.after.calls < min_route_calls) {
    return {};
  }
  const std::string fault = mean_latency_fault(of);
  return fault.empty() ? slow_share_fault(of) : fault;
}

using totals_by_route = std::map<std::string, cell_totals>;

// Returns the fault of the first route that shows one, or an empty string.
std::string fault_between(const move& value, const totals_by_route& before,
                          const totals_by_route& after) {
  const cell_totals none;
  for (const auto& [route, cell] : after) {
    const totals_by_route::const_iterator old = before.find(route);
    const comparison of{value, route, old == before.end() ? none : old->second, cell};
    std::string fault = error_fault(of);
    if (fault.empty()) {
      fault = latency_fault(of);
    }
    if (!fault.empty()) {
      return fault;
    }
  }
  return {};
}

// The old version's recent totals, or all of them where it has had too few calls lately.
totals_by_route recent_baseline(const move& value, const evidence_pool& pool) {
  totals_by_route baseline = pool.totals(value.from, 0);
  for (const auto& [route, cell] : pool.recent_totals(value.from)) {
    if (cell.calls >= min_step_calls) {
      baseline[route] = cell;
    }
  }
  return baseline;
}

std::uint64_t deaths_of(const evidence_pool& pool, const std::string& version) {
  std::uint64_t deaths = 0;
  for (const auto& [route, cell] : pool.totals(version, 0)) {
    deaths += cell.deaths;
  }
  return deaths;
}

std::string death_fault(const move& value, const evidence_pool& pool, std::size_t poison_requests) {
  const std::uint64_t after = deaths_of(pool, value.to);
  const std::uint64_t before = deaths_of(pool, value.from);
  const std::uint64_t explained = before + 2 * poison_requests;
  if (after < explained + max_unexplained_deaths) {
    return {};
  }
  return "upstreams of the new version died " + std::to_string(after) + " times";
}

// At full share the old version has no calls to compare with: the watched step stays in view.
int comparison_start(const move& value) {
  return std::min(value.share_permille, watched_share_permille);
}

std::string find_fault(const move& value, const evidence_pool& pool, std::size_t poison_requests) {
  for (const int lowest : {comparison_start(value), 0}) {
    const std::string fault =
        fault_between(value, pool.totals(value.from, lowest), pool.totals(value.to, lowest));
    if (!fault.empty()) {
      return fault;
    }
  }
  const std::string fault =
      fault_between(value, recent_baseline(value, pool), pool.recent_totals(value.to));
  return fault.empty() ? death_fault(value, pool, poison_requests) : fault;
}

// Returns the route that lacks calls, or an empty string.
std::string route_without_evidence(const move& value, const evidence_pool& pool) {
  std::uint64_t calls_at_step = 0;
  for (const auto& [route, cell] : pool.totals(value.to, comparison_start(value))) {
    calls_at_step += cell.calls;
  }
  if (calls_at_step < min_step_calls) {
    return "any route";
  }
  if (value.share_permille < route_evidence_permille) {
    return {};
  }
  const totals_by_route after = pool.totals(value.to, 0);
  for (const auto& [route, cell] : pool.totals(value.from, 0)) {
    const totals_by_route::const_iterator found = after.find(route);
    const std::uint64_t calls = found == after.end() ? 0 : found->second.calls;
    if (cell.calls >= min_route_calls && calls < min_step_calls) {
      return route;
    }
  }
  return {};
}

int next_share(int share) {
  for (const int step : share_steps_permille) {
    if (step > share) {
      return step;
    }
  }
  return share_steps_permille.back();
}

// The share at which the first step's evidence comes in within the step's time.
int first_share(const move& value, const evidence_pool& pool, duration measured) {
  std::uint64_t calls = 0;
  for (const auto& [route, cell] : pool.recent_totals(value.from)) {
    calls += cell.calls;
  }
  const duration window = std::min<duration>(measured, recent_window);
  const double rate = static_cast<double>(calls) / std::chrono::duration<double>(window).count();
  const double offered = rate * std::chrono::duration<double>(step_time(value)).count();
  constexpr double permille = 1000.0;
  const double share = permille * static_cast<double>(min_step_calls) / std::max(1.0, offered);
  return std::clamp(static_cast<int>(std::ceil(share)), share_steps_permille.front(),
                    max_first_share_permille);
}

duration time_needed_from(const move& value, int share) {
  duration needed{};
  for (const int step : share_steps_permille) {
    if (step >= share) {
      needed += step == watched_share_permille ? watch_time(value) : step_time(value);
    }
  }
  return needed;
}

// Returns why the new version cannot bear `share`, or an empty string.
std::string capacity_shortage(const move& value, const evidence_pool& pool, int share) {
  const version_capacity after = pool.capacity_of(value.to);
  const version_capacity before = pool.capacity_of(value.from);
  const double demand = (after.mean_in_flight + before.mean_in_flight) * share / 1000.0;
  if (after.upstreams == 0) {
    return "no upstream of the new version has reported";
  }
  if (demand <= after.limit * limit_headroom) {
    return {};
  }
  return "capacity: the new version bears " + std::to_string(static_cast<int>(after.limit)) +
         " requests at once, the next step needs " + std::to_string(static_cast<int>(demand));
}

judgement wait_because(std::string reason, const move& value, time_point now) {
  const bool is_late =
      now + time_needed_from(value, next_share(value.share_permille)) > value.deadline;
  return {judgement_kind::wait, 0, std::move(reason), is_late};
}

} // namespace

proportion_interval wilson_interval(std::uint64_t hits, std::uint64_t trials, double z) {
  if (trials == 0) {
    return {};
  }
  const double n = static_cast<double>(trials);
  const double p = static_cast<double>(hits) / n;
  const double z2 = z * z;
  const double centre = (p + z2 / (2 * n)) / (1 + z2 / n);
  const double half = z / (1 + z2 / n) * std::sqrt(p * (1 - p) / n + z2 / (4 * n * n));
  return {std::max(0.0, centre - half), std::min(1.0, centre + half)};
}

duration step_time(const move& value) {
  const duration total = value.deadline - value.started;
  return std::clamp(duration{total / 12}, duration{min_step_time},
                    duration{std::chrono::minutes{10}});
}

duration watch_time(const move& value) {
  return 3 * step_time(value);
}

judgement judge_move(const move& value, const evidence_pool& pool, std::size_t poison_requests,
                     time_point step_started_at, time_point now) {
  const std::string fault = find_fault(value, pool, poison_requests);
  if (!fault.empty()) {
    return {judgement_kind::brake, 0, fault, false};
  }
  if (value.share_permille == 0) {
    const std::string shortage = capacity_shortage(value, pool, share_steps_permille.front());
    if (!shortage.empty() && now < value.deadline) {
      return wait_because(shortage, value, now);
    }
    if (now < value.deadline && now - step_started_at < first_step_wait) {
      return wait_because("measuring the traffic", value, now);
    }
    if (now < value.deadline) {
      return {judgement_kind::step, first_share(value, pool, now - step_started_at), "first step",
              false};
    }
  }
  const bool is_watched = value.share_permille == watched_share_permille;
  const bool is_full = value.share_permille == share_steps_permille.back();
  const duration needed_time = is_watched ? watch_time(value) : step_time(value);
  const std::string lacking = is_full ? "" : route_without_evidence(value, pool);
  if (now - step_started_at >= needed_time && lacking.empty()) {
    if (is_full) {
      return {judgement_kind::done, 0, "full share held without a fault", now > value.deadline};
    }
    const int share = next_share(value.share_permille);
    const std::string shortage = capacity_shortage(value, pool, share);
    if (shortage.empty()) {
      return {judgement_kind::step, share, "evidence is sufficient", false};
    }
    if (now < value.deadline) {
      return wait_because(shortage, value, now);
    }
  }
  if (now >= value.deadline && !is_full) {
    return {judgement_kind::brake, 0,
            "the stated time has passed at " + std::to_string(value.share_permille) + " permille" +
                (lacking.empty() ? "" : ": too few calls on " + lacking),
            true};
  }
  return wait_because(lacking.empty() ? "step time" : "evidence: too few calls on " + lacking,
                      value, now);
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
    return {judgement_kind::brake, 0, "errors", false};
  }
  if (now >= value.deadline) {
    return {judgement_kind::done, 0, "the stated time has come", false};
  }
  return {judgement_kind::wait, 0, "", false};
}

} // namespace arbutuslb::core::moves
