// Detects failed members of the local failure domain. Probes one member per interval; each round
// covers all members in random order.
//
// If a direct probe is not acknowledged, other members probe the target. If they get no answer
// either, the target becomes suspect, and dead unless it refutes the suspicion in time; a leaving
// target becomes dead at once. After several missed probes in a row, a daemon considers itself
// isolated and, unless it has only one peer, declares no member suspect or dead until a probe is
// acknowledged again. The protocol belongs to the SWIM family, with local health awareness.
//
//   failure_detector detector(self);
//   for (const probe_step& step : detector.advance(table, peers, now, random)) { ... }
//   detector.on_ack(sequence);
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/core/membership/member_table.h"

#include <map>
#include <optional>
#include <variant>

namespace arbutuslb::core::membership {

inline constexpr std::chrono::milliseconds probe_interval{1000};
// The time after which a probe without acknowledgement is also sent through other members.
inline constexpr std::chrono::milliseconds direct_ack_timeout{300};
// The time after which a probe without acknowledgement counts as missed.
inline constexpr std::chrono::milliseconds probe_timeout{900};
// The number of members through which a target is probed indirectly.
inline constexpr std::size_t indirect_probe_count = 3;
// The number of probes missed in a row after which a daemon considers itself isolated.
inline constexpr int isolation_threshold = 3;

// Send a ping to `target`.
struct direct_probe {
  member_id target;
  std::uint64_t sequence = 0;
};
// Ask `helper` to ping `target`.
struct indirect_probe {
  member_id helper;
  member_id target;
  std::uint64_t sequence = 0;
};
// Set the status of `target` to `status` at its current incarnation.
struct status_change {
  member_id target;
  member_status status = member_status::suspect;
};
using probe_step = std::variant<direct_probe, indirect_probe, status_change>;

// Not thread-safe.
class failure_detector {
public:
  explicit failure_detector(member_id self) : self_(self) {}

  // Returns the steps that are due at `now`. `peers` are the present members of the local domain in
  // order of id, without this daemon.
  std::vector<probe_step> advance(const member_table& table, const std::vector<member_id>& peers,
                                  time_point now, random_source& random);

  // Records that the probe with this sequence was acknowledged, directly or through a helper.
  void on_ack(std::uint64_t sequence);

  // Returns true while this daemon considers itself isolated.
  bool is_isolated() const noexcept { return consecutive_missed_probes_ >= isolation_threshold; }

  // Returns how long a member stays suspect before it is declared dead, in a domain with `size`
  // peers.
  static duration suspicion_timeout(std::size_t size);

private:
  struct probe {
    member_id target;
    std::uint64_t sequence = 0;
    time_point sent;
    bool indirect_probes_sent = false;
  };
  void start_probe(const std::vector<member_id>& peers, time_point now, random_source& random,
                   std::vector<probe_step>& steps);
  void check_outstanding_probe(const member_table& table, const std::vector<member_id>& peers,
                               time_point now, random_source& random,
                               std::vector<probe_step>& steps);
  void expire_suspects(const member_table& table, const std::vector<member_id>& peers,
                       time_point now, std::vector<probe_step>& steps);

  member_id self_;
  std::optional<probe> outstanding_probe_;
  std::vector<member_id> unprobed_in_round_;
  time_point next_probe_{};
  std::uint64_t next_sequence_ = 1;
  int consecutive_missed_probes_ = 0;
  std::map<member_id, time_point> suspect_since_;
};

} // namespace arbutuslb::core::membership
