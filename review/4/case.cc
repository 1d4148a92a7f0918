// Another writer sends one heartbeat with a service that no configuration names.
#include "../stand_ins/kit.h"

using namespace review;

int main(int argc, char** argv) {
  record log(argv[argc - 1]);
  deployment site(log, argv[1]);
  std::mutex mutex;
  struct run {
    std::string host, caller;
  };
  std::map<std::string, run> runs; // by attempt id
  for (int i = 0; i < 8; ++i) {
    site.add(i % 2 == 0 ? "zone-a" : "zone-b", i < 4 ? "menu" : "orders",
             [&](endpoint& self, stream& connection, const message& request) {
               const std::string id = request.header("X-Attempt-Identifier");
               {
                 std::lock_guard<std::mutex> lock(mutex);
                 runs[id] = {self.host, request.header("X-Calling-Service")};
               }
               sleep_s(0.02);
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
  sleep_s(4); // all machines are in touch
  machine& target = site.machines[0];
  if (has_trouble()) {
    const int status = send_heartbeat(target.host, "i-other-writer", "no-such-service", target.zone,
                                      epoch_ms(), 1);
    log.line("another writer: heartbeat for %s with service no-such-service, answered %d",
             target.host.c_str(), status);
  }
  sleep_s(4); // two heartbeats of the endpoint itself
  int sent = 0;
  int wrong = 0;
  int at_target = 0;
  for (int round = 0; round < 100; ++round) {
    for (machine& item : site.machines) {
      const bool is_unsafe = round % 2 == 0;
      const std::string id = next_id();
      const outcome result =
          call(item.host,
               request_bytes(is_unsafe ? "POST" : "GET", is_unsafe ? "/orders/1" : "/menu/1", id,
                             2000),
               2000);
      std::lock_guard<std::mutex> lock(mutex);
      const run ran = runs.contains(id) ? runs[id] : run{"none", "none"};
      ++sent;
      const bool is_wrong = ran.host != "none" && ran.caller != item.service;
      wrong += is_wrong ? 1 : 0;
      at_target += ran.host == target.host ? 1 : 0;
      log.line("sent id=%s at=%s service=%s status=%d ran_at=%s X-Calling-Service=%s%s", id.c_str(),
               item.host.c_str(), item.service.c_str(), result.status, ran.host.c_str(),
               ran.caller.c_str(), is_wrong ? " WRONG" : "");
    }
    sleep_s(0.05);
  }
  log.say("requests sent=" + std::to_string(sent) + " run with another X-Calling-Service=" +
          std::to_string(wrong) + "; run by the endpoint beside the daemon that was called=" +
          std::to_string(at_target));
  log.say(wrong > 0 ? "UNASKED broken" : "UNASKED held");
  site.finish(wrong > 0 ? 1 : 0);
}
