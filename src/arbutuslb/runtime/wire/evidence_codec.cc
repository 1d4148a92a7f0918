#include "arbutuslb/runtime/wire/evidence_codec.h"

#include "arbutuslb/runtime/wire/codec.h"

#include <algorithm>

namespace arbutuslb::runtime::wire {
namespace {

constexpr std::uint32_t max_share_permille = 1000;

} // namespace

void put(const core::protocol::evidence_report& from, EvidenceReport& to) {
  to.set_move_id(from.move_id);
  to.set_version(from.version);
  to.set_limit(from.limit);
  to.set_mean_in_flight(from.mean_in_flight);
  for (const core::protocol::evidence_cell& cell : from.cells) {
    EvidenceCell& each = *to.add_cells();
    each.set_route(cell.route);
    each.set_share_permille(static_cast<std::uint32_t>(cell.share_permille));
    each.set_calls(cell.calls);
    each.set_errors(cell.errors);
    each.set_deaths(cell.deaths);
    each.mutable_latency()->Add(cell.latency.begin(), cell.latency.end());
  }
}

core::protocol::evidence_report take(const EvidenceReport& from) {
  core::protocol::evidence_report to{
      from.move_id(), from.version(), {}, from.limit(), from.mean_in_flight()};
  for (const EvidenceCell& cell : from.cells()) {
    core::protocol::evidence_cell each;
    if (cell.latency_size() != static_cast<int>(each.latency.size()) ||
        cell.share_permille() > max_share_permille) {
      throw codec_error("malformed evidence");
    }
    each.route = cell.route();
    each.share_permille = static_cast<int>(cell.share_permille());
    each.calls = cell.calls();
    each.errors = cell.errors();
    each.deaths = cell.deaths();
    std::copy(cell.latency().begin(), cell.latency().end(), each.latency.begin());
    to.cells.push_back(std::move(each));
  }
  return to;
}

} // namespace arbutuslb::runtime::wire
