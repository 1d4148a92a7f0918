#include "arbutuslb/core/gateway/peer_directory.h"

#include "arbutuslb/core/base/hash.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace arbutuslb::core::gateway {
namespace {

// The part of a request's value that it costs to leave the failure domain: for itself, and for each
// kilobyte of it and its answer.
constexpr double domain_crossing_cost = 0.02;
constexpr double crossing_cost_per_kilobyte = 0.035;
constexpr double kilobyte = 1000.0;
// Expected times below this part of the target latency carry no risk of being late.
constexpr double safe_latency_fraction = 0.35;
// Risk of an upstream's failing answers, for each permille of them.
constexpr double failure_cost = 0.0015;
constexpr double silent_cost = 10.0;
// Choices whose risks differ by less than this are equally good.
constexpr double equal_risk = 0.03;
constexpr std::chrono::milliseconds first_unreachable_pause{300};
constexpr std::chrono::milliseconds max_unreachable_pause{2400};
constexpr std::chrono::milliseconds default_latency{60};

std::optional<duration> route_mean(const peer_report& report, std::uint32_t route_hash) {
  for (const route_latency& item : report.routes) {
    if (item.route_hash == route_hash && item.mean > duration::zero()) {
      return item.mean;
    }
  }
  return std::nullopt;
}

} // namespace

peer_directory::peer_directory(std::string local_domain, std::string own_host)
    : local_domain_(std::move(local_domain)), own_host_(std::move(own_host)) {}

peer_directory::merge_result peer_directory::merge(const peer_report& report, time_point now) {
  peer& known = peers_[report.host];
  const bool is_new = known.report.process_epoch != report.process_epoch;
  if (report.process_epoch < known.report.process_epoch ||
      (!is_new && report.sequence <= known.report.sequence && known.report.sequence != 0)) {
    return {};
  }
  const peer_report& before = known.report;
  const bool is_changed =
      is_new || before.is_usable != report.is_usable || before.instance_id != report.instance_id ||
      before.is_stopping != report.is_stopping || (before.cold_rate > 0) != (report.cold_rate > 0);
  if (is_changed) {
    known.closed_until = {};
    known.refused_until = {};
    known.failures_in_row = 0;
  }
  const peer_report last = std::exchange(known.report, report);
  if (report.routes.empty() && last.instance_id == report.instance_id) {
    // A fresh daemon beside the same upstream: what its predecessor measured still holds.
    known.report.routes = last.routes;
  }
  known.heard_at = std::max(known.heard_at, now);
  known.own_requests_counted = known.own_requests;
  return {is_new, is_changed};
}

void peer_directory::forget_silent(time_point now) {
  std::erase_if(peers_, [&](const auto& item) {
    return now - item.second.heard_at > peer_memory && item.second.own_requests == 0;
  });
}

bool peer_directory::is_live(const peer& candidate, time_point now) const {
  return now - candidate.heard_at < peer_silence_limit;
}

duration peer_directory::usual_latency(const upstream_query& query) const {
  duration sum{};
  int count = 0;
  for (const auto& [host, candidate] : peers_) {
    const std::optional<duration> mean = candidate.report.service == query.service
                                             ? route_mean(candidate.report, query.route_hash)
                                             : std::nullopt;
    if (mean) {
      sum += *mean;
      ++count;
    }
  }
  if (count > 0) {
    return sum / count;
  }
  const duration of_service = mean_latency(query.service);
  return of_service > duration::zero() ? of_service : duration{default_latency};
}

double peer_directory::risk_of(const peer& candidate, const upstream_query& query, duration usual,
                               time_point now) const {
  const peer_report& report = candidate.report;
  const duration service_time = route_mean(report, query.route_hash).value_or(usual);
  const int unseen = std::max(0, candidate.own_requests - candidate.own_requests_counted);
  const double limit = std::max(1, report.limit);
  const double load = report.in_flight + report.waiting + unseen;
  const double excess = std::max(0.0, load + 1.0 - limit);
  const double mean = static_cast<double>(std::max(report.mean_latency, duration{1}).count());
  double expected = static_cast<double>(service_time.count()) + mean * excess / limit;
  if (report.cold_rate > 0) {
    // A cold upstream is slow and bears little: its queue counts by its rate.
    constexpr double microseconds = 1e6;
    expected += microseconds * load / std::max(1.0, report.cold_rate);
  }
  const double target = static_cast<double>(std::max(query.target_latency, duration{1000}).count());
  const double lateness = std::max(0.0, expected / target - safe_latency_fraction);
  const double utilization = std::min(1.0, load / limit);
  double risk = lateness * lateness + 0.06 * utilization * utilization;
  risk += failure_cost * report.failed_permille;
  if (report.domain != local_domain_) {
    risk += domain_crossing_cost +
            crossing_cost_per_kilobyte * static_cast<double>(query.size) / kilobyte;
  }
  risk += is_live(candidate, now) ? 0.0 : silent_cost;
  return risk;
}

std::optional<std::string> peer_directory::choose(const upstream_query& query,
                                                  const std::set<std::string>& closed,
                                                  time_point now, random_source& random) {
  std::optional<std::string> best;
  double best_risk = 0;
  const duration usual = usual_latency(query);
  for (const auto& [host, candidate] : peers_) {
    const peer_report& report = candidate.report;
    const bool is_possible =
        report.service == query.service && report.is_usable && !report.is_stopping &&
        !closed.contains(report.domain) && now >= candidate.closed_until &&
        (query.allows_silent || is_live(candidate, now)) && query.allows_version(report.version);
    if (!is_possible ||
        std::find(query.tried.begin(), query.tried.end(), host) != query.tried.end()) {
      continue;
    }
    if (!query.allows_refused && now < candidate.refused_until &&
        query.rank >= candidate.refused_rank) {
      continue;
    }
    const double risk = risk_of(candidate, query, usual, now) + equal_risk * random.fraction();
    if (!best || risk < best_risk) {
      best = host;
      best_risk = risk;
    }
  }
  return best;
}

void peer_directory::on_sent(const std::string& host) {
  const auto found = peers_.find(host);
  if (found != peers_.end()) {
    ++found->second.own_requests;
  }
}

void peer_directory::on_ended(const std::string& host) {
  const auto found = peers_.find(host);
  if (found != peers_.end()) {
    found->second.own_requests = std::max(0, found->second.own_requests - 1);
    found->second.own_requests_counted =
        std::min(found->second.own_requests_counted, found->second.own_requests);
  }
}

void peer_directory::on_load(const std::string& host, int in_flight, int waiting, time_point now) {
  const auto found = peers_.find(host);
  if (found == peers_.end()) {
    return;
  }
  found->second.report.in_flight = in_flight;
  found->second.report.waiting = waiting;
  found->second.own_requests_counted = found->second.own_requests;
  found->second.heard_at = now;
}

void peer_directory::on_unreachable(const std::string& host, time_point now) {
  const auto found = peers_.find(host);
  if (found == peers_.end()) {
    return;
  }
  const int doublings = std::min(found->second.failures_in_row++, 3);
  found->second.closed_until =
      now + std::min<duration>(first_unreachable_pause * (1 << doublings), max_unreachable_pause);
}

void peer_directory::on_reachable(const std::string& host) {
  const auto found = peers_.find(host);
  if (found != peers_.end()) {
    found->second.failures_in_row = 0;
  }
}

void peer_directory::on_refused(const std::string& host, int rank, time_point until,
                                time_point now) {
  const auto found = peers_.find(host);
  if (found == peers_.end()) {
    return;
  }
  peer& value = found->second;
  value.refused_rank = now < value.refused_until ? std::min(value.refused_rank, rank) : rank;
  value.refused_until = std::max(value.refused_until, until);
}

bool peer_directory::is_heard_since(const std::string& host, time_point since) const {
  const auto found = peers_.find(host);
  return found != peers_.end() && found->second.heard_at >= since;
}

duration peer_directory::mean_latency(std::string_view service) const {
  duration sum{};
  int count = 0;
  for (const auto& [host, candidate] : peers_) {
    if (candidate.report.service == service && candidate.report.is_usable) {
      sum += candidate.report.mean_latency;
      ++count;
    }
  }
  return count == 0 ? duration{} : sum / count;
}

bool peer_directory::has_usable(std::string_view service, time_point now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    return item.second.report.service == service && item.second.report.is_usable &&
           is_live(item.second, now);
  });
}

std::size_t peer_directory::live_count(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(), [&](const auto& item) { return is_live(item.second, now); }));
}

std::optional<std::string> peer_directory::peer_ahead(std::uint64_t end_offset, bool allows_far,
                                                      time_point now, random_source& random) const {
  std::vector<std::string> ahead;
  for (const auto& [host, candidate] : peers_) {
    const bool is_near = candidate.report.domain == local_domain_;
    if (host != own_host_ && is_live(candidate, now) && (is_near || allows_far) &&
        candidate.report.operator_log_end > end_offset) {
      ahead.push_back(host);
    }
  }
  return ahead.empty() ? std::nullopt
                       : std::optional<std::string>(ahead[random.below(ahead.size())]);
}

std::string peer_directory::oldest_version(std::string_view service) const {
  const peer_report* oldest = nullptr;
  for (const auto& [host, candidate] : peers_) {
    const peer_report& report = candidate.report;
    if (report.service == service && !report.instance_id.empty() &&
        (oldest == nullptr || report.upstream_started_ms < oldest->upstream_started_ms)) {
      oldest = &report;
    }
  }
  return oldest == nullptr ? "" : oldest->version;
}

bool peer_directory::has_version(std::string_view service, std::string_view version,
                                 time_point now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    const peer_report& report = item.second.report;
    return report.service == service && report.version == version && report.is_usable &&
           is_live(item.second, now);
  });
}

std::vector<std::string> peer_directory::role_holders(std::string_view role,
                                                      const std::string& domain, std::size_t count,
                                                      time_point now) const {
  const std::uint64_t key = hash_bytes(role);
  using rank = std::tuple<bool, int, std::uint64_t, std::string>;
  std::vector<rank> ranks;
  for (const auto& [host, candidate] : peers_) {
    const peer_report& report = candidate.report;
    if (is_live(candidate, now) && !report.is_stopping &&
        (domain.empty() || report.domain == domain)) {
      ranks.emplace_back(report.is_store_reachable, report.capacity_weight,
                         rendezvous_weight(key, hash_bytes(host)), host);
    }
  }
  const std::size_t taken = std::min(count, ranks.size());
  std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(taken), ranks.end(),
                    std::greater<>());
  std::vector<std::string> holders;
  for (std::size_t i = 0; i < taken; ++i) {
    holders.push_back(std::get<std::string>(ranks[i]));
  }
  return holders;
}

std::vector<aged_report> peer_directory::domain_reports(time_point now) const {
  std::vector<aged_report> reports;
  for (const auto& [host, candidate] : peers_) {
    if (candidate.report.domain == local_domain_ && is_live(candidate, now)) {
      // An age of at least one tells the report from the sender's own.
      reports.push_back({candidate.report, std::max(duration{1}, now - candidate.heard_at)});
      reports.back().content.evidence.clear();
    }
  }
  return reports;
}

std::set<std::string> peer_directory::other_domains() const {
  std::set<std::string> domains;
  for (const auto& [host, candidate] : peers_) {
    if (candidate.report.domain != local_domain_) {
      domains.insert(candidate.report.domain);
    }
  }
  return domains;
}

} // namespace arbutuslb::core::gateway
