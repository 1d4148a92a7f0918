// Requests that are suspected of crashing the upstreams that run them, by fingerprint.
//
// A request that was running when its upstream died is a suspect. Suspects run alone among
// suspects, so that a second death names the culprit; after it the request is refused for a while.
// A good answer clears a suspect.
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
inline constexpr std::chrono::minutes first_refusal{5};
inline constexpr std::chrono::minutes suspicion_memory{10};
inline constexpr std::size_t max_suspects = 4096;

// Not thread-safe.
class poison_registry {
public:
  // The upstream died while these requests ran. Returns the fingerprints that were blamed: the
  // suspects among them, or all of them if none was suspect before.
  std::vector<std::uint64_t> on_death(const std::vector<std::uint64_t>& running, time_point now) {
    std::vector<std::uint64_t> blamed;
    for (const std::uint64_t fingerprint : running) {
      if (is_suspect(fingerprint, now)) {
        blamed.push_back(fingerprint);
      }
    }
    if (blamed.empty()) {
      blamed = running;
    }
    for (const std::uint64_t fingerprint : blamed) {
      note(fingerprint, deaths_of(fingerprint) + 1, now);
    }
    return blamed;
  }

  // A peer knows of this many deaths; 0 clears. Returns true if that is news.
  bool merge(std::uint64_t fingerprint, std::uint32_t deaths, time_point now) {
    if (deaths == 0) {
      return clear(fingerprint);
    }
    if (deaths <= deaths_of(fingerprint)) {
      return false;
    }
    note(fingerprint, deaths, now);
    return true;
  }

  // A good answer. Returns true if the request was a suspect.
  bool clear(std::uint64_t fingerprint) { return entries_.erase(fingerprint) > 0; }

  bool is_suspect(std::uint64_t fingerprint, time_point now) const {
    const std::unordered_map<std::uint64_t, entry>::const_iterator found =
        entries_.find(fingerprint);
    return found != entries_.end() && now - found->second.last_death < suspicion_memory;
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

  // Requests that have been found to crash upstreams.
  std::size_t confirmed_count() const {
    const auto is_confirmed = [](const auto& item) {
      return item.second.deaths >= deaths_before_refusal;
    };
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), is_confirmed));
  }

  void evict(time_point now) {
    const auto is_old = [now](const auto& item) {
      return now - item.second.last_death >= suspicion_memory && now >= item.second.refused_until;
    };
    std::erase_if(entries_, is_old);
  }

private:
  struct entry {
    std::uint32_t deaths = 0;
    time_point last_death;
    time_point refused_until{};
  };

  void note(std::uint64_t fingerprint, std::uint32_t deaths, time_point now) {
    if (entries_.size() >= max_suspects && !entries_.contains(fingerprint)) {
      return;
    }
    entry& known = entries_[fingerprint];
    known.deaths = deaths;
    known.last_death = now;
    if (deaths >= deaths_before_refusal) {
      const std::uint32_t doublings = std::min(deaths - deaths_before_refusal, 4U);
      known.refused_until = now + first_refusal * (1U << doublings);
    }
  }

  std::unordered_map<std::uint64_t, entry> entries_;
};

} // namespace arbutuslb::core::calls
