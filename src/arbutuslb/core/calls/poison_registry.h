// Registry of requests that are suspected of crashing upstreams, by fingerprint.
//
// A request that was in execution when its upstream died is a suspect. An upstream executes at most
// one suspect at a time, so that a second death identifies the request that caused it; that request
// is then refused for some time. An answer from the upstream clears a suspect.
//
//   registry.on_death(running_fingerprints, now);
//   if (registry.is_refused(fingerprint, now)) { ... }
#pragma once

#include "arbutuslb/core/base/time.h"

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace arbutuslb::core::calls {

inline constexpr std::uint32_t deaths_before_refusal = 2;
// Duration of the first refusal. Each further death doubles it, at most four times.
inline constexpr std::chrono::minutes base_refusal_time{5};
// Time since the last death after which a request is no longer a suspect.
inline constexpr std::chrono::minutes suspicion_retention{10};
inline constexpr std::size_t max_suspects = 4096;

// Not thread-safe.
class poison_registry {
public:
  // Records that the upstream died while it executed these requests. Returns the fingerprints to
  // which the death was attributed: the suspects among them, or all of them if none was a suspect.
  std::vector<std::uint64_t> on_death(const std::vector<std::uint64_t>& running, time_point now) {
    std::vector<std::uint64_t> attributed;
    for (const std::uint64_t fingerprint : running) {
      if (is_suspect(fingerprint, now)) {
        attributed.push_back(fingerprint);
      }
    }
    if (attributed.empty()) {
      attributed = running;
    }
    for (const std::uint64_t fingerprint : attributed) {
      record_deaths(fingerprint, deaths_of(fingerprint) + 1, now);
    }
    return attributed;
  }

  // Applies the number of deaths that a peer reported; 0 clears the suspect. Returns true if this
  // changed the registry.
  bool merge(std::uint64_t fingerprint, std::uint32_t deaths, time_point now) {
    if (deaths == 0) {
      return clear(fingerprint);
    }
    if (deaths <= deaths_of(fingerprint)) {
      return false;
    }
    record_deaths(fingerprint, deaths, now);
    return true;
  }

  // Clears the suspicion after an answer. Returns true if there was an entry for the request.
  bool clear(std::uint64_t fingerprint) { return entries_.erase(fingerprint) > 0; }

  bool is_suspect(std::uint64_t fingerprint, time_point now) const {
    const std::unordered_map<std::uint64_t, entry>::const_iterator found =
        entries_.find(fingerprint);
    return found != entries_.end() && now - found->second.last_death < suspicion_retention;
  }

  bool is_refused(std::uint64_t fingerprint, time_point now) const {
    const std::unordered_map<std::uint64_t, entry>::const_iterator found =
        entries_.find(fingerprint);
    return found != entries_.end() && now < found->second.refused_until;
  }

  std::uint32_t deaths_of(std::uint64_t fingerprint) const {
    const std::unordered_map<std::uint64_t, entry>::const_iterator found =
        entries_.find(fingerprint);
    return found == entries_.end() ? 0 : found->second.deaths;
  }

  // Returns the number of requests that were found to crash upstreams.
  std::size_t confirmed_count() const {
    const auto is_confirmed = [](const auto& item) {
      return item.second.deaths >= deaths_before_refusal;
    };
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), is_confirmed));
  }

  // Removes requests that are neither suspects nor refused any more.
  void evict(time_point now) {
    const auto is_expired = [now](const auto& item) {
      return now - item.second.last_death >= suspicion_retention &&
             now >= item.second.refused_until;
    };
    std::erase_if(entries_, is_expired);
  }

private:
  struct entry {
    std::uint32_t deaths = 0;
    time_point last_death;
    time_point refused_until{};
  };

  void record_deaths(std::uint64_t fingerprint, std::uint32_t deaths, time_point now) {
    if (entries_.size() >= max_suspects && !entries_.contains(fingerprint)) {
      return;
    }
    entry& recorded = entries_[fingerprint];
    recorded.deaths = deaths;
    recorded.last_death = now;
    if (deaths >= deaths_before_refusal) {
      const std::uint32_t doublings = std::min(deaths - deaths_before_refusal, 4U);
      recorded.refused_until = now + base_refusal_time * (1U << doublings);
    }
  }

  std::unordered_map<std::uint64_t, entry> entries_;
};

} // namespace arbutuslb::core::calls
