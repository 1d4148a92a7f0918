#include "arbutuslb/core/gateway/peer_directory.h"

#include "arbutuslb/core/base/hash.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace arbutuslb::core::gateway {
namespace {

// Cost of leaving the failure domain as a fraction of a request's value: per request, and per
// kilobyte of the request and its answer.
constexpr double domain_crossing_cost = 0.02;
constexpr double crossing_cost_per_kilobyte = 0.035;
constexpr double kilobyte = 1000.0;
// An expected latency below this fraction of the target latency has no risk of a late answer.
constexpr double safe_latency_fraction = 0.35;
// Risk per permille of failed requests of the upstream.
constexpr double failure_cost = 0.0015;
// Maximum random term added to a risk: upstreams whose risks differ by less share the requests.
constexpr double risk_jitter = 0.03;
constexpr std::chrono::milliseconds first_unreachable_pause{300};
constexpr std::chrono::milliseconds max_unreachable_pause{2400};
constexpr std::chrono::milliseconds default_latency{60};
// Upstreams that one request is offered, in the local failure domain and in the others.
constexpr std::size_t local_sample_size = 4;
constexpr std::size_t remote_sample_size = 3;
constexpr std::chrono::seconds expiry_check_period{1};
// A version still counts as present for this long after the last contact with its daemons, so that
// a restart of all of them does not make another version the oldest one.
constexpr std::chrono::seconds version_retention{6};

// Returns the number of requests at the upstream, running or waiting, as far as is known.
int load_of(const peer_directory::peer& candidate) {
  const int unreported =
      std::max(0, candidate.local_in_flight - candidate.reported_local_in_flight);
  return candidate.report.in_flight + candidate.report.waiting + unreported;
}

std::optional<duration> route_mean(const peer_report& report, std::uint32_t route_hash) {
  for (const route_latency& item : report.routes) {
    if (item.route_hash == route_hash && item.mean > duration::zero()) {
      return item.mean;
    }
  }
  return std::nullopt;
}

} // namespace

peer_directory::peer_directory(std::string local_domain, std::string local_host)
    : local_domain_(std::move(local_domain)), local_host_(std::move(local_host)) {}

peer_directory::merge_result peer_directory::merge(const peer_report& report, time_point now) {
  peer& known = peers_[report.host];
  if (known.hash == 0) {
    known.hash = hash_bytes(report.host);
  }
  const bool is_new = known.report.process_epoch != report.process_epoch;
  if (report.process_epoch < known.report.process_epoch ||
      (!is_new && report.sequence <= known.report.sequence && known.report.sequence != 0)) {
    return {};
  }
  const peer_report& before = known.report;
  const bool is_changed = is_new || before.is_usable != report.is_usable ||
                          before.instance_id != report.instance_id ||
                          before.is_stopping != report.is_stopping ||
                          (before.rate_limit > 0) != (report.rate_limit > 0);
  newest_log_end_ = std::max(newest_log_end_, report.operator_log_end);
  live_count_ = is_new ? std::nullopt : live_count_;
  if (is_changed || before.version != report.version || before.service != report.service) {
    ++generation_;
  }
  if (is_changed) {
    known.excluded_until = {};
    known.refused_until = {};
    known.consecutive_failures = 0;
  }
  const peer_report previous = std::exchange(known.report, report);
  if (report.routes.empty() && previous.instance_id == report.instance_id) {
    // A new process of the daemon has measured nothing, but the upstream is the same: keep the
    // means that the previous process measured.
    known.report.routes = previous.routes;
  }
  known.last_contact = std::max(known.last_contact, now);
  known.reported_local_in_flight = known.local_in_flight;
  return {is_new, is_changed};
}

void peer_directory::on_contact(const std::string& host, time_point time) {
  const std::map<std::string, peer>::iterator found = peers_.find(host);
  if (found != peers_.end()) {
    found->second.last_contact = std::max(found->second.last_contact, time);
  }
}

void peer_directory::remove_expired(time_point now) {
  if (now - expired_removed_at_ < expiry_check_period) {
    return;
  }
  expired_removed_at_ = now;
  const std::size_t removed = std::erase_if(peers_, [&](const auto& item) {
    return now - item.second.last_contact > peer_retention && item.second.local_in_flight == 0;
  });
  generation_ += removed;
}

bool peer_directory::is_live(const peer& candidate, time_point now) const {
  return now - candidate.last_contact < peer_staleness_limit;
}

// --- views ---

const peer_directory::service_view& peer_directory::view_of(std::string_view service) const {
  std::map<std::string, service_view, std::less<>>::iterator found = views_.find(service);
  if (found == views_.end()) {
    found = views_.emplace(std::string(service), service_view{}).first;
  }
  service_view& view = found->second;
  if (view.generation == generation_) {
    return view;
  }
  view = service_view{};
  view.generation = generation_;
  const peer_report* oldest = nullptr;
  for (const host_entry& item : peers_) {
    const peer_report& report = item.second.report;
    if (report.service != service) {
      continue;
    }
    view.members.push_back(&item);
    if (!report.instance_id.empty() &&
        (oldest == nullptr || report.upstream_started_ms < oldest->upstream_started_ms)) {
      oldest = &report;
    }
  }
  std::sort(view.members.begin(), view.members.end(),
            [](const host_entry* one, const host_entry* other) {
              return one->second.hash < other->second.hash;
            });
  if (oldest != nullptr) {
    view.oldest_version = oldest->version;
  }
  build_subset(view);
  return view;
}

void peer_directory::build_subset(service_view& view) const {
  // Each version has a subset of its own, since a request may be bound to one.
  std::map<std::pair<std::string_view, std::string_view>, std::vector<const host_entry*>> groups;
  std::set<std::string_view> remote_domains;
  for (const host_entry* item : view.members) {
    const peer_report& report = item->second.report;
    if (!report.is_usable || report.is_stopping) {
      continue;
    }
    groups[{report.domain, report.version}].push_back(item);
    if (report.domain != local_domain_) {
      remote_domains.insert(report.domain);
    }
  }
  const auto [rank, callers] = ring_position();
  const std::size_t remote_size = remote_subset_size_per_domain(remote_domains.size());
  for (const auto& [key, upstreams] : groups) {
    const std::size_t size = key.first == local_domain_ ? local_subset_size : remote_size;
    for (const std::size_t index : ring_subset(rank, callers, upstreams.size(), size)) {
      view.subset.push_back(upstreams[index]);
    }
  }
}

std::pair<std::size_t, std::size_t> peer_directory::ring_position() const {
  const std::uint64_t local_hash = hash_bytes(local_host_);
  std::size_t rank = 0;
  std::size_t callers = 1;
  for (const host_entry& item : peers_) {
    if (item.first != local_host_ && item.second.report.domain == local_domain_) {
      ++callers;
      rank += item.second.hash < local_hash ? 1 : 0;
    }
  }
  return {rank, callers};
}

const peer_directory::service_view& peer_directory::summary_of(std::string_view service,
                                                               time_point now) const {
  view_of(service);
  service_view& view = views_.find(service)->second;
  if (view.summarized_at != time_point{} && now - view.summarized_at < summary_period) {
    return view;
  }
  view.summarized_at = now;
  duration sum{};
  int usable = 0;
  int load = 0;
  int limit = 0;
  std::map<std::uint32_t, std::pair<duration, int>> routes; // sum and number of means, by hash
  for (const host_entry* item : view.members) {
    const peer_report& report = item->second.report;
    if (report.is_usable) {
      sum += report.mean_latency;
      ++usable;
      load += load_of(item->second);
      limit += report.limit;
    }
    for (const route_latency& route : report.routes) {
      if (route.mean > duration::zero()) {
        std::pair<duration, int>& total = routes[route.route_hash];
        total.first += route.mean;
        ++total.second;
      }
    }
  }
  view.utilization = limit == 0 ? 1.0 : static_cast<double>(load) / limit;
  view.mean_latency = usable == 0 ? duration{} : sum / usable;
  view.routes.clear();
  for (const auto& [hash, total] : routes) {
    view.routes.push_back({hash, total.first / total.second});
  }
  return view;
}

duration peer_directory::typical_latency(const upstream_query& query, time_point now) const {
  const service_view& view = summary_of(query.service, now);
  for (const route_latency& route : view.routes) {
    if (route.route_hash == query.route_hash) {
      return route.mean;
    }
  }
  return view.mean_latency > duration::zero() ? view.mean_latency : duration{default_latency};
}

// --- selection ---

double peer_directory::risk_of(const peer& candidate, const upstream_query& query,
                               duration typical) const {
  const peer_report& report = candidate.report;
  const duration service_time = route_mean(report, query.route_hash).value_or(typical);
  const double limit = std::max(1, report.limit);
  const double load = load_of(candidate);
  const double excess = std::max(0.0, load + 1.0 - limit);
  const double mean = static_cast<double>(std::max(report.mean_latency, duration{1}).count());
  double expected = static_cast<double>(service_time.count()) + mean * excess / limit;
  if (report.rate_limit > 0) {
    // The queue of an upstream with a rate limit drains at that rate.
    constexpr double microseconds = 1e6;
    expected += microseconds * load / std::max(1.0, report.rate_limit);
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
  return risk;
}

bool peer_directory::is_leaving(const host_entry& item) const {
  const auto found = leaving_.find(item.first);
  return found != leaving_.end() && found->second.instance_id == item.second.report.instance_id &&
         item.second.report.upstream_started_ms <= found->second.started_ms;
}

bool peer_directory::is_eligible(const host_entry& item, const upstream_query& query,
                                 const std::set<std::string>& excluded_domains,
                                 time_point now) const {
  const peer& candidate = item.second;
  const peer_report& report = candidate.report;
  const bool is_possible = report.is_usable && !report.is_stopping && !is_leaving(item) &&
                           !excluded_domains.contains(report.domain) &&
                           now >= candidate.excluded_until && query.allows_version(report.version);
  if (!is_possible ||
      std::find(query.tried.begin(), query.tried.end(), item.first) != query.tried.end()) {
    return false;
  }
  if (query.requires_free_slot && load_of(candidate) >= std::max(1, report.limit)) {
    return false;
  }
  return query.allows_refused || now >= candidate.refused_until ||
         query.rank < candidate.refused_rank;
}

std::optional<std::string>
peer_directory::choose_by_key(const upstream_query& query,
                              const std::set<std::string>& excluded_domains, time_point now) const {
  const host_entry* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const host_entry* item : view_of(query.service).members) {
    if (!is_live(item->second, now) || !is_eligible(*item, query, excluded_domains, now)) {
      continue;
    }
    const std::uint64_t weight = rendezvous_weight(*query.affinity_key, item->second.hash);
    if (best == nullptr || weight > best_weight) {
      best = item;
      best_weight = weight;
    }
  }
  return best == nullptr ? std::nullopt : std::optional<std::string>(best->first);
}

std::optional<std::string> peer_directory::choose(const upstream_query& query,
                                                  const std::set<std::string>& excluded_domains,
                                                  time_point now, random_source& random) {
  if (query.affinity_key) {
    return choose_by_key(query, excluded_domains, now);
  }
  const service_view& view = summary_of(query.service, now);
  std::vector<const host_entry*> local;
  std::vector<const host_entry*> remote;
  const auto collect = [&](const std::vector<const host_entry*>& candidates, bool is_live_wanted) {
    for (const host_entry* item : candidates) {
      if (is_live(item->second, now) == is_live_wanted &&
          is_eligible(*item, query, excluded_domains, now)) {
        (item->second.report.domain == local_domain_ ? local : remote).push_back(item);
      }
    }
    return !local.empty() || !remote.empty();
  };
  const bool has_live = collect(view.subset, true) || collect(view.members, true);
  if (!has_live && query.allows_stale && !collect(view.subset, false)) {
    collect(view.members, false);
  }
  local = random.sample(std::move(local), local_sample_size);
  remote = random.sample(std::move(remote), remote_sample_size);
  const duration typical = typical_latency(query, now);
  const host_entry* best = nullptr;
  double best_risk = 0;
  for (const std::vector<const host_entry*>* sample : {&local, &remote}) {
    for (const host_entry* item : *sample) {
      const double risk = risk_of(item->second, query, typical) + risk_jitter * random.fraction();
      if (best == nullptr || risk < best_risk) {
        best = item;
        best_risk = risk;
      }
    }
  }
  return best == nullptr ? std::nullopt : std::optional<std::string>(best->first);
}

void peer_directory::on_sent(const std::string& host) {
  const auto found = peers_.find(host);
  if (found != peers_.end()) {
    ++found->second.local_in_flight;
  }
}

void peer_directory::on_completed(const std::string& host) {
  const auto found = peers_.find(host);
  if (found != peers_.end()) {
    found->second.local_in_flight = std::max(0, found->second.local_in_flight - 1);
    found->second.reported_local_in_flight =
        std::min(found->second.reported_local_in_flight, found->second.local_in_flight);
  }
}

void peer_directory::on_load(const std::string& host, int in_flight, int waiting, time_point now) {
  const auto found = peers_.find(host);
  if (found == peers_.end()) {
    return;
  }
  found->second.report.in_flight = in_flight;
  found->second.report.waiting = waiting;
  found->second.reported_local_in_flight = found->second.local_in_flight;
  found->second.last_contact = now;
}

void peer_directory::on_notice(const std::string& host, const upstream_incarnation& upstream,
                               const upstream_notice& notice) {
  if (notice.is_leaving) {
    leaving_[host] = upstream;
  }
  const auto found = peers_.find(host);
  if (found != peers_.end()) {
    found->second.answered_by = upstream;
    found->second.stated_rate_limit = notice.rate_limit;
  }
}

std::optional<double> peer_directory::stated_rate_limit(const std::string& host) const {
  const auto found = peers_.find(host);
  if (found == peers_.end()) {
    return std::nullopt;
  }
  const peer& value = found->second;
  const bool is_same = value.answered_by.instance_id == value.report.instance_id &&
                       value.answered_by.started_ms == value.report.upstream_started_ms;
  return is_same ? value.stated_rate_limit : std::nullopt;
}

void peer_directory::on_unreachable(const std::string& host, time_point now) {
  const auto found = peers_.find(host);
  if (found == peers_.end()) {
    return;
  }
  const int doublings = std::min(found->second.consecutive_failures++, 3);
  found->second.excluded_until =
      now + std::min<duration>(first_unreachable_pause * (1 << doublings), max_unreachable_pause);
}

void peer_directory::on_reachable(const std::string& host) {
  const auto found = peers_.find(host);
  if (found != peers_.end()) {
    found->second.consecutive_failures = 0;
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

bool peer_directory::has_contact_since(const std::string& host, time_point since) const {
  const auto found = peers_.find(host);
  return found != peers_.end() && found->second.last_contact >= since;
}

duration peer_directory::mean_latency(std::string_view service, time_point now) const {
  return summary_of(service, now).mean_latency;
}

double peer_directory::utilization(std::string_view service, time_point now) const {
  return summary_of(service, now).utilization;
}

std::size_t peer_directory::live_count(time_point now) const {
  if (!live_count_ || now - live_counted_at_ >= summary_period) {
    live_counted_at_ = now;
    live_count_ = static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [&](const auto& item) { return is_live(item.second, now); }));
  }
  return *live_count_;
}

std::optional<std::string> peer_directory::peer_with_newer_records(const log_position& end,
                                                                   bool allows_remote,
                                                                   time_point now,
                                                                   random_source& random) const {
  if (newest_log_end_ <= end) {
    return std::nullopt;
  }
  std::vector<std::string> matches;
  for (const auto& [host, candidate] : peers_) {
    const bool is_local = candidate.report.domain == local_domain_;
    if (host != local_host_ && is_live(candidate, now) && (is_local || allows_remote) &&
        candidate.report.operator_log_end > end) {
      matches.push_back(host);
    }
  }
  return matches.empty() ? std::nullopt
                         : std::optional<std::string>(matches[random.below(matches.size())]);
}

const std::string& peer_directory::oldest_version(std::string_view service) const {
  return view_of(service).oldest_version;
}

bool peer_directory::has_version(std::string_view service, std::string_view version,
                                 time_point now) const {
  const std::vector<const host_entry*>& members = view_of(service).members;
  return std::any_of(members.begin(), members.end(), [&](const host_entry* item) {
    return item->second.report.version == version &&
           now - item->second.last_contact < version_retention;
  });
}

std::string peer_directory::reported_settled_version(std::string_view service) const {
  std::map<std::string_view, int> reports;
  for (const host_entry* item : view_of(service).members) {
    if (item->first != local_host_ && !item->second.report.settled_version.empty()) {
      ++reports[item->second.report.settled_version];
    }
  }
  const auto most =
      std::max_element(reports.begin(), reports.end(), [](const auto& one, const auto& other) {
        return one.second < other.second;
      });
  return most == reports.end() ? std::string{} : std::string(most->first);
}

std::vector<std::string> peer_directory::role_holders(std::string_view role,
                                                      const std::string& domain, std::size_t count,
                                                      time_point now) const {
  const std::uint64_t key = hash_bytes(role);
  using sort_key = std::tuple<bool, int, std::uint64_t, std::string>;
  std::vector<sort_key> ranking;
  for (const auto& [host, candidate] : peers_) {
    const peer_report& report = candidate.report;
    if (is_live(candidate, now) && !report.is_stopping &&
        (domain.empty() || report.domain == domain)) {
      ranking.emplace_back(report.is_store_reachable, report.capacity_weight,
                           rendezvous_weight(key, hash_bytes(host)), host);
    }
  }
  const std::size_t selected = std::min(count, ranking.size());
  std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(selected),
                    ranking.end(), std::greater<>());
  std::vector<std::string> holders;
  for (std::size_t i = 0; i < selected; ++i) {
    holders.push_back(std::get<std::string>(ranking[i]));
  }
  return holders;
}

std::vector<aged_report> peer_directory::domain_reports(time_point now) const {
  std::vector<aged_report> reports;
  for (const auto& [host, candidate] : peers_) {
    if (candidate.report.domain == local_domain_ && is_live(candidate, now)) {
      // A non-zero age marks a forwarded report; a sender's own report has age zero.
      reports.push_back({candidate.report, std::max(duration{1}, now - candidate.last_contact)});
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
