// Converts operator records between the store, the core and the messages of peers.
#pragma once

#include "arbutuslb/core/gateway/events.h"
#include "arbutuslb/platform/store_client.h"

#include <string>

namespace arbutuslb::runtime {

// Decodes the records of one read of the operators' log; of each key only the newest one. If
// `is_complete`, the read has the newest record of every key. Otherwise it may have been cut before
// the end of the log, and `end` of the result is the position after its last record: the sender of
// a report with that position holds every record before it.
core::gateway::operator_records_received decode_read(platform::read_result read, bool is_complete);

// Decodes the answer of a peer to a request for operator records. Throws an exception derived from
// `std::runtime_error` if it is malformed.
core::gateway::operator_records_received decode_fetched(const std::string& answer);

// Answers a peer's request for operator records. Throws `wire::codec_error` if it is malformed.
std::string answer_fetch(const std::string& request, const core::gateway::operator_state& state);

} // namespace arbutuslb::runtime
