// Requests of callers, as they arrive on a connection: split anywhere, they must be read alike, and
// what was read must be the same after it has been written and read again.

#include "arbutuslb/fuzz/message_stream.h"
#include "arbutuslb/platform/requests.h"

namespace {

using namespace arbutuslb::runtime::http;
using arbutuslb::core::http_request;
using arbutuslb::fuzz::require;

auto read_all(std::string_view bytes, std::size_t step) {
  message_reader reader(message_kind::request, arbutuslb::fuzz::stream_limits);
  return arbutuslb::fuzz::read_stream(reader, bytes, step,
                                      [](message_reader& value) { return value.take_request(); });
}

bool is_same(const http_request& one, const http_request& other) {
  return one.method == other.method && one.target == other.target && one.body == other.body;
}

} // namespace

// The engine defines the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes = arbutuslb::fuzz::to_text(data, size);
  const auto whole = read_all(bytes, std::max<std::size_t>(size, 1));
  require(arbutuslb::fuzz::is_read_alike(whole, read_all(bytes, 1), is_same),
          "the same requests byte by byte");
  for (const http_request& request : whole.messages) {
    if (arbutuslb::fuzz::has_refused_field(request.headers)) {
      continue;
    }
    arbutuslb::core::gateway::run_request run;
    run.content = arbutuslb::platform::decode_call(request);
    run.caller_service = "menu";
    run.instance_id = "i-1";
    const auto again = read_all(serialize(arbutuslb::platform::encode_run_request(run)), 64);
    require(again.messages.size() == 1 && !again.has_failed, "one request is sent for one read");
    require(is_same(again.messages[0], request), "a request is sent as it was read");
  }
  return 0;
}
