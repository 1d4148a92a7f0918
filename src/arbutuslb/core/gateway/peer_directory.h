// Tracks the reports of all daemons and selects an upstream for each request.
//
// The selection minimizes a risk score, the expected loss as a fraction of a request's value. It
// sums the risk of a late answer (expected latency against the route's target latency), the risks
// of a loaded upstream and of a failing one, and the cost of traffic that leaves the failure
// domain. Each request is offered a random sample of the subset that this daemon uses
// (upstream_subset.h): daemons that hold the same reports would otherwise all select the same
// upstream until the next reports arrive.
//
//   std::optional<std::string> host = directory.choose(query, now, random);
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/core/gateway/calls.h"
#include "arbutuslb/core/gateway/peer_report.h"
#include "arbutuslb/core/gateway/upstream_registry.h"
#include "arbutuslb/core/gateway/upstream_subset.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>

namespace arbutuslb::core::gateway {

// A peer is live until it has sent no report or answer for this long. One that is not live is
// selected only if there is no other.
inline constexpr std::chrono::milliseconds peer_staleness_limit{2000};
// A peer that has sent no report or answer for this long is removed.
inline constexpr std::chrono::seconds peer_retention{30};

// Means over many peers are computed at most this often.
inline constexpr std::chrono::milliseconds summary_period{100};

struct upstream_query {
  std::string_view service;
  std::uint32_t route_hash = 0;
  duration target_latency{};
  // Returns true if an upstream of this version may execute the request.
  std::function<bool(const std::string& version)> allows_version;
  std::span<const std::string> tried; // hosts of earlier attempts of the request
  int rank = 0;                       // priority, 0 is the most urgent
  std::size_t size = 0;               // expected size of the request and its answer in bytes
  bool allows_stale = true;           // false excludes peers without recent contact
  // True includes peers that recently refused a request of the same or a higher priority.
  bool allows_refused = false;
  // True excludes upstreams without a free slot, as far as is known.
  bool requires_free_slot = false;
  // If set, every daemon selects the same of the eligible upstreams for this key.
  std::optional<std::uint64_t> affinity_key;
};

class peer_directory {
public:
  // `local_host` is the address of this daemon; its report is stored like those of its peers.
  peer_directory(std::string local_domain, std::string local_host);

  struct merge_result {
    bool is_new = false;     // the first report of the peer or of a new process of it
    bool is_changed = false; // the state of the peer or its upstream differs from the last report
  };
  // Stores a report received at `now`. Ignores a report that is not newer than the stored one.
  merge_result merge(const peer_report& report, time_point now);
  // A daemon that is known already was in contact at `time`.
  void on_contact(const std::string& host, time_point time);
  // Removes peers without contact for `peer_retention`, unless requests to them are in flight.
  void remove_expired(time_point now);

  // Returns the host with the lowest risk in a random sample of the eligible live peers of the
  // subset, or of the service if the subset has none. Peers that are not live are sampled only if
  // no eligible one is. Returns nothing if no peer is eligible. Peers in `excluded_domains` are not
  // eligible. O(subset) while the members are unchanged and one in the subset is eligible.
  std::optional<std::string> choose(const upstream_query& query,
                                    const std::set<std::string>& excluded_domains, time_point now,
                                    random_source& random);

  // Count the requests that this daemon has in flight, so that a selection includes load that the
  // peer has not reported yet.
  void on_sent(const std::string& host);
  void on_completed(const std::string& host);
  // Updates the load of a peer's upstream from a reply.
  void on_load(const std::string& host, int in_flight, int waiting, time_point now);
  // The peer's upstream has answered a request of this daemon.
  void on_notice(const std::string& host, const upstream_incarnation& upstream,
                 const upstream_notice& notice);
  // Returns the limit that the peer's upstream stated in its newest answer to this daemon.
  std::optional<double> stated_rate_limit(const std::string& host) const;
  // The peer could not be reached; it is excluded for a short time, longer after each failure in a
  // row.
  void on_unreachable(const std::string& host, time_point now);
  // The peer answered, which ends a row of failures.
  void on_reachable(const std::string& host);
  // The peer refused a request of this rank. Until `until` it is excluded for requests of the same
  // or a lower priority.
  void on_refused(const std::string& host, int rank, time_point until, time_point now);
  // Returns true if a report or an answer of the peer has been received since `since`.
  bool has_contact_since(const std::string& host, time_point since) const;

  // Returns the mean latency over the usable upstreams of a service; zero if there is none. May be
  // `summary_period` old.
  duration mean_latency(std::string_view service, time_point now) const;
  // Returns the requests at the usable upstreams of a service as a fraction of what they may
  // execute at once; 1 if there is none. May be `summary_period` old.
  double utilization(std::string_view service, time_point now) const;
  // Returns the mean latency of the route over the upstreams that have measured it; if none has,
  // that of the service, or a default. May be
  // `summary_period` old.
  duration typical_latency(const upstream_query& query, time_point now) const;
  // Returns the number of live daemons, including this one. May be `summary_period` old.
  std::size_t live_count(time_point now) const;
  // Returns a random live peer that has operator records beyond `end`, in the local failure
  // domain or, if `allows_remote`, in any. Returns nothing if there is none.
  std::optional<std::string> peer_with_newer_records(const log_position& end, bool allows_remote,
                                                     time_point now, random_source& random) const;
  // Returns the version of the longest-running upstream of the service; empty if there is none.
  const std::string& oldest_version(std::string_view service) const;
  // Returns true if a daemon with this version of the service was in contact shortly before `now`,
  // be its upstream usable or not.
  bool has_version(std::string_view service, std::string_view version, time_point now) const;
  // Returns the settled version that most daemons of the service report; empty if none does.
  std::string reported_settled_version(std::string_view service) const;
  // Returns the daemons, at most `count`, that are assigned a role in a failure domain, or in the
  // whole mesh if `domain` is empty. They are the first of the live daemons that are not stopping,
  // ordered by whether they can reach the store, then by highest capacity weight, then by
  // rendezvous hashing.
  std::vector<std::string> role_holders(std::string_view role, const std::string& domain,
                                        std::size_t count, time_point now) const;
  // Returns the reports of the live daemons in the local failure domain, with their ages.
  std::vector<aged_report> domain_reports(time_point now) const;
  std::set<std::string> other_domains() const;

  struct peer {
    peer_report report;
    std::uint64_t hash = 0; // of the host; orders the peers on the ring of the subsets
    time_point last_contact{};
    time_point excluded_until{}; // after the peer was unreachable
    time_point refused_until{};
    int refused_rank = 0;             // most urgent rank refused, until `refused_until`
    int local_in_flight = 0;          // requests that this daemon has in flight there
    int reported_local_in_flight = 0; // part of them that `report` includes
    int consecutive_failures = 0;
    upstream_incarnation answered_by;        // sender of the newest answer to this daemon
    std::optional<double> stated_rate_limit; // in that answer
  };
  const std::map<std::string, peer>& peers() const noexcept { return peers_; }

private:
  using host_entry = std::pair<const std::string, peer>;
  // What the selection needs to know of one service, derived from `peers_`.
  struct service_view {
    std::uint64_t generation = 0;           // value of `generation_` that `members` is derived from
    std::vector<const host_entry*> members; // all upstreams, ordered by hash
    std::vector<const host_entry*> subset;  // the upstreams that this daemon uses
    std::string oldest_version;
    time_point summarized_at{};
    duration mean_latency{};
    double utilization = 1;
    std::vector<route_latency> routes; // mean over the upstreams that have measured the route
  };

  const service_view& view_of(std::string_view service) const;
  // Like `view_of`, with latencies that are at most `summary_period` old.
  const service_view& summary_of(std::string_view service, time_point now) const;
  void build_subset(service_view& view) const;
  // Returns this daemon's position among the daemons of its domain, ordered by hash, and their
  // number.
  std::pair<std::size_t, std::size_t> ring_position() const;
  bool is_eligible(const host_entry& item, const upstream_query& query,
                   const std::set<std::string>& excluded_domains, time_point now) const;
  // Returns the eligible live upstream that is assigned the key by rendezvous hashing.
  std::optional<std::string> choose_by_key(const upstream_query& query,
                                           const std::set<std::string>& excluded_domains,
                                           time_point now) const;
  // Returns true if the peer's upstream has told this daemon that it leaves.
  bool is_leaving(const host_entry& item) const;
  // `typical` is the latency assumed for an upstream that has not measured the route.
  double risk_of(const peer& candidate, const upstream_query& query, duration typical) const;
  bool is_live(const peer& candidate, time_point now) const;

  std::string local_domain_;
  std::string local_host_;
  std::map<std::string, peer> peers_; // by host
  // Upstreams that have told this daemon that they leave, by host: one a host, also of peers that
  // have been removed, since a departure is final.
  std::map<std::string, upstream_incarnation> leaving_;
  std::uint64_t generation_ = 1; // incremented when members or their state change
  log_position newest_log_end_;  // highest `operator_log_end` that was ever reported
  time_point expired_removed_at_{};
  // Caches of what follows from `peers_`.
  mutable std::map<std::string, service_view, std::less<>> views_;
  mutable std::optional<std::size_t> live_count_;
  mutable time_point live_counted_at_{};
};

} // namespace arbutuslb::core::gateway
