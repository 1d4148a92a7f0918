#include "arbutuslb/runtime/wire/codec.h"
#include "arbutuslb/runtime/wire/gateway_codec.h"

#include <criterion/criterion.h>

namespace {

using namespace arbutuslb;
using namespace arbutuslb::runtime::wire;
namespace protocol = core::protocol;

protocol::message message_with(protocol::message_body body) {
  protocol::message value;
  value.sender.id = {42};
  value.sender.name = "district-1-menu";
  value.sender.address = {"127.0.0.1", 1000, 1001};
  value.sender.domain = "district-1";
  value.sender_digest = {7, 8, std::chrono::milliseconds{9}, 10, {{11, std::chrono::seconds{12}}}};
  value.updates = {value.sender};
  value.body = std::move(body);
  return value;
}

// Returns one message for each alternative of the variant.
template <std::size_t... Index>
std::vector<protocol::message> one_of_each_kind(std::index_sequence<Index...>) {
  return {message_with(std::variant_alternative_t<Index, protocol::message_body>{})...};
}

bool is_rejected(const std::string& bytes, std::size_t max_bytes) {
  try {
    decode(bytes, max_bytes);
  } catch (const codec_error&) {
    return true;
  }
  return false;
}

} // namespace

Test(codec, every_kind_of_message_survives_a_round_trip) {
  constexpr std::size_t kinds = std::variant_size_v<protocol::message_body>;
  for (const protocol::message& value : one_of_each_kind(std::make_index_sequence<kinds>{})) {
    const std::string bytes = encode(value);
    const protocol::message copy = decode(bytes, protocol::max_stream_message_bytes);
    cr_assert_eq(copy.body.index(), value.body.index());
    cr_assert(copy.sender == value.sender);
    cr_assert(copy.sender_digest == value.sender_digest);
    cr_assert_eq(encode(copy), bytes);
  }
}

Test(codec, a_call_keeps_all_its_fields) {
  protocol::call_request request;
  request.id = {{1}, {2}, 3};
  request.target_epoch = {4};
  request.service = "menu";
  request.priority = core::config::request_class::critical;
  request.idempotent = false;
  request.remaining = std::chrono::milliseconds{250};
  request.content = {"POST", "/menu", "text/plain", std::string("a\0b", 3), "key", 3};
  const protocol::message copy =
      decode(encode(message_with(request)), protocol::max_stream_message_bytes);
  const protocol::call_request& seen = std::get<protocol::call_request>(copy.body);
  cr_assert(seen.id == request.id);
  cr_assert(seen.content == request.content);
  cr_assert(seen.remaining == request.remaining);
  cr_assert_not(seen.idempotent);
}

Test(codec, truncated_messages_are_rejected_or_have_no_extra_records) {
  protocol::config_push push{3, {"one", "two"}};
  const std::string bytes = encode(message_with(push));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    try {
      const protocol::message truncated =
          decode({bytes.data(), size}, protocol::max_stream_message_bytes);
      const protocol::config_push* seen = std::get_if<protocol::config_push>(&truncated.body);
      cr_assert(seen == nullptr || seen->records.size() <= 2);
    } catch (const codec_error&) {
      continue;
    }
  }
  cr_assert(is_rejected(bytes.substr(0, bytes.size() / 2), protocol::max_stream_message_bytes));
}

Test(codec, other_protocol_versions_oversized_messages_and_garbage_are_rejected) {
  std::string bytes = encode(message_with(protocol::ping{}));
  cr_assert(is_rejected(bytes, bytes.size() - 1));
  cr_assert_eq(bytes[1], static_cast<char>(protocol_version));
  bytes[1] = static_cast<char>(protocol_version + 1);
  cr_assert(is_rejected(bytes, protocol::max_stream_message_bytes));
  cr_assert(is_rejected("", protocol::max_stream_message_bytes));
  cr_assert(is_rejected(std::string(100, '\xff'), protocol::max_stream_message_bytes));
}

Test(codec, values_out_of_range_are_rejected) {
  protocol::message value = message_with(protocol::ping{});
  value.sender.status = static_cast<core::membership::member_status>(9);
  cr_assert(is_rejected(encode(value), protocol::max_stream_message_bytes));
}

// Guards against answers that are never sent: a report that named an odd host made each later
// report to it fail, and with it the rest of the event in which it was due.
Test(gateway_codec, a_report_with_an_odd_host_is_malformed) {
  for (const char* host : {"no-address", "10.0.0.999", "::1", "10.0.0.1 "}) {
    core::gateway::report_bundle bundle;
    bundle.reports.emplace_back();
    bundle.reports.back().content.host = host;
    bundle.reports.back().age = core::duration{1}; // a direct report bears no host
    cr_assert_throw(decode_reports(encode(bundle), "10.0.0.1"), codec_error);
  }
}
