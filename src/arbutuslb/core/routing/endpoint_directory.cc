#include "arbutuslb/core/routing/endpoint_directory.h"

#include "arbutuslb/core/base/hash.h"

#include <algorithm>
#include <map>

namespace arbutuslb::core::routing {
namespace {

using membership::member;
using membership::member_status;
using membership::member_table;

bool is_candidate(const member& value, const selection_request& request,
                  const config::configuration& configuration) {
  const config::failure_domain* domain = configuration.find_domain(value.domain);
  const bool withdrawn = domain != nullptr && domain->withdrawn;
  return !withdrawn && value.version == request.version && value.status != member_status::leaving;
}

// Returns the members that are alive, or all of them if none is.
std::vector<member_id> prefer_alive(const std::vector<const member*>& members) {
  std::vector<member_id> alive;
  std::vector<member_id> all;
  for (const member* item : members) {
    all.push_back(item->id);
    if (item->status == member_status::alive) {
      alive.push_back(item->id);
    }
  }
  return alive.empty() ? all : alive;
}

} // namespace

endpoint_stats& endpoint_directory::stats_of(member_id id, incarnation process_epoch) {
  std::unique_ptr<endpoint_entry>& entry = endpoints_[id];
  if (!entry) {
    entry = std::make_unique<endpoint_entry>();
  }
  if (entry->process_epoch != process_epoch) {
    *entry = endpoint_entry{process_epoch, {}};
  }
  return entry->stats;
}

std::vector<endpoint_view> endpoint_directory::make_views(const std::vector<member_id>& ids,
                                                          const member_table& table) {
  std::vector<endpoint_view> views;
  for (const member_id id : ids) {
    views.push_back({id, &stats_of(id, table.find(id)->process_epoch)});
  }
  return views;
}

endpoint_directory::subset
endpoint_directory::build_subset(const selection_request& request, const member_table& table,
                                 const config::configuration& configuration) {
  std::map<std::string, std::vector<const member*>> by_domain;
  for (const member_id id : table.members_serving(request.service)) {
    const member* value = table.find(id);
    if (is_candidate(*value, request, configuration)) {
      by_domain[value->domain].push_back(value);
    }
  }
  const auto is_unreachable = [this](const auto& item) {
    return unreachable_domains_.contains(item.first);
  };
  if (!std::all_of(by_domain.begin(), by_domain.end(), is_unreachable)) {
    std::erase_if(by_domain, is_unreachable);
  }
  const std::size_t remote_domains = by_domain.size() - by_domain.count(local_domain_);
  const std::size_t max_per_remote_domain =
      remote_domains == 0 ? 0 : std::max<std::size_t>(1, remote_subset_size / remote_domains);
  subset result;
  for (const auto& [domain, members] : by_domain) {
    const bool is_local = domain == local_domain_;
    const std::vector<member_id> chosen = membership::highest_ranked(
        self_.value, prefer_alive(members), is_local ? local_subset_size : max_per_remote_domain);
    std::vector<endpoint_view>& target = is_local ? result.local : result.remote;
    for (const endpoint_view& view : make_views(chosen, table)) {
      target.push_back(view);
    }
  }
  return result;
}

const endpoint_directory::subset&
endpoint_directory::subset_for(const selection_request& request, const member_table& table,
                               const config::configuration& configuration) {
  if (table_generation_ != table.generation() ||
      configuration_version_ != configuration.version()) {
    table_generation_ = table.generation();
    configuration_version_ = configuration.version();
    subsets_.clear();
    const auto is_gone = [&table](const auto& item) {
      const member* found = table.find(item.first);
      return found == nullptr || found->status == member_status::dead;
    };
    std::erase_if(endpoints_, is_gone);
  }
  const std::string key = request.service + "@" + request.version;
  const std::unordered_map<std::string, subset>::iterator found = subsets_.find(key);
  if (found != subsets_.end()) {
    return found->second;
  }
  return subsets_.emplace(key, build_subset(request, table, configuration)).first->second;
}

std::vector<endpoint_view>
endpoint_directory::usable_endpoints(const std::vector<endpoint_view>& all,
                                     const selection_request& request, time_point now) const {
  const auto is_excluded = [&request](const endpoint_view& view) {
    return std::find(request.excluded.begin(), request.excluded.end(), view.id) !=
           request.excluded.end();
  };
  // Ejecting more than half of the endpoints for errors would overload the rest, so ejection is
  // ignored in that case. Unresponsive endpoints have no capacity, so they are skipped unless all
  // endpoints are unresponsive.
  const auto is_ejected = [now](const endpoint_view& view) {
    return view.stats->is_ejected(now) && !view.stats->is_unresponsive(now);
  };
  const auto is_unresponsive = [now](const endpoint_view& view) {
    return view.stats->is_unresponsive(now);
  };
  const std::size_t ejected =
      static_cast<std::size_t>(std::count_if(all.begin(), all.end(), is_ejected));
  const bool skip_ejected = ejected * 2 <= all.size();
  const bool skip_unresponsive = !std::all_of(all.begin(), all.end(), is_unresponsive);
  const bool skip_refusing = request.priority != config::request_class::critical;
  std::vector<endpoint_view> result;
  result.reserve(all.size());
  for (const endpoint_view& view : all) {
    const bool is_skipped = (skip_ejected && is_ejected(view)) ||
                            (skip_unresponsive && is_unresponsive(view)) ||
                            (skip_refusing && view.stats->is_refusing(now));
    if (!is_excluded(view) && !is_skipped) {
      result.push_back(view);
    }
  }
  return result;
}

std::optional<member_id> endpoint_directory::choose(const selection_request& request,
                                                    const member_table& table,
                                                    const config::configuration& configuration,
                                                    time_point now, random_source& random) {
  const subset& endpoints = subset_for(request, table, configuration);
  std::optional<member_id> fallback;
  for (const std::vector<endpoint_view>* tier : {&endpoints.local, &endpoints.remote}) {
    const std::vector<endpoint_view> candidates = usable_endpoints(*tier, request, now);
    if (candidates.empty()) {
      continue;
    }
    const endpoint_view& chosen = candidates[policy_.choose(candidates, now, random)];
    if (chosen.stats->has_capacity(now)) {
      return chosen.id;
    }
    if (!fallback) {
      fallback = chosen.id;
    }
  }
  return fallback;
}

} // namespace arbutuslb::core::routing
