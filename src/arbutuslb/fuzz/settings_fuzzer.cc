// The settings of a daemon: whatever is wrong is reported as findings.

#include "arbutuslb/core/base/finding.h"
#include "arbutuslb/fuzz/fuzz_support.h"
#include "arbutuslb/runtime/gateway_settings.h"

// The engine defines the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  try {
    arbutuslb::runtime::parse_gateway_settings(arbutuslb::fuzz::to_text(data, size));
  } catch (const arbutuslb::core::findings_error& error) {
    arbutuslb::fuzz::require(std::string_view(error.what()).size() > 1,
                             "a finding says what it is");
  }
  return 0;
}
