// The daemons that are known, and the choice of the upstream that serves a request best.
//
// The choice weighs three things in one unit, the share of a request's value that is at risk: the
// answer being late (expected time against the route's target latency), the upstream failing, and
// the price of bytes that leave the failure domain.
//
//   std::optional<std::string> host = directory.choose(query, now, random);
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/core/gateway/peer_report.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>

namespace arbutuslb::core::gateway {

// A peer that has not been heard for this long is used only if there is no other.
inline constexpr std::chrono::milliseconds peer_silence_limit{2000};
// A peer that has not been heard for this long is forgotten.
inline constexpr std::chrono::seconds peer_memory{30};

struct upstream_query {
  std::string_view service;
  std::uint32_t route_hash = 0;
  duration target_latency{};
  // True if the version may run the request.
  std::function<bool(const std::string& version)> allows_version;
  std::span<const std::string> tried; // hosts that have refused or failed the request
  int rank = 0;                       // 0 is the most urgent
  std::size_t size = 0;               // bytes of such a request and its answer
  bool allows_silent = true;
  // True if a peer that lately had no room for a request as urgent may be asked again.
  bool allows_refused = false;
};

class peer_directory {
public:
  // `own_host` is the address of this daemon, whose report is kept like any other.
  peer_directory(std::string local_domain, std::string own_host);

  struct merge_result {
    bool is_new = false;     // a peer that was not known, or its new process
    bool is_changed = false; // what it says of its upstream differs from before
  };
  // Ignores reports older than the one held.
  merge_result merge(const peer_report& report, time_point now);
  void forget_silent(time_point now);

  std::optional<std::string> choose(const upstream_query& query,
                                    const std::set<std::string>& closed, time_point now,
                                    random_source& random);

  // Bookkeeping of the own requests, so that a choice counts what a report does not show yet.
  void on_sent(const std::string& host);
  void on_ended(const std::string& host);
  // The gate's view that came with a reply.
  void on_load(const std::string& host, int in_flight, int waiting, time_point now);
  // The peer could not be reached; it is left out for a short while.
  void on_unreachable(const std::string& host, time_point now);
  void on_reachable(const std::string& host);
  // The peer had no room for a request of this rank; requests that are no more urgent are not sent
  // there before `until`.
  void on_refused(const std::string& host, int rank, time_point until, time_point now);
  // True if the peer has been heard since `since`, by a report or an answer.
  bool is_heard_since(const std::string& host, time_point since) const;

  // Mean time that the usable upstreams of a service take for a request; zero if unknown.
  duration mean_latency(std::string_view service) const;
  bool has_usable(std::string_view service, time_point now) const;
  // Number of daemons heard lately, this one included.
  std::size_t live_count(time_point now) const;
  // A peer heard lately that holds more of the operators' records than up to `end_offset`; of the
  // own failure domain, or, if `allows_far`, of any.
  std::optional<std::string> peer_ahead(std::uint64_t end_offset, bool allows_far, time_point now,
                                        random_source& random) const;
  // The version of the longest-running upstream of the service; empty if none is known.
  std::string oldest_version(std::string_view service) const;
  bool has_version(std::string_view service, std::string_view version, time_point now) const;
  // The live daemons that hold a duty for a failure domain, or for all if `domain` is empty: those
  // in contact with the store first, then the strongest, then by rendezvous hash. `count` at most.
  std::vector<std::string> role_holders(std::string_view role, const std::string& domain,
                                        std::size_t count, time_point now) const;
  // The reports of the live daemons of the own failure domain, with their ages.
  std::vector<aged_report> domain_reports(time_point now) const;
  std::set<std::string> other_domains() const;

  struct peer {
    peer_report report;
    time_point heard_at{};
    time_point closed_until{};
    time_point refused_until{};
    int refused_rank = 0;         // the most urgent that was refused
    int own_requests = 0;         // sent by this daemon and not ended
    int own_requests_counted = 0; // of them, those that `report` already counts
    int failures_in_row = 0;
  };
  const std::map<std::string, peer>& peers() const noexcept { return peers_; }

private:
  // `usual`: the time of an upstream that has not measured its own.
  double risk_of(const peer& candidate, const upstream_query& query, duration usual,
                 time_point now) const;
  // Mean time of a route at the upstreams that have measured it; else of their service.
  duration usual_latency(const upstream_query& query) const;
  bool is_live(const peer& candidate, time_point now) const;

  std::string local_domain_;
  std::string own_host_;
  std::map<std::string, peer> peers_; // by host
};

} // namespace arbutuslb::core::gateway
