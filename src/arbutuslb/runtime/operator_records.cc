#include "arbutuslb/runtime/operator_records.h"

#include "arbutuslb/platform/orders.h"
#include "arbutuslb/runtime/compression.h"
#include "arbutuslb/runtime/wire/gateway_codec.h"

#include <map>

namespace arbutuslb::runtime {
namespace {

namespace gateway = core::gateway;

// The store accepts no larger record.
constexpr std::size_t max_record_bytes = std::size_t{16} * 1024 * 1024;

} // namespace

gateway::operator_records_received decode_read(platform::read_result read, bool is_complete) {
  gateway::operator_records_received decoded;
  decoded.end = {read.era, is_complete ? read.end_offset : read.next_offset};
  decoded.is_complete = is_complete;
  std::map<std::string, std::uint64_t> newest; // offset by key
  for (const platform::store_record& record : read.records) {
    newest[record.key] = record.offset;
  }
  for (platform::store_record& record : read.records) {
    if (newest[record.key] != record.offset) {
      continue; // superseded by a newer record of its key; large records take time to decode
    }
    std::string compressed = record.value.empty() ? "" : compress(record.value);
    decoded.records.push_back(platform::decode_operator_record(
        {read.era, record.offset}, std::move(record.key), record.value));
    decoded.records.back().raw = std::move(compressed);
  }
  return decoded;
}

gateway::operator_records_received decode_fetched(const std::string& answer) {
  gateway::operator_records_received decoded;
  wire::operator_records_reply reply = wire::decode_operator_records_reply(answer);
  decoded.end = reply.end;
  for (wire::stored_record& stored : reply.operator_records) {
    const std::string value =
        stored.value.empty() ? "" : decompress(stored.value, max_record_bytes);
    decoded.records.push_back(
        platform::decode_operator_record(stored.position, std::move(stored.key), value));
    decoded.records.back().raw = std::move(stored.value);
  }
  return decoded;
}

std::string answer_fetch(const std::string& request, const gateway::operator_state& state) {
  const gateway::log_position from = wire::decode_operator_records_request(request);
  wire::operator_records_reply reply;
  reply.end = state.end();
  for (const auto& [key, record] : state.records()) {
    if (record.position >= from) {
      reply.operator_records.push_back({record.position, key, record.raw});
    }
  }
  return wire::encode(reply);
}

} // namespace arbutuslb::runtime
