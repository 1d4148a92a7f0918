// Encodes usage reports for the platform, and decodes its answers.
#pragma once

#include "arbutuslb/core/duties/usage_duty.h"
#include "arbutuslb/runtime/http/client.h"

namespace arbutuslb::platform {

// The topic of the platform's store in which the content of each report is kept, and its only key.
inline constexpr const char* usage_topic = "keyed.arbutuslb-usage";
inline constexpr const char* usage_key = "usage";

core::http_request encode_usage_report(const core::duties::usage_record& record);

// A report that the platform may accept at another time is `unknown`.
core::duties::post_outcome decode_usage_answer(const runtime::http::exchange_result& exchange);

} // namespace arbutuslb::platform
