// Decodes the records that operators write to the platform's store, and encodes the rollout
// outcomes that they read there.
#pragma once

#include "arbutuslb/core/gateway/events.h"

#include <string>
#include <string_view>

namespace arbutuslb::platform {

// The topics of the platform's store that this system reads or writes.
inline constexpr const char* operator_topic = "keyed.op";
inline constexpr const char* outcomes_topic = "keyed.status";
inline constexpr const char* members_topic = "keyed.arbutuslb-members";

// Decodes one record; an empty `value` means that the record was removed. A record that cannot be
// decoded becomes an `unreadable_record` with its findings.
core::gateway::operator_record decode_operator_record(const core::gateway::log_position& position,
                                                      std::string key, const std::string& value);

// Decodes a configuration. Throws `core::findings_error` with every finding and its place.
core::gateway::mesh_configuration decode_configuration(std::string_view text);

// The key and the value of the record that stores the outcome of a service's rollout.
std::string outcome_key(const std::string& service);
std::string encode_outcome(const core::gateway::record_outcome& outcome);
// Returns `std::nullopt` if the record is not an outcome.
std::optional<core::gateway::outcomes_read::outcome> decode_outcome(const std::string& key,
                                                                    const std::string& value);

} // namespace arbutuslb::platform
