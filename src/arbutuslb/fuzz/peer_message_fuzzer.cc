// Messages of other daemons. The first byte selects the kind. Malformed ones are reported by
// `codec_error`; the others must be handled, and encoded and decoded again alike.

#include "arbutuslb/fuzz/fuzz_support.h"
#include "arbutuslb/runtime/operator_records.h"
#include "arbutuslb/runtime/wire/gateway_codec.h"

namespace {

namespace gateway = arbutuslb::core::gateway;
namespace wire = arbutuslb::runtime::wire;
using arbutuslb::fuzz::require;

// Also completes the attempt that the core sends for a request, with the decoded result.
void feed_result(arbutuslb::fuzz::fuzzed_daemon& daemon, const gateway::run_result& result) {
  gateway::call_received call;
  call.token = 77;
  call.content.attempt_id = "a-77";
  call.content.host = "shop.example";
  call.content.message.target = "/menu/1";
  for (const gateway::action& item : daemon.feed(std::move(call))) {
    if (const gateway::send_to_peer* sent = std::get_if<gateway::send_to_peer>(&item)) {
      daemon.feed(gateway::attempt_completed{sent->attempt, result});
    } else if (const auto* local = std::get_if<gateway::send_to_upstream>(&item)) {
      daemon.feed(gateway::attempt_completed{local->attempt, result});
    }
  }
}

void decode(unsigned selector, std::string_view bytes) {
  arbutuslb::fuzz::fuzzed_daemon daemon;
  switch (selector % 7) {
  case 0: {
    gateway::run_request request = wire::decode_run_request(bytes);
    const std::string once = wire::encode(request);
    require(wire::encode(wire::decode_run_request(once)) == once, "a request stays the same");
    daemon.feed(gateway::run_requested{5, std::move(request)});
    break;
  }
  case 1: {
    const gateway::run_result result = wire::decode_run_result(bytes);
    const std::string once = wire::encode(result);
    require(wire::encode(wire::decode_run_result(once)) == once, "a result stays the same");
    feed_result(daemon, result);
    break;
  }
  case 2:
    daemon.feed(gateway::reports_received{"10.0.0.2", wire::decode_reports(bytes, "10.0.0.2")});
    break;
  case 3:
    try {
      daemon.feed(arbutuslb::runtime::decode_fetched(std::string(bytes)));
    } catch (const std::runtime_error&) {
      return; // dropped, as all of its decoding errors
    }
    break;
  case 4:
    wire::decode_operator_records_request(bytes);
    break;
  case 5: {
    gateway::peers_discovered found;
    found.suspicions = wire::decode_suspicions(bytes);
    daemon.feed(std::move(found));
    break;
  }
  default: {
    gateway::peers_discovered found;
    found.departed = wire::decode_departure(bytes);
    daemon.feed(std::move(found));
    break;
  }
  }
  daemon.go_on();
}

} // namespace

// The engine defines the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto [selector, bytes] =
      arbutuslb::fuzz::split_selector(arbutuslb::fuzz::to_text(data, size));
  try {
    decode(selector, bytes);
  } catch (const wire::codec_error&) {
    // The message is dropped.
  }
  return 0;
}
