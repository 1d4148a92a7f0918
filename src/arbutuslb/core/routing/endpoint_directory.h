// The endpoints that a daemon uses for each service and version: a deterministic subset.
//
// A daemon cannot hold a connection to every endpoint. It ranks the endpoints by rendezvous hash
// with its own id and uses the first few of its own failure domain, and a few of the others to
// spill over to. Endpoints in withdrawn domains and leaving endpoints are never chosen.
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

// Endpoints of the own failure domain, and of all others together, that one daemon uses for one
// version of a service.
inline constexpr std::size_t local_subset_size = 16;
inline constexpr std::size_t remote_subset_size = 14;

struct choice_request {
  std::string service;
  std::string version;
  config::request_class priority = config::request_class::normal;
  std::vector<member_id> excluded; // tried before by the same call
};

// Not thread-safe.
class endpoint_directory {
public:
  endpoint_directory(member_id self, std::string local_domain)
      : self_(self), local_domain_(std::move(local_domain)) {}

  // Returns an endpoint, or nothing if none can take the request. O(subset) while the members and
  // the configuration stay the same.
  std::optional<member_id> choose(const choice_request& request,
                                  const membership::member_table& table,
                                  const config::configuration& configuration, time_point now,
                                  random_source& random);

  // The statistics of one endpoint's present process. A new process starts as cold.
  endpoint_stats& stats_of(member_id id, incarnation process_epoch);

  // Forgets what is known of the endpoint, as when its failure domain returns from withdrawal.
  void reset(member_id id) {
    known_.erase(id);
    subsets_.clear();
  }

  // Endpoints in these domains are chosen only if there are no others.
  void set_unreachable(const std::set<std::string>& domains) {
    if (domains != unreachable_) {
      unreachable_ = domains;
      subsets_.clear();
    }
  }

  // Endpoints with statistics.
  std::size_t size() const noexcept { return known_.size(); }

private:
  struct known_endpoint {
    incarnation process_epoch;
    endpoint_stats stats;
  };
  struct subset {
    std::vector<endpoint_view> local;
    std::vector<endpoint_view> remote;
  };
  const subset& subset_for(const choice_request& request, const membership::member_table& table,
                           const config::configuration& configuration);
  subset build(const choice_request& request, const membership::member_table& table,
               const config::configuration& configuration);
  std::vector<endpoint_view> usable(const std::vector<endpoint_view>& all,
                                    const choice_request& request, time_point now) const;
  std::vector<endpoint_view> views_of(const std::vector<member_id>& ids,
                                      const membership::member_table& table);

  member_id self_;
  std::string local_domain_;
  std::set<std::string> unreachable_;
  std::uint64_t generation_ = 0;
  config_version version_ = 0;
  std::unordered_map<std::string, subset> subsets_; // by service and version
  std::unordered_map<member_id, std::unique_ptr<known_endpoint>> known_;
  least_cost_of_two policy_;
};

} // namespace arbutuslb::core::routing
