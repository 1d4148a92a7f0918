// Probes the members of the daemon's own failure domain, one each period, in a shuffled round.
//
// A probe that is not answered is tried through other members; then the target is suspected, and
// after a while without refutation it is dead. A daemon that misses several targets in a row takes
// itself to be the one that is cut off, and declares nobody dead until a probe is answered again.
// After the SWIM family of protocols, with local health awareness.
//
//   failure_detector detector(self);
//   for (const probe_step& step : detector.advance(table, peers, now, random)) { ... }
//   detector.on_ack(sequence, now);
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/core/membership/member_table.h"

#include <map>
#include <optional>
#include <variant>

namespace arbutuslb::core::membership {

inline constexpr std::chrono::milliseconds probe_period{1000};
inline constexpr std::chrono::milliseconds direct_ack_timeout{300};
inline constexpr std::chrono::milliseconds probe_timeout{900};
inline constexpr std::size_t indirect_probes = 3;
// Probes missed in a row after which a daemon holds itself to be cut off.
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
// The member's status is to become `status` in its present life.
struct status_change {
  member_id target;
  member_status status = member_status::suspect;
};
using probe_step = std::variant<direct_probe, indirect_probe, status_change>;

// Not thread-safe.
class failure_detector {
public:
  explicit failure_detector(member_id self) : self_(self) {}

  // Returns what is due at `now`. `peers` are the present members of the own domain without self.
  std::vector<probe_step> advance(const member_table& table, const std::vector<member_id>& peers,
                                  time_point now, random_source& random);

  // The probe with this sequence was answered, directly or through a helper.
  void on_ack(std::uint64_t sequence);

  // True while the daemon takes itself to be cut off.
  bool is_isolated() const noexcept { return missed_in_a_row_ >= isolation_threshold; }

  // How long a member of a domain of `size` may be suspect before it is dead.
  static duration suspicion_time(std::size_t size);

private:
  struct probe {
    member_id target;
    std::uint64_t sequence = 0;
    time_point sent;
    bool widened = false;
  };
  void start_probe(const std::vector<member_id>& peers, time_point now, random_source& random,
                   std::vector<probe_step>& steps);
  void follow_probe(const member_table& table, const std::vector<member_id>& peers, time_point now,
                    random_source& random, std::vector<probe_step>& steps);
  void expire_suspects(const member_table& table, const std::vector<member_id>& peers,
                       time_point now, std::vector<probe_step>& steps);

  member_id self_;
  std::optional<probe> current_;
  std::vector<member_id> round_;
  time_point next_probe_{};
  std::uint64_t next_sequence_ = 1;
  int missed_in_a_row_ = 0;
  std::map<member_id, time_point> suspect_since_;
};

} // namespace arbutuslb::core::membership
