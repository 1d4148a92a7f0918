// What upstreams say of themselves, as they say it on this platform.
#pragma once

#include "arbutuslb/core/base/http_message.h"
#include "arbutuslb/core/gateway/upstream_registry.h"

#include <string>
#include <variant>

namespace arbutuslb::platform {

struct deregistration {
  std::string instance_id;
};
// Not a call of an upstream; `status` is the answer that it gets.
struct unknown_call {
  int status = 0;
  std::string reason;
};

// Decodes a call of an upstream. Malformed ones become an `unknown_call` with their findings.
std::variant<core::gateway::heartbeat, deregistration, unknown_call>
decode_upstream_call(const core::http_request& request);

} // namespace arbutuslb::platform
