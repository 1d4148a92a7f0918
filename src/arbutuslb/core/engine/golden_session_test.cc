// Runs one complete session on the paused clock and compares its transcript byte for byte with a
// golden file.
//
// tools/golden prints the difference. After a review, tools/golden --accept replaces the golden
// file.

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

  void write_line(const std::string& line) {
    const std::int64_t ms = to_milliseconds(fleet.now() - begin);
    text << ms << "ms " << line << "\n";
  }
  void send_command(const std::string& via, const std::string& command,
                    const std::string& document = {}, const std::string& id = {}) {
    write_line("operator at " + via + ": " + command);
    text << operators::to_text(fleet.ask(via, command, document, id));
  }
  void send_call(const std::string& via, const std::string& path, const std::string& body,
                 const std::string& key = {}) {
    const answer_caller answer = fleet.call_and_wait(via, path, body, 500ms, key);
    write_line("call at " + via + " " + path + " " + body + ": status " +
               std::to_string(answer.answer.status) + " outcome " +
               std::to_string(static_cast<int>(answer.outcome)) + " " + answer.reason);
  }
  void write_new_events() {
    for (; written_events < fleet.events().size(); ++written_events) {
      text << "  log: " << fleet.events()[written_events] << "\n";
    }
  }

  test_fleet fleet;
  time_point begin;
  std::ostringstream text;
  std::size_t written_events = 0;
};

std::string run_session() {
  session run(7);
  add_sample_daemons(run.fleet, {"d1", "d2"});
  run.fleet.add("d1-menu-new", "d1", "menu", "v2");
  run.fleet.add("d2-menu-new", "d2", "menu", "v2");
  run.fleet.run_for(5s);
  run.send_command("d1-menu", "publish", fakes::sample_mesh, "publish-1");
  run.send_command("d2-menu", "wait 1 within 3");
  run.write_new_events();
  run.send_command("d1-menu", "show routes");
  run.send_call("d1-menu", "/menu/today", "m1");
  const std::string key = run.fleet.mint_key("d1-menu");
  run.send_call("d1-menu", "/pre-orders", "o1", key);
  run.send_call("d2-menu", "/pre-orders", "o1", key);
  run.send_call("d2-menu", "/pre-orders", "o2", "not-a-key");
  run.send_command("d2-menu", "publish", R"({"routes": [
    {"name": "pay", "path_prefix": "/pay2", "service": "checuot"}]})",
                   "publish-2");
  run.send_command("d1-menu", "show servises");
  run.send_command("d1-menu", "move menu from v1 to v2 by +60s", {}, "move-1");
  generate_calls(run.fleet, "d1-pre-orders", "/menu", 200, 50s);
  generate_calls(run.fleet, "d2-pre-orders", "/stock", 100, 50s);
  run.fleet.run_for(45s);
  run.write_new_events();
  run.send_command("d2-pre-orders", "show moves");
  run.send_command("d1-menu", "show services");
  run.send_command("d2-menu", "withdraw d1", {}, "withdraw-1");
  run.send_command("d2-menu", "withdraw d1", {}, "withdraw-2");
  run.fleet.run_for(6s);
  run.write_line("d2-menu is killed and starts again");
  run.fleet.restart("d2-menu");
  run.fleet.run_for(8s);
  run.send_command("d2-menu", "what is in force");
  run.send_command("d2-menu", "show command withdraw-1");
  run.send_command("d1-menu", "return d1", {}, "return-1");
  run.write_new_events();
  run.send_call("d2-menu", "/stock/7", "m2");
  for (const std::string& violation : run.fleet.violations()) {
    run.write_line("violation: " + violation);
  }
  return run.text.str();
}

std::string golden_path() {
  const char* override_path = std::getenv("ARBUTUSLB_GOLDEN");
  return override_path == nullptr ? ARBUTUSLB_SOURCE_DIR "/tests/golden/session.txt"
                                  : override_path;
}

} // namespace

Test(golden, session_is_the_same_on_every_run) {
  const std::string transcript = run_session();
  if (std::getenv("ARBUTUSLB_GOLDEN_OUT") != nullptr) {
    std::ofstream(std::getenv("ARBUTUSLB_GOLDEN_OUT")) << transcript;
  }
  std::ifstream file(golden_path());
  std::ostringstream expected;
  expected << file.rdbuf();
  cr_assert(transcript == expected.str(), "the session differs; see tools/golden");
}
