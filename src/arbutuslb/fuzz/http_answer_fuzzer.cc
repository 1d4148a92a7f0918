// Answers of upstreams, as they arrive on a connection: split anywhere, they must be read alike,
// and one that was read must not be taken for that of another attempt.

#include "arbutuslb/fuzz/fuzz_support.h"
#include "arbutuslb/platform/requests.h"
#include "arbutuslb/runtime/http/message_reader.h"

namespace {

using namespace arbutuslb::runtime::http;
using arbutuslb::core::http_response;
using arbutuslb::fuzz::require;

constexpr read_limits limits{4096, 65536};

struct outcome {
  std::vector<http_response> answers;
  bool has_failed = false;
};

outcome read_all(std::string_view bytes, std::size_t step) {
  message_reader reader(message_kind::response, limits);
  outcome result;
  while (!bytes.empty() && !result.has_failed) {
    std::string_view part = bytes.substr(0, step);
    bytes.remove_prefix(part.size());
    while (!part.empty() && !result.has_failed) {
      const std::size_t consumed = reader.consume(part);
      part.remove_prefix(consumed);
      result.has_failed = reader.state() == read_state::failed;
      if (reader.state() == read_state::complete) {
        result.answers.push_back(reader.take_response());
      } else {
        require(consumed > 0 || result.has_failed, "the reader makes progress");
      }
    }
  }
  if (!result.has_failed) {
    reader.end_of_stream();
    if (reader.state() == read_state::complete) {
      result.answers.push_back(reader.take_response());
    }
  }
  return result;
}

} // namespace

// The engine defines the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes = arbutuslb::fuzz::to_text(data, size);
  const outcome whole = read_all(bytes, std::max<std::size_t>(size, 1));
  const outcome single = read_all(bytes, 1);
  require(whole.answers.size() == single.answers.size() && whole.has_failed == single.has_failed,
          "the same answers byte by byte");
  for (std::size_t i = 0; i < whole.answers.size(); ++i) {
    const http_response& answer = whole.answers[i];
    require(answer.status == single.answers[i].status && answer.body == single.answers[i].body,
            "the same answer byte by byte");
    const std::string* id = arbutuslb::core::find_header(answer.headers, "X-Attempt-Identifier");
    const answer_owner owner = arbutuslb::platform::owner_of(answer, "mine");
    require(owner != answer_owner::this_request || (id != nullptr && *id == "mine") ||
                arbutuslb::platform::owner_of(answer, "other") == owner,
            "an answer that names its attempt belongs to no other");
    require(id == nullptr || *id == "mine" || owner != answer_owner::this_request,
            "an answer of another attempt is not taken");
    const arbutuslb::core::gateway::run_result result = arbutuslb::platform::decode_answer(answer);
    const arbutuslb::core::http_response& passed_on = result.answer;
    const outcome again = read_all(serialize(passed_on, false), 64);
    require(!again.has_failed || arbutuslb::fuzz::has_refused_field(passed_on.headers),
            "an answer that is passed on can be read");
  }
  return 0;
}
