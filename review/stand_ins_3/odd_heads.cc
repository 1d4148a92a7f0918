// A crowd of clients sends requests of legal size whose heads consist of very many short and odd
// lines. Checks whether ordinary callers of the same machine get answers, and whether the daemon
// answers the platform's questions. CROWD=plain: the same heads with a name that means nothing.

#include "kit.h"

namespace {

constexpr std::size_t max_header_bytes = 16384;
constexpr int crowd_size = 150;
constexpr int pipelined = 4; // requests that a client sends before the first is answered
constexpr int ordinary_clients = 6;
constexpr std::int64_t route_timeout_ms = 1200;
constexpr int time_left_ms = 2500;
constexpr std::int64_t answer_slack_ms = 500; // of the rule
constexpr std::int64_t crowd_ms = 15000;

// A whole request head of at most `max_header_bytes`.
std::string odd_head(const std::string& id) {
  const char* plain = std::getenv("CROWD");
  const std::string name =
      plain != nullptr && std::string(plain) == "plain" ? "Connectiom:" : "Connection:";
  std::string line = name;
  for (int i = 0; i < 25; ++i) {
    line += "b,";
  }
  line += "b\r\n";
  std::string fields;
  const std::size_t room = max_header_bytes - kit::head("GET", "/menu/1", id, 8000).size();
  while (fields.size() + line.size() < room / 2) {
    fields += line;
  }
  while (fields.size() + 4 <= room) {
    fields += "a:\r\n";
  }
  return kit::head("GET", "/menu/1", id, 8000, fields);
}

bool is_broken(const kit::directories& where, kit::record_file& record) {
  kit::machine_settings settings;
  settings.host = "127.31.13.1";
  settings.service = "preview";
  settings.store_host = "127.31.13.9";
  const kit::port_plan ports = kit::find_ports({settings.host, settings.store_host});
  kit::store& store = *new kit::store(settings.store_host, ports.store);
  store.put("config",
            kit::configuration(1, {{"preview-read", "/menu/", "safe", "preview", "1000ms", "500ms"},
                                   {"bulk-order", "/bulk/", "unsafe", "preview", "1200ms",
                                    "600ms"}}));
  kit::endpoint& upstream =
      *new kit::endpoint(settings, ports, "i-1", 18, [](const kit::message&) { return 20; });
  std::atomic<int> runs{0};
  upstream.on_run = [&](const kit::message&) { ++runs; };
  kit::daemon_process daemon(where.program, where.scratch, settings, ports);
  daemon.start();
  daemon.wait_until_ready();
  upstream.start_heartbeats();
  kit::sleep_ms(3500);

  std::atomic<bool> is_over{false};
  std::atomic<int> sent{0}, answered{0}, late{0}, unanswered{0}, crowd_sent{0}, crowd_answered{0};
  std::atomic<int> questions{0}, misses{0};
  const std::int64_t crowd_begins_at = kit::now_ms() + 2000;
  const std::int64_t ends_at = crowd_begins_at + crowd_ms;
  std::vector<std::thread> threads;
  for (int i = 0; i < ordinary_clients; ++i) {
    threads.emplace_back([&, i] {
      kit::connection caller;
      for (int number = 0; kit::now_ms() < ends_at; ++number) {
        const std::string id = "o-" + std::to_string(i) + "-" + std::to_string(number);
        if (!caller.is_open()) {
          caller = kit::connection::open(settings.host, ports.outbound);
        }
        const std::int64_t begin = kit::now_ms();
        ++sent;
        kit::message reply;
        const bool is_written =
            caller.is_open() &&
            caller.write(kit::head("POST", "/bulk/1", id, time_left_ms, "Content-Length: 0\r\n"));
        const bool is_answered = is_written && caller.read(reply, begin + time_left_ms);
        const std::int64_t took = kit::now_ms() - begin;
        answered += is_answered && reply.status() == 200 ? 1 : 0;
        late += !is_answered || took > route_timeout_ms ? 1 : 0;
        unanswered += !is_answered || took > route_timeout_ms + answer_slack_ms ? 1 : 0;
        record.line("ordinary " + id + ": " +
                    (is_answered ? std::to_string(reply.status()) : "no answer") + " after " +
                    std::to_string(took) + " ms");
        if (!is_answered) {
          caller.close();
        }
        kit::sleep_ms(100);
      }
    });
  }
  threads.emplace_back([&] { // the platform asks once a second
    while (kit::now_ms() < ends_at) {
      const std::int64_t next = kit::now_ms() + 1000;
      ++questions;
      const bool is_ready = daemon.is_ready();
      misses += is_ready ? 0 : 1;
      record.line(std::string("readiness: ") + (is_ready ? "200" : "missed"));
      kit::sleep_ms(next - kit::now_ms());
    }
  });
  for (int i = 0; kit::has_trouble() && i < crowd_size; ++i) {
    threads.emplace_back([&, i] {
      kit::connection caller = kit::connection::open(settings.host, ports.outbound);
      kit::message reply;
      // Each begins with an ordinary request; the odd ones come on the same connection.
      if (caller.write(kit::head("GET", "/menu/1", "f-" + std::to_string(i), 8000))) {
        caller.read(reply, kit::now_ms() + 3000);
      }
      kit::sleep_ms(crowd_begins_at - kit::now_ms());
      for (int number = 0; kit::now_ms() < ends_at - 2000; ++number) {
        if (!caller.is_open()) {
          caller = kit::connection::open(settings.host, ports.outbound);
        }
        std::string heads;
        for (int part = 0; part < pipelined; ++part) {
          heads += odd_head("c-" + std::to_string(i) + "-" + std::to_string(number) + "-" +
                            std::to_string(part));
        }
        crowd_sent += pipelined;
        bool is_answered = caller.is_open() && caller.write(heads);
        for (int part = 0; part < pipelined && is_answered; ++part) {
          is_answered = caller.read(reply, kit::now_ms() + 25000);
          crowd_answered += is_answered ? 1 : 0;
        }
        if (!is_answered) {
          caller.close();
        }
        kit::sleep_ms(100);
      }
    });
  }
  for (std::thread& item : threads) {
    item.join();
  }
  record.line("crowd: " + std::to_string(crowd_sent) + " sent, " + std::to_string(crowd_answered) +
              " answered; ordinary: " + std::to_string(sent) + " sent, " +
              std::to_string(answered) + " answered 200, " + std::to_string(late) +
              " unanswered at the route's timeout, " + std::to_string(unanswered) +
              " of these also 0.5 s later; readiness: " + std::to_string(questions) +
              " questions, " + std::to_string(misses) + " missed; runs: " + std::to_string(runs));
  return late >= 8 && unanswered * 2 > late;
}

} // namespace

int main(int argc, char** argv) {
  std::_Exit(kit::run_case(argc, argv, is_broken));
}
