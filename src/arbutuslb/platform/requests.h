// Converts callers' requests and upstreams' answers between the platform's HTTP format and the
// gateway's types.
#pragma once

#include "arbutuslb/core/gateway/calls.h"
#include "arbutuslb/runtime/http/client.h"

namespace arbutuslb::platform {

// The platform requests this path once a second; status 200 means that it may route callers here.
inline constexpr const char* readiness_path = "/readiness";

// Decodes the headers of a caller's request that the daemons act on. Removes the headers that the
// daemons set themselves from its message.
core::gateway::call decode_call(core::http_request request);

// Encodes a request as it is sent to the upstream.
core::http_request encode_run_request(const core::gateway::run_request& request);

// Derives the result of a request from the upstream's complete answer.
core::gateway::run_result decode_answer(core::http_response answer);

// Returns which request the answer names by its attempt id.
runtime::http::answer_owner owner_of(const core::http_response& answer,
                                     const std::string& attempt_id);

} // namespace arbutuslb::platform
