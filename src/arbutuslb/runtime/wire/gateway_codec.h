// Encodes and decodes the messages between daemons of the data path (gateway.proto).
#pragma once

#include "arbutuslb/core/duties/usage_duty.h"
#include "arbutuslb/core/gateway/calls.h"
#include "arbutuslb/core/gateway/peer_report.h"
#include "arbutuslb/core/gateway/upstream_registry.h"
#include "arbutuslb/runtime/wire/codec.h"

#include <string>
#include <string_view>
#include <vector>

namespace arbutuslb::runtime::wire {

// An operator record in its stored form, with its position in the log.
struct stored_record {
  core::gateway::log_position position;
  std::string key;
  std::string value;
};
struct operator_records_reply {
  std::vector<stored_record> operator_records;
  core::gateway::log_position end; // after the last record that the sender has received
};

std::string encode(const core::gateway::run_request& value);
std::string encode(const core::gateway::run_result& value);
std::string encode(const core::gateway::report_bundle& bundle);
std::string encode(const operator_records_reply& value);
std::string encode_operator_records_request(const core::gateway::log_position& from);
std::string encode_suspicions(const std::vector<core::calls::suspicion>& value);
std::string encode(const core::duties::usage_record& value);
std::string encode_departure(const core::gateway::upstream_incarnation& value);

// All throw `codec_error` if the bytes are malformed or contain a value out of range.
core::gateway::run_request decode_run_request(std::string_view bytes);
core::gateway::run_result decode_run_result(std::string_view bytes);
// `host` is the address from which the bytes were received. It becomes the host of reports whose
// host field is empty.
core::gateway::report_bundle decode_reports(std::string_view bytes, const std::string& host);
operator_records_reply decode_operator_records_reply(std::string_view bytes);
core::gateway::log_position decode_operator_records_request(std::string_view bytes);
std::vector<core::calls::suspicion> decode_suspicions(std::string_view bytes);
core::duties::usage_record decode_usage_record(std::string_view bytes);
core::gateway::upstream_incarnation decode_departure(std::string_view bytes);

} // namespace arbutuslb::runtime::wire
