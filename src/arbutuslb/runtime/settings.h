// The settings of one daemon: JSON with comments, checked as a whole.
//
//   daemon_settings settings = read_settings(path);   // throws core::findings_error
#pragma once

#include "arbutuslb/core/engine/context.h"

#include <string>
#include <string_view>

namespace arbutuslb::runtime {

struct endpoint {
  std::string host;
  std::uint16_t port = 0;
};

struct daemon_settings {
  core::engine::core_settings core;
  std::uint16_t call_port = 0;     // for callers
  std::uint16_t operator_port = 0; // for operators and metrics
  endpoint upstream;
  int upstream_connections = 32; // requests to the upstream at a time
  int caller_connections = 120;  // connections of callers that are served at a time
  endpoint log;
};

// Parses settings. Throws `core::findings_error` with every finding and its place.
daemon_settings parse_settings(std::string_view text);

// Reads and parses a file. Throws `core::findings_error`.
daemon_settings read_settings(const std::string& path);

// Returns the contents of a file. Throws `core::findings_error`.
std::string read_file(const std::string& path);

} // namespace arbutuslb::runtime
