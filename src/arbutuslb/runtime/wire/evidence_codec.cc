#include "arbutuslb/runtime/wire/evidence_codec.h"

#include "arbutuslb/runtime/wire/codec.h"

#include <algorithm>

namespace arbutuslb::runtime::wire {
namespace {

constexpr std::uint32_t max_share_permille = 1000;

} // namespace

void to_proto(const core::protocol::evidence_report& from, EvidenceReport& to) {
  to.set_move_id(from.move_id);
  to.set_version(from.version);
  to.set_limit(from.limit);
  to.set_mean_in_flight(from.mean_in_flight);
  for (const core::protocol::evidence_cell& cell : from.cells) {
    EvidenceCell& converted = *to.add_cells();
    converted.set_route(cell.route);
    converted.set_share_permille(static_cast<std::uint32_t>(cell.share_permille));
    converted.set_calls(cell.calls);
    converted.set_errors(cell.errors);
    converted.set_deaths(cell.deaths);
    converted.set_late(cell.late);
    converted.mutable_latency()->Add(cell.latency.begin(), cell.latency.end());
  }
}

core::protocol::evidence_report from_proto(const EvidenceReport& from) {
  core::protocol::evidence_report to{
      from.move_id(), from.version(), {}, from.limit(), from.mean_in_flight()};
  for (const EvidenceCell& cell : from.cells()) {
    core::protocol::evidence_cell converted;
    if (cell.latency_size() != static_cast<int>(converted.latency.size()) ||
        cell.share_permille() > max_share_permille) {
      throw codec_error(
          "evidence cell with a wrong number of latency buckets or a share out of range");
    }
    converted.route = cell.route();
    converted.share_permille = static_cast<int>(cell.share_permille());
    converted.calls = cell.calls();
    converted.errors = cell.errors();
    converted.deaths = cell.deaths();
    converted.late = cell.late();
    std::copy(cell.latency().begin(), cell.latency().end(), converted.latency.begin());
    to.cells.push_back(std::move(converted));
  }
  return to;
}

} // namespace arbutuslb::runtime::wire
