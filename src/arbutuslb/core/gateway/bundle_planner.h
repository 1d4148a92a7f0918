// Decides which reports of a failure domain are sent to the other domains in full.
//
// A representative bundles the reports of its domain for each other domain once a period. Most of
// them say what the last bundle said, so they are only mentioned as present, which is what keeps a
// peer live. A report is sent in full when the state changes that selection or roles depend on,
// when the load has changed by half of the limit, and in turn with the others, since any datagram
// may be lost.
//
//   report_bundle bundle = planner.plan(directory.domain_reports(now));
#pragma once

#include "arbutuslb/core/gateway/peer_report.h"

#include <map>

namespace arbutuslb::core::gateway {

// A report is sent in full at least once in this many bundles.
inline constexpr std::uint64_t full_report_interval = 4;

// Not thread-safe.
class bundle_planner {
public:
  report_bundle plan(std::vector<aged_report> reports);

private:
  struct sent_report {
    peer_report content;
    int repeats = 0; // bundles that are still to contain it because of a change
  };
  std::uint64_t bundles_ = 0;
  std::map<std::string, sent_report> sent_; // by host
};

} // namespace arbutuslb::core::gateway
