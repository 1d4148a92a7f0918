// Requests of callers, as they arrive on a connection: split anywhere, they must be read alike, and
// what was read must be the same after it has been written and read again.

#include "arbutuslb/fuzz/fuzz_support.h"
#include "arbutuslb/platform/requests.h"
#include "arbutuslb/runtime/http/message_reader.h"

namespace {

using namespace arbutuslb::runtime::http;
using arbutuslb::core::http_request;
using arbutuslb::fuzz::require;

constexpr read_limits limits{4096, 65536};
constexpr std::size_t max_requests = 16;

struct outcome {
  std::vector<http_request> requests;
  bool has_failed = false;
};

outcome read_all(std::string_view bytes, std::size_t step) {
  message_reader reader(message_kind::request, limits);
  outcome result;
  while (!bytes.empty() && !result.has_failed && result.requests.size() < max_requests) {
    std::string_view part = bytes.substr(0, step);
    bytes.remove_prefix(part.size());
    while (!part.empty() && !result.has_failed) {
      const std::size_t consumed = reader.consume(part);
      part.remove_prefix(consumed);
      result.has_failed = reader.state() == read_state::failed;
      if (reader.state() == read_state::complete) {
        result.requests.push_back(reader.take_request());
      } else {
        require(consumed > 0 || result.has_failed, "the reader makes progress");
      }
    }
  }
  return result;
}

bool is_same(const http_request& one, const http_request& other) {
  return one.method == other.method && one.target == other.target && one.body == other.body;
}

} // namespace

// The engine defines the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes = arbutuslb::fuzz::to_text(data, size);
  const outcome whole = read_all(bytes, std::max<std::size_t>(size, 1));
  const outcome single = read_all(bytes, 1);
  if (whole.requests.size() < max_requests) {
    require(whole.requests.size() == single.requests.size() &&
                whole.has_failed == single.has_failed,
            "the same requests byte by byte");
  }
  for (std::size_t i = 0; i < std::min(whole.requests.size(), single.requests.size()); ++i) {
    require(is_same(whole.requests[i], single.requests[i]), "the same request byte by byte");
  }
  for (const http_request& request : whole.requests) {
    if (arbutuslb::fuzz::has_refused_field(request.headers)) {
      continue;
    }
    arbutuslb::core::gateway::run_request run;
    run.content = arbutuslb::platform::decode_call(request);
    run.caller_service = "menu";
    run.instance_id = "i-1";
    const outcome again = read_all(serialize(arbutuslb::platform::encode_run_request(run)), 64);
    require(again.requests.size() == 1 && !again.has_failed, "one request is sent for one read");
    require(is_same(again.requests[0], request), "a request is sent as it was read");
  }
  return 0;
}
