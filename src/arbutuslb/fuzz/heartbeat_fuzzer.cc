// Calls by which upstreams report their state. The first byte selects method and path.

#include "arbutuslb/fuzz/fuzz_support.h"
#include "arbutuslb/platform/heartbeats.h"

namespace gateway = arbutuslb::core::gateway;
namespace platform = arbutuslb::platform;
using arbutuslb::fuzz::require;

// The engine defines the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  constexpr const char* methods[] = {"PUT", "DELETE", "POST"};
  constexpr const char* targets[] = {"/instances/i-1", "/instances/i-2", "/instances/", "/"};
  const auto [selector, bytes] =
      arbutuslb::fuzz::split_selector(arbutuslb::fuzz::to_text(data, size));
  arbutuslb::core::http_request request;
  request.method = methods[selector % 3];
  request.target = targets[selector / 3 % 4];
  request.body = std::string(bytes);
  std::variant<gateway::heartbeat, platform::deregistration, platform::rejected_call> call =
      platform::decode_upstream_call(request);
  if (const platform::rejected_call* rejected = std::get_if<platform::rejected_call>(&call)) {
    require(rejected->status >= 400 && !rejected->reason.empty(), "a rejection says why");
    return 0;
  }
  arbutuslb::fuzz::fuzzed_daemon daemon;
  if (gateway::heartbeat* beat = std::get_if<gateway::heartbeat>(&call)) {
    daemon.feed(gateway::heartbeat_received{2, *beat});
    daemon.feed(gateway::heartbeat_received{3, std::move(*beat)}); // once more
  } else {
    daemon.feed(
        gateway::deregistration_received{2, std::get<platform::deregistration>(call).instance_id});
  }
  daemon.go_on();
  return 0;
}
