// Deterministic subset of the endpoints of each service and version for one daemon, with the
// statistics of each endpoint.
//
// A daemon cannot keep a connection to every endpoint. It ranks the endpoints by rendezvous hashing
// with its member id and uses the highest ranked ones of its local failure domain, and a few in
// remote domains for spillover. Endpoints in withdrawn domains and leaving endpoints are never
// chosen.
//
//   std::optional<member_id> target = directory.choose(request, table, configuration, now, random);
#pragma once

#include "arbutuslb/core/config/configuration.h"
#include "arbutuslb/core/membership/member_table.h"
#include "arbutuslb/core/routing/selector.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace arbutuslb::core::routing {

// Maximum number of endpoints that one daemon uses for one version of a service: in its local
// failure domain, and in all remote domains together, where each domain gets at least one.
inline constexpr std::size_t local_subset_size = 16;
inline constexpr std::size_t remote_subset_size = 14;

struct selection_request {
  std::string service;
  std::string version;
  config::request_class priority = config::request_class::normal;
  std::vector<member_id> excluded; // endpoints that the call has already tried
};

// Not thread-safe.
class endpoint_directory {
public:
  endpoint_directory(member_id self, std::string local_domain)
      : self_(self), local_domain_(std::move(local_domain)) {}

  // Returns an endpoint for the request, or nothing if none is usable. Endpoints with free capacity
  // are preferred, local ones first. O(subset) while the members and the configuration are
  // unchanged.
  std::optional<member_id> choose(const selection_request& request,
                                  const membership::member_table& table,
                                  const config::configuration& configuration, time_point now,
                                  random_source& random);

  // Returns the statistics of the endpoint in the given process epoch. They start empty, also when
  // a new epoch replaces the recorded one.
  endpoint_stats& stats_of(member_id id, incarnation process_epoch);

  // Discards the statistics of the endpoint, for example when its failure domain is no longer
  // withdrawn.
  void reset(member_id id) {
    endpoints_.erase(id);
    subsets_.clear();
  }

  // Endpoints in these domains are used only if all candidates are in such domains.
  void set_unreachable(const std::set<std::string>& domains) {
    if (domains != unreachable_domains_) {
      unreachable_domains_ = domains;
      subsets_.clear();
    }
  }

  // Returns the number of endpoints with statistics.
  std::size_t size() const noexcept { return endpoints_.size(); }

private:
  struct endpoint_entry {
    incarnation process_epoch;
    endpoint_stats stats;
  };
  struct subset {
    std::vector<endpoint_view> local;
    std::vector<endpoint_view> remote;
  };
  const subset& subset_for(const selection_request& request, const membership::member_table& table,
                           const config::configuration& configuration);
  subset build_subset(const selection_request& request, const membership::member_table& table,
                      const config::configuration& configuration);
  std::vector<endpoint_view> usable_endpoints(const std::vector<endpoint_view>& all,
                                              const selection_request& request,
                                              time_point now) const;
  std::vector<endpoint_view> make_views(const std::vector<member_id>& ids,
                                        const membership::member_table& table);

  member_id self_;
  std::string local_domain_;
  std::set<std::string> unreachable_domains_;
  std::uint64_t table_generation_ = 0;
  config_version configuration_version_ = 0;
  std::unordered_map<std::string, subset> subsets_; // by "service@version"
  std::unordered_map<member_id, std::unique_ptr<endpoint_entry>> endpoints_;
  least_cost_of_two policy_;
};

} // namespace arbutuslb::core::routing
