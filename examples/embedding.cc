// Runs two daemon cores on a manual clock without the daemon's runtime; see docs/EMBEDDING.md.

#include "arbutuslb/core/engine/daemon_core.h"
#include "arbutuslb/fakes/log_store.h"

#include <iostream>

using namespace arbutuslb::core;
using namespace arbutuslb::core::engine;

namespace {

core_settings settings_of(const std::string& name, std::uint16_t port) {
  core_settings settings;
  settings.instance = name;
  settings.domain = "d1";
  settings.address = {"10.0.0.1", port, port};
  settings.service = "menu";
  settings.version = "v1";
  settings.seeds = {{"10.0.0.1", 1, 1}};
  return settings;
}

// Delivers events to the two cores and performs those of their actions that this example needs:
// messages, log accesses and answers to operators.
class driver {
public:
  driver() : left_(settings_of("left", 1), 1, now_), right_(settings_of("right", 2), 2, now_) {}

  // Handles an event and performs the resulting actions.
  void deliver(daemon_core& to, const event& value) {
    for (const action& item : to.handle(value, now_)) {
      perform(to, item);
    }
  }

  // Advances the clock by `time`, with ticks for both cores.
  void advance(duration time) {
    for (const time_point end = now_ + time; now_ < end; now_ += tick_period) {
      deliver(left_, tick{});
      deliver(right_, tick{});
    }
  }

  daemon_core& left() { return left_; }
  daemon_core& right() { return right_; }

private:
  void perform(daemon_core& from, const action& item) {
    if (const send_message* message = std::get_if<send_message>(&item)) {
      deliver(message->to == left_.self().address ? left_ : right_, peer_message{message->value});
    } else if (const read_log* read = std::get_if<read_log>(&item)) {
      const arbutuslb::fakes::log_store::slice found =
          log_.read(read->stream, read->from_offset, 9);
      // A long poll without records would be answered at its timeout. The example does not answer
      // it.
      if (!found.records.empty() || read->wait == duration::zero()) {
        deliver(from, log_read{read->request, read->stream, false, found.first, found.records,
                               found.oldest, found.next});
      }
    } else if (const append_log* append = std::get_if<append_log>(&item)) {
      const std::uint64_t offset = log_.append(append->stream, append->record);
      deliver(from, log_appended{append->request, append_result::appended, offset});
    } else if (const answer_operator* answer = std::get_if<answer_operator>(&item)) {
      std::cout << answer->body << "\n";
    }
  }

  time_point now_{std::chrono::hours{24}};
  arbutuslb::fakes::log_store log_;
  daemon_core left_;
  daemon_core right_;
};

} // namespace

int main() {
  driver cores;
  cores.advance(std::chrono::seconds{3});
  cores.deliver(cores.left(),
                operator_command_received{1, "publish", R"({"domains": [{"name": "d1"}],
    "services": [{"name": "menu", "versions": ["v1"]}],
    "routes": [{"name": "menu", "path_prefix": "/menu", "service": "menu"}]})",
                                          "", "ann"});
  cores.advance(std::chrono::seconds{5});
  std::cout << "event=embedding_example version=" << cores.right().configuration().version()
            << "\n";
  return cores.right().configuration().version() == 1 ? 0 : 1;
}
