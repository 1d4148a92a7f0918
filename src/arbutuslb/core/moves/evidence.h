// Evidence about the old and the new version of a move: counts of calls, errors, deaths and
// latencies by route and share.
//
// Each daemon counts the calls executed by its local upstream and reports totals since the start of
// the move. Merging keeps the latest totals of each process of each daemon, so reports may be lost,
// repeated or reordered.
//
//   evidence_counter counter;
//   counter.record_execution("pre-orders", 100, outcome, latency);  // at a share of 100 permille
//   evidence_pool pool;
//   pool.merge(sender, process_epoch, report);
//   std::map<std::string, cell_totals> by_route = pool.totals("v2", 100);
#pragma once

#include "arbutuslb/core/protocol/messages.h"

#include <deque>
#include <map>
#include <set>

namespace arbutuslb::core::moves {

enum class execution_outcome : std::uint8_t { good, error, death };

// Returns the histogram bucket of a latency. The upper bounds of the buckets start at 250 us and
// grow by a factor of the square root of two; the last bucket has no upper bound.
std::size_t latency_bucket(duration latency);

// Sums of the counts of one version on one route, over daemons and shares.
struct cell_totals {
  std::uint64_t calls = 0;
  std::uint64_t errors = 0;
  std::uint64_t late = 0;
  std::uint64_t deaths = 0;
  std::array<std::uint64_t, protocol::evidence_cell::bucket_count> latency{};

  void add(const protocol::evidence_cell& cell);
  void add(const cell_totals& other);
  // Subtracts an earlier state of the same totals.
  void subtract(const cell_totals& earlier);
};

// Length of the window of recent calls. It shows faults that begin late, which the totals of the
// whole move would hide.
inline constexpr std::chrono::seconds recent_window{6};

// Counts the calls executed by one upstream. Not thread-safe.
class evidence_counter {
public:
  // Counts the outcome of one call. A death is not counted as a call, and its latency is ignored.
  void record_execution(const std::string& route, int share_permille, execution_outcome outcome,
                        duration latency, bool is_late = false);
  // Counts a call that is still in execution as late; `elapsed` is a lower bound of its latency.
  void record_late(const std::string& route, int share_permille, duration elapsed);
  // The call that was counted as late at `counted_at` has ended.
  void amend_late(const std::string& route, int share_permille, duration counted_at,
                  execution_outcome outcome, duration latency);
  const std::vector<protocol::evidence_cell>& cells() const noexcept { return cells_; }
  // Returns the cells that have changed since the last call of this function.
  std::vector<protocol::evidence_cell> take_changed();

private:
  protocol::evidence_cell& cell_of(const std::string& route, int share_permille);

  std::vector<protocol::evidence_cell> cells_;
  std::set<std::pair<std::string, int>> changed_cells_; // route and share
};

// Sums of the capacity that the upstreams of one version reported.
struct version_capacity {
  double limit = 0; // current concurrency limits of the upstreams
  double mean_in_flight = 0;
  std::size_t upstreams = 0;
};

// Merges the reports about one move. Not thread-safe.
class evidence_pool {
public:
  void merge(member_id sender, incarnation process_epoch, const protocol::evidence_report& report);

  // Returns the totals of a version by route, over the shares of at least `lowest_permille`.
  std::map<std::string, cell_totals> totals(const std::string& version, int lowest_permille) const;
  // Returns the totals of a version over all routes and shares.
  cell_totals total_of(const std::string& version) const;
  version_capacity capacity_of(const std::string& version) const;
  // Returns the calls of all versions per second since the oldest checkpoint within
  // `recent_window`, or since `start` if there is none.
  double recent_rate(time_point start, time_point now) const;

  // Stores the totals at `now` as a checkpoint for `recent_totals`. Call it about once a second.
  void add_checkpoint(time_point now);
  // Returns the totals since the oldest checkpoint within `recent_window`, or all totals if there
  // is no checkpoint.
  std::map<std::string, cell_totals> recent_totals(const std::string& version) const;
  // Returns the number of checkpoints within `recent_window`, and the totals since one of them; 0
  // is the oldest.
  std::size_t checkpoint_count() const noexcept { return checkpoints_.size(); }
  std::map<std::string, cell_totals> totals_since_checkpoint(const std::string& version,
                                                             std::size_t index) const;

private:
  struct source {
    member_id sender;
    incarnation process_epoch;
    friend auto operator<=>(const source&, const source&) = default;
  };
  using totals_by_route = std::map<std::string, cell_totals>;
  struct checkpoint {
    time_point at;
    std::map<std::string, totals_by_route> by_version;
  };

  std::map<source, protocol::evidence_report> reports_;
  std::deque<checkpoint> checkpoints_; // oldest first
};

} // namespace arbutuslb::core::moves
