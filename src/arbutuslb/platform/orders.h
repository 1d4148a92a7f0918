// Reads what operators write into the platform's store, and writes what they read there.
#pragma once

#include "arbutuslb/core/gateway/events.h"

#include <string>
#include <string_view>

namespace arbutuslb::platform {

// The topics of the platform's store that this system reads or writes.
inline constexpr const char* orders_topic = "keyed.op";
inline constexpr const char* outcomes_topic = "keyed.status";
inline constexpr const char* members_topic = "keyed.arbutuslb-members";

// Decodes one record; an empty `value` means that the order was taken back. A record that cannot be
// read becomes an `unreadable_record` with its findings.
core::gateway::operator_record decode_operator_record(std::uint64_t offset, std::string key,
                                                      const std::string& value);

// Decodes the configuration. Throws `core::findings_error` with every finding and its place.
core::gateway::mesh_configuration decode_configuration(std::string_view text);

// The key and value under which the outcome of a rollout is kept.
std::string outcome_key(const std::string& service);
std::string encode_outcome(const core::gateway::record_outcome& outcome);
// Returns nothing, with a reason, if the record is no outcome.
std::optional<core::gateway::outcomes_read::outcome> decode_outcome(const std::string& key,
                                                                    const std::string& value);

} // namespace arbutuslb::platform
