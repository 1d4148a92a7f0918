// Decodes the calls by which upstreams report their state: heartbeats and deregistrations.
#pragma once

#include "arbutuslb/core/base/http_message.h"
#include "arbutuslb/core/gateway/upstream_registry.h"

#include <string>
#include <variant>

namespace arbutuslb::platform {

struct deregistration {
  std::string instance_id;
};
// A request that is not a valid call of an upstream.
struct rejected_call {
  int status = 0;     // HTTP status of the answer
  std::string reason; // body of the answer
};

// Decodes a call of an upstream. A malformed call becomes a `rejected_call` with its findings.
std::variant<core::gateway::heartbeat, deregistration, rejected_call>
decode_upstream_call(const core::http_request& request);

} // namespace arbutuslb::platform
