// Contains requests that crash each upstream that executes them.
//
// Load: among ordinary requests, one that kills its upstream, together with all others that run
// there, and that its caller sends again to any daemon, under another id. The daemons share what
// they know of it, so that it ends a bounded number of upstreams in a day:
//
// - The requests that an upstream was executing when it died are suspects. Most are innocent, and
//   their retries soon show it. Until then all daemons send the copies of a suspect to the same
//   gate, and that gate executes one of them at a time.
// - A suspect whose next execution ended with the death of the upstream, too, is isolated: its gate
//   executes one isolated suspect at a time, and daemons retry it only if its execution is over.
// - If the upstream dies again, the suspect is refused everywhere for a day.
//
// An answer clears a suspect. Suspicions are merged in any order (calls/poison_registry.h).
//
//   if (containment.judge(containment.find(request, now)) == crash_verdict::refuse) { ... }
#pragma once

#include "arbutuslb/core/calls/poison_registry.h"
#include "arbutuslb/core/gateway/calls.h"
#include "arbutuslb/core/gateway/upstream_registry.h"

#include <deque>
#include <unordered_set>

namespace arbutuslb::core::gateway {

// Why a request that crashes its upstreams is refused, and when its caller may try again: not soon.
inline constexpr const char* poison_reason = "request has crashed upstreams";
inline constexpr std::chrono::seconds poison_retry_after{60};

enum class crash_verdict : std::uint8_t {
  run,
  run_one_copy, // at the gate that the fingerprint is assigned to, one copy at a time
  isolate,      // likewise, without other isolated suspects beside it
  refuse
};

// Not thread-safe.
class crash_containment {
public:
  crash_containment();

  // Returns what is known of a request; no deaths if nothing is. Reads the body only if a suspect
  // has the same host and target.
  calls::suspicion find(const call& request, time_point now) const;
  calls::suspicion find(std::uint64_t fingerprint, time_point now) const {
    return registry_.find(fingerprint, now);
  }
  crash_verdict judge(const calls::suspicion& known) const;
  // Returns true for a suspect that is isolated or refused.
  bool is_isolated(const calls::suspicion& known) const {
    return judge(known) >= crash_verdict::isolate;
  }

  // The local upstream died while it executed these requests, given as they were known when their
  // executions began. Returns the new suspicions.
  std::vector<calls::suspicion> on_death(const std::vector<calls::suspicion>& running,
                                         const upstream_incarnation& died, time_point now);
  // An upstream has answered the request. Returns the suspicion that this cleared, if any.
  std::optional<calls::suspicion> on_answer(const call& request, time_point now);
  // Takes over what another daemon knows. Returns true if it is news.
  bool merge(calls::suspicion value, time_point now);
  // Removes what has expired. Call it from time to time.
  void evict(time_point now);

  // Returns the suspicions for the next report of this daemon: the isolated and refused suspects,
  // and what has changed here lately. Bounded.
  std::vector<calls::suspicion> to_report(time_point now);
  // Returns what is to be recorded in the store: the suspicions with the most deaths, of these the
  // newest. Bounded.
  std::vector<calls::suspicion> to_record(time_point now) const;

  const calls::poison_registry& registry() const noexcept { return registry_; }
  // Returns the number of suspicions that did not fit into a report.
  std::uint64_t omitted() const noexcept { return omitted_; }

private:
  // The registry has a new suspicion of this request.
  void index(const calls::suspicion& value);
  void note_change(std::uint64_t fingerprint, time_point now);

  calls::poison_registry registry_;
  std::unordered_set<std::uint16_t> tags_; // target tags of all entries, and of some former ones
  std::unordered_set<std::uint64_t> isolated_; // fingerprints of all isolated and refused suspects
  struct change {
    std::uint64_t fingerprint = 0;
    time_point at{};
  };
  std::deque<change> changes_; // made by this daemon, oldest first
  std::uint64_t omitted_ = 0;
};

} // namespace arbutuslb::core::gateway
