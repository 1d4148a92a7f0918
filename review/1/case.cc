// Another writer sends heartbeats with a number that cannot be read, while requests are served.
#include "../stand_ins/kit.h"

using namespace review;

namespace {

constexpr int rounds = 3;
constexpr int callers = 6; // kept connections a round and machine, each with one request in progress

int send_unreadable_heartbeat(const std::string& host) {
  stream connection(connect_to(host, control_port));
  const std::string body =
      "{\"address\":\"" + host + ":" + std::to_string(application_port) +
      "\",\"born\":1e999,\"information\":{\"service\":\"menu\",\"version\":\"v1\",\"zone\":\"zone-a\","
      "\"capacitySlots\":18},\"status\":{\"state\":\"ready\",\"sequence\":1,\"coldRemaining\":\"0ms\"}}";
  message answer;
  const bool is_answered =
      connection.write("PUT /instances/i-other-writer HTTP/1.1\r\nHost: " + host +
                       "\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body) &&
      connection.read(answer, now_s() + 1, true);
  return is_answered ? answer.status() : 0;
}

} // namespace

int main(int argc, char** argv) {
  record log(argv[argc - 1]);
  deployment site(log, argv[1]);
  std::mutex mutex;
  std::map<std::string, int> runs; // by attempt id
  for (int i = 0; i < 8; ++i) {
    site.add(i % 2 == 0 ? "zone-a" : "zone-b", i < 4 ? "menu" : "orders",
             [&](endpoint&, stream& connection, const message& request) {
               {
                 std::lock_guard<std::mutex> lock(mutex);
                 ++runs[request.header("X-Attempt-Identifier")];
               }
               sleep_s(request.word(1) == "/orders/slow" ? 0.6 : 0.02);
               return connection.write(good_answer(request, "done"));
             });
  }
  site.platform.append("keyed.op", "config",
                       configuration(1,
                                     {{"menu", "/menu/", "safe", "menu"},
                                      {"orders", "/orders/", "unsafe", "orders"}},
                                     {"menu", "orders"}));
  site.start();
  if (!site.wait_until_serving({"/menu/1", "/orders/1"})) {
    site.finish(2);
  }
  int closed = 0;
  int run_and_closed = 0;
  int sent = 0;
  std::map<std::string, int> ends;
  for (int round = 0; round < rounds; ++round) {
    sleep_s(5); // all machines are in touch
    for (const std::size_t index : {std::size_t{0}, std::size_t{5}}) {
      machine& item = site.machines[index];
      std::vector<std::thread> clients;
      for (int i = 0; i < callers; ++i) {
        clients.emplace_back([&] {
          stream connection(connect_to(item.host, outbound_port));
          const outcome first =
              exchange(connection, request_bytes("GET", "/menu/1", next_id(), 2000), 2000);
          const std::string id = next_id();
          const outcome result =
              exchange(connection, request_bytes("POST", "/orders/slow", id, 3000, "order"), 3000);
          sleep_s(0.7);
          std::lock_guard<std::mutex> lock(mutex);
          const bool is_closed = result.status == 0 && !result.timed_out;
          ++sent;
          closed += is_closed ? 1 : 0;
          run_and_closed += is_closed && runs[id] > 0 ? 1 : 0;
          log.line("sent id=%s at=%s on a kept connection (first answer %d): status=%d runs=%d%s",
                   id.c_str(), item.host.c_str(), first.status, result.status, runs[id],
                   is_closed ? " CLOSED without an answer" : "");
        });
      }
      sleep_s(0.3);
      if (has_trouble()) {
        const int status = send_unreadable_heartbeat(item.host);
        log.line("another writer: heartbeat to %s with the number 1e999, answered %d",
                 item.host.c_str(), status);
      }
      for (std::thread& client : clients) {
        client.join();
      }
      if (item.process->has_ended()) {
        ++ends[item.host];
        log.line("the process at %s has ended by itself, exit code %d", item.host.c_str(),
                 WIFEXITED(item.process->exit_status) ? WEXITSTATUS(item.process->exit_status) : -1);
        item.process->start();
      }
    }
  }
  int machines_down = 0;
  for (const auto& [host, count] : ends) {
    machines_down += count >= 3 ? 1 : 0;
  }
  log.say("requests on kept connections sent=" + std::to_string(sent) +
          " passed on and closed without an answer=" + std::to_string(run_and_closed) +
          "; machines whose process ended by itself three times=" + std::to_string(machines_down) +
          " of 8");
  log.say(run_and_closed > 3 ? "LOST broken" : "LOST held");
  site.finish(run_and_closed > 3 ? 1 : 0);
}
