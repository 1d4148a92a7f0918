// The daemon's log: one line of key=value pairs for each event, written by glog to standard error.
#pragma once

#include "arbutuslb/core/engine/actions.h"

#include <string>

namespace arbutuslb::runtime {

// Returns `event=NAME key=value ...`; values with spaces or quotes are quoted.
std::string format_event(const core::engine::write_event& event);

// Thread-safe.
void log_event(const core::engine::write_event& event);

// Call once at the start of the process.
void start_logging(const char* program);

} // namespace arbutuslb::runtime
