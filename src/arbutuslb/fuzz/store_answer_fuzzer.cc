// Answers of the platform's store: the first byte selects the call. Malformed bytes fail the read,
// or are reported by an exception that the caller of `decode_page` handles.

#include "arbutuslb/fuzz/fuzz_support.h"
#include "arbutuslb/platform/store_answers.h"

namespace platform = arbutuslb::platform;
using arbutuslb::fuzz::require;

// The engine defines the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto [selector, bytes] =
      arbutuslb::fuzz::split_selector(arbutuslb::fuzz::to_text(data, size));
  if (selector % 2 == 0) {
    constexpr std::uint64_t from = 7;
    const platform::read_result read = platform::decode_records(bytes, from);
    std::uint64_t previous = from;
    for (const platform::store_record& record : read.records) {
      require(record.offset >= previous, "offsets rise");
      require(record.key.size() + record.value.size() <= bytes.size(), "no byte is invented");
      previous = record.offset + 1;
    }
    require(read.status != platform::read_status::ok || read.next_offset >= previous,
            "the next read begins behind the last record");
    return 0;
  }
  platform::read_result page;
  try {
    const std::string next = platform::decode_page(std::string(bytes), true, page);
    require(next.empty() || next == page.records.back().key, "the next page follows the last key");
  } catch (const std::exception&) {
    // The read fails.
  }
  return 0;
}
