// Evidence of a move on the wire, shared by the codecs of both kinds of daemons' messages.
#pragma once

#include "arbutuslb/core/protocol/messages.h"
#include "arbutuslb/runtime/wire/peer.pb.h"

namespace arbutuslb::runtime::wire {

void put(const core::protocol::evidence_report& from, EvidenceReport& to);

// Throws `codec_error` if a value is out of range.
core::protocol::evidence_report take(const EvidenceReport& from);

} // namespace arbutuslb::runtime::wire
