// Callers' requests and upstreams' answers, as they are spoken on this platform.
#pragma once

#include "arbutuslb/core/gateway/calls.h"

namespace arbutuslb::platform {

// Asked for by the platform once a second; 200 means that callers may be sent here.
inline constexpr const char* readiness_path = "/readiness";

// Takes the fields that the daemons act on out of a caller's request.
core::gateway::call decode_call(core::http_request request);

// The request as the upstream gets it.
core::http_request encode_run(const core::gateway::run_request& request);

// What an upstream's whole answer says of the request that it answers.
core::gateway::run_result decode_answer(core::http_response answer);

// True if the answer is not marked as the answer to another attempt.
bool is_answer_to(const core::http_response& answer, const std::string& attempt_id);

} // namespace arbutuslb::platform
