// The data-path daemon's metrics in the usual text exposition format.
#pragma once

#include "arbutuslb/core/gateway/gateway_context.h"

#include <string>

namespace arbutuslb::runtime {

std::string render_metrics(const core::gateway::gateway_statistics& totals,
                           std::uint64_t store_calls, std::uint64_t log_lines_dropped);

} // namespace arbutuslb::runtime
