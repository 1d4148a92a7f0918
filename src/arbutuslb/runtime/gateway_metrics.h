// Renders the metrics of the data-path daemon in the Prometheus text format.
#pragma once

#include "arbutuslb/core/gateway/gateway_context.h"

#include <string>

namespace arbutuslb::runtime {

std::string render_metrics(const core::gateway::gateway_statistics& totals,
                           const core::gateway::crash_containment& containment,
                           std::uint64_t store_calls, std::uint64_t log_lines_dropped,
                           std::uint64_t inputs_dropped, std::uint64_t events_failed);

} // namespace arbutuslb::runtime
