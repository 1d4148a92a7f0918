// Records that operators write. The first byte selects the key. A record that cannot be read must
// not end anything; the configuration before it remains in force.

#include "arbutuslb/fuzz/fuzz_support.h"
#include "arbutuslb/platform/orders.h"

namespace gateway = arbutuslb::core::gateway;
namespace platform = arbutuslb::platform;

// The engine defines the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  constexpr const char* keys[] = {"config",     "rollout/menu", "rollout/",
                                  "evacuate/a", "evacuate/",    "else"};
  const auto [selector, bytes] =
      arbutuslb::fuzz::split_selector(arbutuslb::fuzz::to_text(data, size));
  const std::string key = keys[selector % std::size(keys)];
  if (selector >= 128) {
    platform::decode_outcome(key, std::string(bytes));
    return 0;
  }
  gateway::operator_record record =
      platform::decode_operator_record({0, 1}, key, std::string(bytes));
  if (const auto* unreadable = std::get_if<gateway::unreadable_record>(&record.value)) {
    arbutuslb::fuzz::require(!unreadable->reason.empty(), "an unreadable record says why");
    return 0;
  }
  arbutuslb::fuzz::fuzzed_daemon daemon;
  gateway::operator_records_received received;
  received.records.push_back(std::move(record));
  received.end = {0, 2};
  daemon.feed(std::move(received));
  daemon.go_on();
  return 0;
}
