// Renders the metrics of the data-path daemon in the Prometheus text format.
#pragma once

#include "arbutuslb/core/gateway/gateway_context.h"

#include <string>

namespace arbutuslb::runtime {

// Memory for messages of callers, peers and upstreams.
struct memory_statistics {
  std::size_t used_bytes = 0;
  std::uint64_t refused = 0; // requests refused and connections closed for want of it
};

std::string render_metrics(const core::gateway::gateway_statistics& totals,
                           const core::gateway::crash_containment& containment,
                           std::uint64_t store_calls, std::uint64_t log_lines_dropped,
                           std::uint64_t inputs_dropped, std::uint64_t events_failed,
                           const memory_statistics& memory);

} // namespace arbutuslb::runtime
