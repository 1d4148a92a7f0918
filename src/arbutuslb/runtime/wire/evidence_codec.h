// Converts evidence reports to and from protobuf. Shared by the codecs of peer.proto and
// gateway.proto.
#pragma once

#include "arbutuslb/core/protocol/messages.h"
#include "arbutuslb/runtime/wire/peer.pb.h"

namespace arbutuslb::runtime::wire {

void to_proto(const core::protocol::evidence_report& from, EvidenceReport& to);

// Throws `codec_error` if a value is out of range.
core::protocol::evidence_report from_proto(const EvidenceReport& from);

} // namespace arbutuslb::runtime::wire
