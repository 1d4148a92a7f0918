// Evidence about a version under trial: counts of calls, errors and latencies by route and share.
//
// Daemons count beside their own upstream and report totals. Merging keeps the latest totals of
// each process of each daemon, so reports may be lost, repeated or reordered.
//
//   evidence_counter counter;
//   counter.record_execution("pre-orders", 100, outcome, latency);
//   evidence_pool pool;
//   pool.merge(sender, boot, report);
//   version_totals totals = pool.totals("v2", 100);
#pragma once

#include "arbutuslb/core/protocol/messages.h"

#include <deque>
#include <map>
#include <set>

namespace arbutuslb::core::moves {

enum class execution_outcome : std::uint8_t { good, error, death };

// Returns the histogram bucket of a latency; each bucket is a factor of the square root of two
// wider than the one before, from 250 us on.
std::size_t latency_bucket(duration latency);

// The counts of one version at one route and share, over all daemons.
struct cell_totals {
  std::uint64_t calls = 0;
  std::uint64_t errors = 0;
  std::uint64_t deaths = 0;
  std::array<std::uint64_t, protocol::evidence_cell::bucket_count> latency{};

  void add(const protocol::evidence_cell& cell);
  // Takes away an earlier state of the same totals.
  void subtract(const cell_totals& earlier);
};

// How far back a fault that shows late is looked for.
inline constexpr std::chrono::seconds recent_window{6};

// Counts the runs of one upstream. Not thread-safe.
class evidence_counter {
public:
  void record_execution(const std::string& route, int share_permille, execution_outcome outcome,
                        duration latency);
  const std::vector<protocol::evidence_cell>& cells() const noexcept { return cells_; }
  // Returns the totals of the cells that changed since the last call.
  std::vector<protocol::evidence_cell> take_changed();

private:
  std::vector<protocol::evidence_cell> cells_;
  std::set<std::pair<std::string, int>> changed_; // route and share
};

// What all upstreams of one version reported of their capacity.
struct version_capacity {
  double limit = 0; // requests at once that the version's upstreams bear now
  double mean_in_flight = 0;
  std::size_t upstreams = 0;
};

// Merges the reports of one move. Not thread-safe.
class evidence_pool {
public:
  void merge(member_id sender, incarnation process_epoch, const protocol::evidence_report& report);

  // Returns the totals of a version by route, over the shares from `lowest_permille` on.
  std::map<std::string, cell_totals> totals(const std::string& version, int lowest_permille) const;
  version_capacity capacity_of(const std::string& version) const;

  // Notes the totals at `now`, from which `recent_totals` counts. Call it about once a second.
  void add_checkpoint(time_point now);
  // Returns the totals since the oldest mark of the last `recent_window`.
  std::map<std::string, cell_totals> recent_totals(const std::string& version) const;

private:
  struct source {
    member_id sender;
    incarnation process_epoch;
    friend auto operator<=>(const source&, const source&) = default;
  };
  using totals_by_route = std::map<std::string, cell_totals>;
  struct mark_point {
    time_point at;
    std::map<std::string, totals_by_route> by_version;
  };

  std::map<source, protocol::evidence_report> reports_;
  std::deque<mark_point> marks_; // oldest first
};

} // namespace arbutuslb::core::moves
