// Answers of upstreams, as they arrive on a connection: split anywhere, they must be read alike,
// and one that was read must not be taken for that of another attempt.

#include "arbutuslb/fuzz/message_stream.h"
#include "arbutuslb/platform/requests.h"

namespace {

using namespace arbutuslb::runtime::http;
using arbutuslb::core::http_response;
using arbutuslb::fuzz::require;

auto read_all(std::string_view bytes, std::size_t step) {
  const auto take = [](message_reader& reader) { return reader.take_response(); };
  message_reader reader(message_kind::response, arbutuslb::fuzz::stream_limits);
  auto result = arbutuslb::fuzz::read_stream(reader, bytes, step, take);
  if (!result.has_failed) {
    reader.end_of_stream();
    if (reader.state() == read_state::complete) {
      result.messages.push_back(reader.take_response());
    }
  }
  return result;
}

bool is_same(const http_response& one, const http_response& other) {
  return one.status == other.status && one.body == other.body;
}

} // namespace

// The engine defines the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes = arbutuslb::fuzz::to_text(data, size);
  const auto whole = read_all(bytes, std::max<std::size_t>(size, 1));
  require(arbutuslb::fuzz::is_read_alike(whole, read_all(bytes, 1), is_same),
          "the same answers byte by byte");
  for (const http_response& answer : whole.messages) {
    const std::string* id = arbutuslb::core::find_header(answer.headers, "X-Attempt-Identifier");
    const answer_owner owner = arbutuslb::platform::owner_of(answer, "mine");
    require(owner != answer_owner::this_request || (id != nullptr && *id == "mine") ||
                arbutuslb::platform::owner_of(answer, "other") == owner,
            "an answer that names its attempt belongs to no other");
    require(id == nullptr || *id == "mine" || owner != answer_owner::this_request,
            "an answer of another attempt is not taken");
    const arbutuslb::core::gateway::run_result result = arbutuslb::platform::decode_answer(answer);
    if (result.outcome != arbutuslb::core::gateway::run_outcome::answered) {
      continue; // nothing is passed on
    }
    const arbutuslb::core::http_response& passed_on = result.answer;
    require(passed_on.status >= 100 && passed_on.status <= 599, "its status has a class");
    const auto again = read_all(serialize(passed_on, false), 64);
    require(!again.has_failed || arbutuslb::fuzz::has_refused_field(passed_on.headers),
            "an answer that is passed on can be read");
  }
  return 0;
}
