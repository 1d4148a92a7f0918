#include "arbutuslb/core/moves/fault.h"

#include "arbutuslb/core/moves/judge.h"

#include <algorithm>
#include <cmath>

namespace arbutuslb::core::moves {
namespace {

using config::move;

// Half width, in standard deviations, of both confidence intervals in a comparison. A difference is
// significant if the lower bound of the new version exceeds the upper bound of the old version by
// more than the allowed increase.
constexpr double confidence_z = 3.0;
// Half width of the confidence interval of a difference, and the errors that it requires.
constexpr double difference_z = 4.0;
constexpr std::uint64_t min_errors_on_few_calls = 5;
// The mean latency is a fault if it exceeds the allowed one by more than this many standard errors.
constexpr double latency_z = 4.0;
// Increase of the fraction of slow calls that is not a fault.
constexpr double max_slow_increase = 0.10;
// Calls are slow if they take longer than the allowed latency ratio times this quantile of the old
// version's latency.
constexpr double slow_quantile = 0.9;
// Increase of the fraction of late calls that is not a fault.
constexpr double max_late_increase = 0.10;
// Deaths of the new version's upstreams are a fault if they exceed the sum of the old version's
// deaths and the deaths explained by poison requests by at least this number.
constexpr std::uint64_t unexplained_deaths_threshold = 3;

struct comparison {
  const move& tested_move;
  const std::string& route;
  const cell_totals& old_totals;
  const cell_totals& new_totals;
};

std::string percent(std::uint64_t numerator, std::uint64_t denominator) {
  const double value =
      denominator == 0 ? 0.0
                       : 100.0 * static_cast<double>(numerator) / static_cast<double>(denominator);
  return std::to_string(static_cast<int>(std::lround(value))) + "%";
}

// Returns the lower bound of the difference of the error rates (Newcombe's hybrid score interval).
// With few calls it is tighter than two separate intervals.
double lowest_error_increase(const comparison& compared) {
  const auto rate = [](const cell_totals& cell) {
    return static_cast<double>(cell.errors) / static_cast<double>(cell.calls);
  };
  const double old_rate = rate(compared.old_totals);
  const double new_rate = rate(compared.new_totals);
  const double below =
      new_rate -
      wilson_interval(compared.new_totals.errors, compared.new_totals.calls, difference_z).low;
  const double above =
      wilson_interval(compared.old_totals.errors, compared.old_totals.calls, difference_z).high -
      old_rate;
  return new_rate - old_rate - std::hypot(below, above);
}

// Returns whether the new version fails more often, by a test that suits few calls.
bool has_more_errors(const comparison& compared) {
  return compared.new_totals.errors >= min_errors_on_few_calls &&
         compared.old_totals.calls >= min_route_calls &&
         lowest_error_increase(compared) > compared.tested_move.limits.max_error_increase;
}

std::string describe_errors(const comparison& compared) {
  return "errors on route " + compared.route + ": " +
         percent(compared.new_totals.errors, compared.new_totals.calls) + " of " +
         std::to_string(compared.new_totals.calls) + " calls, against " +
         percent(compared.old_totals.errors, compared.old_totals.calls) + " on the old version";
}

std::string error_fault(const comparison& compared) {
  if (compared.new_totals.errors < min_errors) {
    return {};
  }
  const proportion_interval old_interval =
      wilson_interval(compared.old_totals.errors, compared.old_totals.calls, confidence_z);
  const proportion_interval new_interval =
      wilson_interval(compared.new_totals.errors, compared.new_totals.calls, confidence_z);
  // If the old version has no calls on the route, an error rate significantly above one half (plus
  // the allowed increase) is a fault.
  const double allowed = compared.old_totals.calls == 0 ? 0.5 : old_interval.high;
  const double increase = compared.tested_move.limits.max_error_increase;
  const bool is_apart = new_interval.low > std::min(0.9, allowed + increase);
  return is_apart || has_more_errors(compared) ? describe_errors(compared) : std::string{};
}

// Mean and variance of the natural logarithm of the latency, computed from the histogram.
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

std::string mean_latency_fault(const comparison& compared) {
  const log_latency old_latency = log_latency_of(compared.old_totals);
  const log_latency new_latency = log_latency_of(compared.new_totals);
  const double standard_error =
      std::sqrt(old_latency.variance / static_cast<double>(compared.old_totals.calls) +
                new_latency.variance / static_cast<double>(compared.new_totals.calls));
  const double difference = new_latency.mean - old_latency.mean;
  if (difference - latency_z * standard_error <=
      std::log(compared.tested_move.limits.max_latency_ratio)) {
    return {};
  }
  return "latency on route " + compared.route + ": " +
         std::to_string(std::exp(difference)).substr(0, 4) +
         " times that of the old version over " + std::to_string(compared.new_totals.calls) +
         " calls";
}

std::uint64_t calls_at_or_above(const cell_totals& cell, std::size_t first_bucket) {
  std::uint64_t count = 0;
  for (std::size_t i = first_bucket; i < cell.latency.size(); ++i) {
    count += cell.latency[i];
  }
  return count;
}

// Finds new versions that are slow only for some of their calls, which the mean may not show.
std::string slow_share_fault(const comparison& compared) {
  std::uint64_t faster = 0;
  std::size_t quantile = 0;
  while (quantile + 1 < compared.old_totals.latency.size()) {
    faster += compared.old_totals.latency[quantile];
    if (static_cast<double>(faster) >=
        slow_quantile * static_cast<double>(compared.old_totals.calls)) {
      break;
    }
    ++quantile;
  }
  const double ratio_buckets =
      std::ceil(std::log2(compared.tested_move.limits.max_latency_ratio) * 2.0);
  const std::size_t first_slow_bucket = quantile + 1 + static_cast<std::size_t>(ratio_buckets);
  const std::uint64_t old_slow_calls = calls_at_or_above(compared.old_totals, first_slow_bucket);
  const std::uint64_t new_slow_calls = calls_at_or_above(compared.new_totals, first_slow_bucket);
  const proportion_interval old_interval =
      wilson_interval(old_slow_calls, compared.old_totals.calls, confidence_z);
  const proportion_interval new_interval =
      wilson_interval(new_slow_calls, compared.new_totals.calls, confidence_z);
  if (new_interval.low <= old_interval.high + max_slow_increase) {
    return {};
  }
  return "slow calls on route " + compared.route + ": " +
         percent(new_slow_calls, compared.new_totals.calls) + ", against " +
         percent(old_slow_calls, compared.old_totals.calls) + " on the old version";
}

// Finds new versions that are slow by their late calls, which count as soon as they are late.
std::string late_fault(const comparison& compared) {
  if (compared.new_totals.late < min_errors || compared.old_totals.calls < min_route_calls) {
    return {};
  }
  const proportion_interval old_interval =
      wilson_interval(compared.old_totals.late, compared.old_totals.calls, confidence_z);
  const proportion_interval new_interval =
      wilson_interval(compared.new_totals.late, compared.new_totals.calls, confidence_z);
  if (new_interval.low <= old_interval.high + max_late_increase) {
    return {};
  }
  return "late calls on route " + compared.route + ": " +
         percent(compared.new_totals.late, compared.new_totals.calls) + " of " +
         std::to_string(compared.new_totals.calls) + ", against " +
         percent(compared.old_totals.late, compared.old_totals.calls) + " on the old version";
}

std::string latency_fault(const comparison& compared) {
  if (compared.old_totals.calls < min_route_calls || compared.new_totals.calls < min_route_calls) {
    return {};
  }
  const std::string fault = mean_latency_fault(compared);
  return fault.empty() ? slow_share_fault(compared) : fault;
}

using totals_by_route = std::map<std::string, cell_totals>;

// Returns a description of the fault of the first route that has one, or an empty string.
std::string fault_between(const move& value, const totals_by_route& old_totals,
                          const totals_by_route& new_totals) {
  const cell_totals no_calls;
  for (const auto& [route, cell] : new_totals) {
    const totals_by_route::const_iterator found = old_totals.find(route);
    const comparison compared{value, route, found == old_totals.end() ? no_calls : found->second,
                              cell};
    std::string fault = error_fault(compared);
    if (fault.empty()) {
      fault = late_fault(compared);
    }
    if (fault.empty()) {
      fault = latency_fault(compared);
    }
    if (!fault.empty()) {
      return fault;
    }
  }
  return {};
}

// Returns the old version's recent totals, or its totals of the whole move on routes with fewer
// than `min_step_calls` recent calls.
totals_by_route recent_baseline(const move& value, const evidence_pool& pool) {
  totals_by_route baseline = pool.totals(value.from, 0);
  for (const auto& [route, cell] : pool.recent_totals(value.from)) {
    if (cell.calls >= min_step_calls) {
      baseline[route] = cell;
    }
  }
  return baseline;
}

// Compares the errors over every window that ends now and begins at a checkpoint, on the routes
// that the old version has executed calls of within it.
std::string recent_error_fault(const move& value, const evidence_pool& pool) {
  for (std::size_t i = 0; i < pool.checkpoint_count(); ++i) {
    const totals_by_route old_totals = pool.totals_since_checkpoint(value.from, i);
    for (const auto& [route, cell] : pool.totals_since_checkpoint(value.to, i)) {
      const totals_by_route::const_iterator found = old_totals.find(route);
      if (found == old_totals.end()) {
        continue;
      }
      const comparison compared{value, route, found->second, cell};
      if (has_more_errors(compared)) {
        return describe_errors(compared);
      }
    }
  }
  return {};
}

std::uint64_t deaths_of(const evidence_pool& pool, const std::string& version) {
  std::uint64_t deaths = 0;
  for (const auto& [route, cell] : pool.totals(version, 0)) {
    deaths += cell.deaths;
  }
  return deaths;
}

std::string death_fault(const move& value, const evidence_pool& pool, std::size_t poison_requests) {
  const std::uint64_t new_deaths = deaths_of(pool, value.to);
  const std::uint64_t old_deaths = deaths_of(pool, value.from);
  const std::uint64_t explained = old_deaths + 2 * poison_requests;
  if (new_deaths < explained + unexplained_deaths_threshold) {
    return {};
  }
  return "upstreams of the new version died " + std::to_string(new_deaths) + " times";
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

duration mean_latency_of(const cell_totals& cell) {
  constexpr double first_bucket_us = 250.0;
  return duration{
      static_cast<duration::rep>(first_bucket_us * std::exp(log_latency_of(cell).mean))};
}

int comparison_share(const move& value) {
  return std::min(value.share_permille, observation_share_permille);
}

std::string find_fault(const move& value, const evidence_pool& pool, std::size_t poison_requests) {
  for (const int lowest : {comparison_share(value), 0}) {
    const std::string fault =
        fault_between(value, pool.totals(value.from, lowest), pool.totals(value.to, lowest));
    if (!fault.empty()) {
      return fault;
    }
  }
  std::string fault =
      fault_between(value, recent_baseline(value, pool), pool.recent_totals(value.to));
  if (fault.empty()) {
    fault = recent_error_fault(value, pool);
  }
  return fault.empty() ? death_fault(value, pool, poison_requests) : fault;
}

} // namespace arbutuslb::core::moves
