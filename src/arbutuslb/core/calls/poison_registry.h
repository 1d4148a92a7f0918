// Registry of requests that are suspected of crashing upstreams, by fingerprint.
//
// A request that was in execution when its upstream died is a suspect. If it is executed again and
// the upstream dies again, the evidence grows: its deaths form a chain, in which each execution
// began when the deaths before it were known. Upstreams that die at about the same time while they
// execute the request make the chain one death longer, however many they are. Suspects with enough
// deaths are executed one at a time on an upstream, so that a further death identifies the one that
// caused it; after some deaths the request is refused for a time. An answer of an upstream clears a
// suspect.
//
//   registry.on_death(interrupted, hash_of_upstream, now);
//   if (registry.is_refused(fingerprint, now)) { ... }
#pragma once

#include "arbutuslb/core/base/time.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace arbutuslb::core::calls {

// Defaults: those of a daemon that cannot tell a chain of deaths from deaths at the same time.
struct poison_policy {
  std::uint32_t deaths_before_isolation = 1; // executed one at a time from then on
  std::uint32_t deaths_before_refusal = 2;
  // Duration of the first refusal. Each further death doubles it, at most `max_doublings` times.
  duration base_refusal_time = std::chrono::minutes{5};
  std::uint32_t max_doublings = 4;
  // Time since the last death after which a request is no longer a suspect.
  duration suspicion_retention = std::chrono::minutes{10};
  std::size_t max_suspects = 4096;
};

// What is known of one request. Of two suspicions of a request, the one with the higher generation
// counts; equal ones are joined. They can be merged in any order and any number of times.
struct suspicion {
  static constexpr std::size_t max_upstreams = 3;

  std::uint64_t fingerprint = 0; // zero: none
  std::uint32_t generation = 0;  // number of times that it was cleared
  std::uint32_t chain = 0;       // length of the longest chain of deaths
  time_point last_death{};       // or when it was cleared
  // Hashes of upstreams that died, the lowest ones, ascending. Empty if they are not known.
  std::vector<std::uint64_t> upstreams = {};

  // Returns the number of deaths that count.
  std::uint32_t deaths() const {
    return std::max(chain, std::min(static_cast<std::uint32_t>(upstreams.size()), chain + 1));
  }
  friend bool operator==(const suspicion&, const suspicion&) = default;
};

// Not thread-safe.
class poison_registry {
public:
  explicit poison_registry(const poison_policy& policy = {}) : policy_(policy) {}

  // Records that the upstream died while it executed these requests, given as they were known when
  // their executions began. `upstream` identifies it; zero if upstreams that die at the same time
  // are not to be counted. Returns the new suspicions: of the isolated suspects among them, or of
  // all if none was isolated.
  std::vector<suspicion> on_death(const std::vector<suspicion>& running, std::uint64_t upstream,
                                  time_point now) {
    const auto is_isolated = [this](const suspicion& item) {
      return item.deaths() >= policy_.deaths_before_isolation;
    };
    const bool has_isolated = std::any_of(running.begin(), running.end(), is_isolated);
    std::vector<suspicion> attributed;
    for (const suspicion& item : running) {
      if (has_isolated && !is_isolated(item)) {
        continue;
      }
      const suspicion known = find(item.fingerprint, now);
      suspicion updated{item.fingerprint, known.generation, 1, now};
      if (item.generation == known.generation) {
        updated.chain = item.chain + 1;
      } // otherwise it was cleared meanwhile
      if (upstream != 0) {
        updated.upstreams = {upstream};
      }
      if (merge(updated, now)) {
        attributed.push_back(find(item.fingerprint, now));
      }
    }
    return attributed;
  }

  // Takes over what is known elsewhere. Returns true if this changed the registry.
  bool merge(const suspicion& value, time_point now) {
    const std::unordered_map<std::uint64_t, suspicion>::iterator found =
        entries_.find(value.fingerprint);
    if (is_expired(value, now)) {
      return false;
    }
    if (found != entries_.end()) {
      if (is_expired(found->second, now) || value.generation > found->second.generation) {
        found->second = value;
        return true;
      }
      return value.generation == found->second.generation && join(found->second, value);
    }
    if (entries_.size() >= policy_.max_suspects) {
      evict(now);
    }
    if (entries_.size() >= policy_.max_suspects && !replace_weakest(value)) {
      ++dropped_;
      return false;
    }
    entries_.emplace(value.fingerprint, value);
    return true;
  }

  // Clears the suspicion after an answer. Returns true if the request was a suspect.
  bool clear(std::uint64_t fingerprint, time_point now) {
    const std::unordered_map<std::uint64_t, suspicion>::iterator found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.deaths() == 0) {
      return false;
    }
    found->second = {fingerprint, found->second.generation + 1, 0, now};
    return true;
  }

  // Returns what is known of the request; no deaths if nothing is.
  suspicion find(std::uint64_t fingerprint, time_point now) const {
    const std::unordered_map<std::uint64_t, suspicion>::const_iterator found =
        entries_.find(fingerprint);
    return found == entries_.end() || is_expired(found->second, now) ? suspicion{fingerprint}
                                                                     : found->second;
  }

  bool is_suspect(std::uint64_t fingerprint, time_point now) const {
    return find(fingerprint, now).deaths() > 0;
  }

  bool is_refused(std::uint64_t fingerprint, time_point now) const {
    const std::unordered_map<std::uint64_t, suspicion>::const_iterator found =
        entries_.find(fingerprint);
    return found != entries_.end() && now < refused_until(found->second);
  }

  std::uint32_t deaths_of(std::uint64_t fingerprint) const {
    const std::unordered_map<std::uint64_t, suspicion>::const_iterator found =
        entries_.find(fingerprint);
    return found == entries_.end() ? 0 : found->second.deaths();
  }

  // Returns the number of requests that were found to crash upstreams.
  std::size_t confirmed_count() const {
    const auto is_confirmed = [this](const auto& item) {
      return item.second.deaths() >= policy_.deaths_before_refusal;
    };
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), is_confirmed));
  }

  // Removes requests that are neither suspects nor refused any more.
  void evict(time_point now) {
    std::erase_if(entries_, [&](const auto& item) { return is_expired(item.second, now); });
  }

  bool empty() const noexcept { return entries_.empty(); }
  const std::unordered_map<std::uint64_t, suspicion>& entries() const noexcept { return entries_; }
  // Returns the number of suspicions that were given up because there were too many.
  std::uint64_t dropped() const noexcept { return dropped_; }

private:
  // Returns true if `known` did not have all of the evidence of `value`.
  static bool join(suspicion& known, const suspicion& value) {
    std::vector<std::uint64_t> upstreams;
    std::set_union(known.upstreams.begin(), known.upstreams.end(), value.upstreams.begin(),
                   value.upstreams.end(), std::back_inserter(upstreams));
    upstreams.resize(std::min(upstreams.size(), suspicion::max_upstreams));
    if (value.chain <= known.chain && upstreams == known.upstreams) {
      return false;
    }
    known.chain = std::max(known.chain, value.chain);
    known.upstreams = std::move(upstreams);
    known.last_death = std::max(known.last_death, value.last_death);
    return true;
  }

  time_point refused_until(const suspicion& item) const {
    const std::uint32_t deaths = item.deaths();
    if (deaths < policy_.deaths_before_refusal) {
      return {};
    }
    const std::uint32_t doublings =
        std::min(deaths - policy_.deaths_before_refusal, policy_.max_doublings);
    return item.last_death + policy_.base_refusal_time * (1U << doublings);
  }

  bool is_expired(const suspicion& item, time_point now) const {
    return now - item.last_death >= policy_.suspicion_retention && now >= refused_until(item);
  }

  // Removes the entry with the fewest deaths, of these the oldest, if `value` has more or as many.
  bool replace_weakest(const suspicion& value) {
    const auto is_weaker = [](const auto& left, const auto& right) {
      return std::tuple(left.second.deaths(), left.second.last_death) <
             std::tuple(right.second.deaths(), right.second.last_death);
    };
    const std::unordered_map<std::uint64_t, suspicion>::iterator weakest =
        std::min_element(entries_.begin(), entries_.end(), is_weaker);
    if (weakest == entries_.end() || weakest->second.deaths() > value.deaths()) {
      return false;
    }
    entries_.erase(weakest);
    ++dropped_;
    return true;
  }

  poison_policy policy_;
  std::unordered_map<std::uint64_t, suspicion> entries_; // by fingerprint
  std::uint64_t dropped_ = 0;
};

} // namespace arbutuslb::core::calls
