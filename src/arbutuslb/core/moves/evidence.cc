#include "arbutuslb/core/moves/evidence.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace arbutuslb::core::moves {

using protocol::evidence_cell;
using protocol::evidence_report;

namespace {

std::vector<evidence_cell>::iterator find_cell(std::vector<evidence_cell>& cells,
                                               const std::string& route, int share_permille) {
  const auto is_same = [&](const evidence_cell& cell) {
    return cell.route == route && cell.share_permille == share_permille;
  };
  return std::find_if(cells.begin(), cells.end(), is_same);
}

template <typename Counts>
void add_counts(cell_totals& sum, const Counts& added) {
  sum.calls += added.calls;
  sum.errors += added.errors;
  sum.late += added.late;
  sum.deaths += added.deaths;
  for (std::size_t i = 0; i < sum.latency.size(); ++i) {
    sum.latency[i] += added.latency[i];
  }
}

} // namespace

std::size_t latency_bucket(duration latency) {
  constexpr double first_bucket_us = 250.0;
  const double ratio = static_cast<double>(latency.count()) / first_bucket_us;
  if (ratio <= 1.0) {
    return 0;
  }
  const double index = std::log2(ratio) * 2.0;
  return std::min(evidence_cell::bucket_count - 1, static_cast<std::size_t>(index) + 1);
}

void cell_totals::add(const evidence_cell& cell) {
  add_counts(*this, cell);
}

void cell_totals::add(const cell_totals& other) {
  add_counts(*this, other);
}

void cell_totals::subtract(const cell_totals& earlier) {
  calls -= std::min(calls, earlier.calls);
  errors -= std::min(errors, earlier.errors);
  late -= std::min(late, earlier.late);
  deaths -= std::min(deaths, earlier.deaths);
  for (std::size_t i = 0; i < latency.size(); ++i) {
    latency[i] -= std::min(latency[i], earlier.latency[i]);
  }
}

evidence_cell& evidence_counter::cell_of(const std::string& route, int share_permille) {
  changed_cells_.insert({route, share_permille});
  const std::vector<evidence_cell>::iterator found = find_cell(cells_, route, share_permille);
  if (found != cells_.end()) {
    return *found;
  }
  evidence_cell added;
  added.route = route;
  added.share_permille = share_permille;
  return cells_.emplace_back(std::move(added));
}

void evidence_counter::record_execution(const std::string& route, int share_permille,
                                        execution_outcome outcome, duration latency, bool is_late) {
  evidence_cell& cell = cell_of(route, share_permille);
  if (outcome == execution_outcome::death) {
    ++cell.deaths;
    return;
  }
  ++cell.calls;
  cell.errors += outcome == execution_outcome::error ? 1 : 0;
  cell.late += is_late ? 1 : 0;
  ++cell.latency[latency_bucket(latency)];
}

void evidence_counter::record_late(const std::string& route, int share_permille, duration elapsed) {
  record_execution(route, share_permille, execution_outcome::good, elapsed, true);
}

void evidence_counter::amend_late(const std::string& route, int share_permille, duration counted_at,
                                  execution_outcome outcome, duration latency) {
  evidence_cell& cell = cell_of(route, share_permille);
  cell.errors += outcome == execution_outcome::error ? 1 : 0;
  --cell.latency[latency_bucket(counted_at)];
  ++cell.latency[latency_bucket(latency)];
}

std::vector<evidence_cell> evidence_counter::take_changed() {
  std::vector<evidence_cell> cells;
  for (const auto& [route, share_permille] : std::exchange(changed_cells_, {})) {
    cells.push_back(*find_cell(cells_, route, share_permille));
  }
  return cells;
}

// Totals never decrease, so the larger of two states of a cell is the later one.
void evidence_pool::merge(member_id sender, incarnation process_epoch,
                          const evidence_report& report) {
  evidence_report& stored = reports_[source{sender, process_epoch}];
  stored.move_id = report.move_id;
  stored.version = report.version;
  stored.limit = report.limit;
  stored.mean_in_flight = report.mean_in_flight;
  for (const evidence_cell& cell : report.cells) {
    const std::vector<evidence_cell>::iterator found =
        find_cell(stored.cells, cell.route, cell.share_permille);
    if (found == stored.cells.end()) {
      stored.cells.push_back(cell);
    } else if (cell.calls + cell.deaths >= found->calls + found->deaths) {
      *found = cell;
    }
  }
}

std::map<std::string, cell_totals> evidence_pool::totals(const std::string& version,
                                                         int lowest_permille) const {
  std::map<std::string, cell_totals> by_route;
  for (const auto& [reporter, report] : reports_) {
    if (report.version != version) {
      continue;
    }
    for (const evidence_cell& cell : report.cells) {
      if (cell.share_permille >= lowest_permille) {
        by_route[cell.route].add(cell);
      }
    }
  }
  return by_route;
}

cell_totals evidence_pool::total_of(const std::string& version) const {
  cell_totals sum;
  for (const auto& [route, cell] : totals(version, 0)) {
    sum.add(cell);
  }
  return sum;
}

void evidence_pool::add_checkpoint(time_point now) {
  checkpoint current{now, {}};
  for (const auto& [reporter, report] : reports_) {
    current.by_version.try_emplace(report.version);
  }
  for (auto& [version, by_route] : current.by_version) {
    by_route = totals(version, 0);
  }
  checkpoints_.push_back(std::move(current));
  while (now - checkpoints_.front().at > recent_window) {
    checkpoints_.pop_front();
  }
}

std::map<std::string, cell_totals> evidence_pool::recent_totals(const std::string& version) const {
  return checkpoints_.empty() ? totals(version, 0) : totals_since_checkpoint(version, 0);
}

std::map<std::string, cell_totals>
evidence_pool::totals_since_checkpoint(const std::string& version, std::size_t index) const {
  totals_by_route recent = totals(version, 0);
  const std::map<std::string, totals_by_route>& earlier = checkpoints_.at(index).by_version;
  const std::map<std::string, totals_by_route>::const_iterator found = earlier.find(version);
  if (found == earlier.end()) {
    return recent;
  }
  for (const auto& [route, cell] : found->second) {
    recent[route].subtract(cell);
  }
  return recent;
}

double evidence_pool::recent_rate(time_point start, time_point now) const {
  constexpr duration min_window = std::chrono::milliseconds{500};
  std::uint64_t calls = 0;
  std::set<std::string> versions;
  for (const auto& [reporter, report] : reports_) {
    versions.insert(report.version);
  }
  for (const std::string& version : versions) {
    for (const auto& [route, cell] : recent_totals(version)) {
      calls += cell.calls;
    }
  }
  const time_point since = checkpoints_.empty() ? start : checkpoints_.front().at;
  const duration window = std::max(min_window, now - since);
  return static_cast<double>(calls) / std::chrono::duration<double>(window).count();
}

version_capacity evidence_pool::capacity_of(const std::string& version) const {
  std::map<member_id, const evidence_report*> latest;
  for (const auto& [reporter, report] : reports_) {
    if (report.version == version) {
      latest[reporter.sender] = &report; // reports are ordered by process epoch
    }
  }
  version_capacity total;
  for (const auto& [sender, report] : latest) {
    total.limit += report->limit;
    total.mean_in_flight += report->mean_in_flight;
    ++total.upstreams;
  }
  return total;
}

} // namespace arbutuslb::core::moves
