// One whole session on the paused clock, compared byte for byte with a golden file.
//
// tools/golden prints the difference; tools/golden --accept takes the new transcript after review.

#include "arbutuslb/core/engine/test_support.h"

#include <fstream>
#include <sstream>

namespace {

using namespace arbutuslb;
using namespace arbutuslb::core;
using namespace arbutuslb::core::engine;
using namespace arbutuslb::core::engine::testing;

class session {
public:
  explicit session(std::uint64_t seed) : fleet(seed), begin(fleet.now()) {}

  void say(const std::string& line) {
    const std::int64_t ms = to_milliseconds(fleet.now() - begin);
    text << ms << "ms " << line << "\n";
  }
  void ask(const std::string& via, const std::string& command, const std::string& document = {},
           const std::string& id = {}) {
    say("operator at " + via + ": " + command);
    text << operators::to_text(fleet.ask(via, command, document, id));
  }
  void call(const std::string& via, const std::string& path, const std::string& body,
            const std::string& key = {}) {
    const answer_caller answer = fleet.call_and_wait(via, path, body, 500ms, key);
    say("call at " + via + " " + path + " " + body + ": status " +
        std::to_string(answer.answer.status) + " outcome " +
        std::to_string(static_cast<int>(answer.outcome)) + " " + answer.reason);
  }
  void events() {
    for (; printed < fleet.events().size(); ++printed) {
      text << "  log: " << fleet.events()[printed] << "\n";
    }
  }

  test_fleet fleet;
  time_point begin;
  std::ostringstream text;
  std::size_t printed = 0;
};

std::string run_session() {
  session run(7);
  add_sample_daemons(run.fleet, {"d1", "d2"});
  run.fleet.add("d1-menu-new", "d1", "menu", "v2");
  run.fleet.add("d2-menu-new", "d2", "menu", "v2");
  run.fleet.run_for(5s);
  run.ask("d1-menu", "publish", fakes::sample_mesh, "publish-1");
  run.ask("d2-menu", "wait 1 within 3");
  run.events();
  run.ask("d1-menu", "show routes");
  run.call("d1-menu", "/menu/today", "m1");
  const std::string key = run.fleet.mint_key("d1-menu");
  run.call("d1-menu", "/pre-orders", "o1", key);
  run.call("d2-menu", "/pre-orders", "o1", key);
  run.call("d2-menu", "/pre-orders", "o2", "not-a-key");
  run.ask("d2-menu", "publish", R"({"routes": [
    {"name": "pay", "path_prefix": "/pay2", "service": "checuot"}]})",
          "publish-2");
  run.ask("d1-menu", "show servises");
  run.ask("d1-menu", "move menu from v1 to v2 by +60s", {}, "move-1");
  generate_calls(run.fleet, "d1-pre-orders", "/menu", 200, 50s);
  generate_calls(run.fleet, "d2-pre-orders", "/stock", 100, 50s);
  run.fleet.run_for(45s);
  run.events();
  run.ask("d2-pre-orders", "show moves");
  run.ask("d1-menu", "show services");
  run.ask("d2-menu", "withdraw d1", {}, "withdraw-1");
  run.ask("d2-menu", "withdraw d1", {}, "withdraw-2");
  run.fleet.run_for(6s);
  run.say("d2-menu is killed and starts again");
  run.fleet.restart("d2-menu");
  run.fleet.run_for(8s);
  run.ask("d2-menu", "what is in force");
  run.ask("d2-menu", "show command withdraw-1");
  run.ask("d1-menu", "return d1", {}, "return-1");
  run.events();
  run.call("d2-menu", "/stock/7", "m2");
  for (const std::string& violation : run.fleet.violations()) {
    run.say("violation: " + violation);
  }
  return run.text.str();
}

std::string golden_path() {
  const char* given = std::getenv("ARBUTUSLB_GOLDEN");
  return given == nullptr ? ARBUTUSLB_SOURCE_DIR "/tests/golden/session.txt" : given;
}

} // namespace

Test(golden, session_is_the_same_on_every_run) {
  const std::string seen = run_session();
  if (std::getenv("ARBUTUSLB_GOLDEN_OUT") != nullptr) {
    std::ofstream(std::getenv("ARBUTUSLB_GOLDEN_OUT")) << seen;
  }
  std::ifstream file(golden_path());
  std::ostringstream expected;
  expected << file.rdbuf();
  cr_assert(seen == expected.str(), "the session differs; see tools/golden");
}
