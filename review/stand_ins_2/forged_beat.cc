// A heartbeat of another writer, with a field missing, arrives at the control address of a machine.
// Checked: no endpoint runs a request whose X-Calling-Service is not the service of the machine
// where the request began.

#include "kit.h"

using namespace kit;

int main(int argc, char** argv) {
  record.open(argc > 1 ? argv[1] : "record.txt");
  deployment site;
  for (const char* zone : {"amman-a", "amman-b"}) {
    site.add(zone, "preview");
    site.add(zone, "checkout");
  }
  const std::string config =
      configuration(route("view", "safe", "preview", "1000ms", 2) + "," +
                        route("pay", "unsafe", "checkout", "1200ms", 0),
                    service_entry("preview") + "," + service_entry("checkout"));
  if (!site.start(config, {"/view/1", "/pay/1"})) {
    record.line("could not start");
    finish(site, could_not_run);
  }
  const machine& origin = site.machines[0]; // its service is preview
  int number = 0;
  std::map<std::string, attempt> sent;
  const auto send_requests = [&](int count) {
    for (int i = 0; i < count; ++i) {
      const std::string id = "q-" + std::to_string(++number);
      const attempt end = call(origin.host, "POST", "/pay/1", id, 1200, "amount");
      record.line("client at %s sent=%s status=%d %s", origin.name.c_str(), id.c_str(), end.status,
                  end.outcome.c_str());
      sent[id] = end;
      sleep_s(0.05);
    }
  };
  send_requests(40);
  if (has_trouble()) {
    // Everything but the zone and the cold time, which every heartbeat of an endpoint has.
    const std::string body = "{\"address\":\"" + origin.host + ":" + std::to_string(app_port) +
                             "\",\"born\":" + std::to_string(epoch_ms()) +
                             ",\"information\":{\"service\":\"checkout\",\"version\":\"v1\","
                             "\"capacitySlots\":18},\"status\":{\"state\":\"ready\","
                             "\"sequence\":1}}";
    const int fd = connect_to(origin.host, control_port, 1);
    reader input(fd);
    message answer;
    send_all(fd, "PUT /instances/i-other HTTP/1.1\r\nHost: control\r\nContent-Type: "
                 "application/json\r\nConnection: close\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    input.read(answer, now_s() + 2);
    ::close(fd);
    record.line("another writer sent %s", body.c_str());
    record.line("the daemon answered it: %s", answer.start.c_str());
  }
  send_requests(100);
  // Also what the endpoint beside that machine still gets.
  int served = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "v-" + std::to_string(i);
    const attempt end = call(origin.host, "GET", "/view/1", id, 1000);
    served += end.status == 200 ? 1 : 0;
    record.line("client at %s sent=%s status=%d", origin.name.c_str(), id.c_str(), end.status);
  }
  int wrong = 0;
  int right = 0;
  int beside = 0;
  for (endpoint& item : site.endpoints) {
    for (const run& value : item.runs()) {
      beside += value.id.rfind("v-", 0) == 0 && value.endpoint == site.endpoints[0].instance;
      if (sent.contains(value.id)) {
        (value.caller == origin.service ? right : wrong) += 1;
      }
    }
  }
  record.line("UNASKED: %d requests that began at a machine of service %s ran with another "
              "X-Calling-Service, %d with the right one",
              wrong, origin.service.c_str(), right);
  record.line("of 40 requests for preview %d were served, %d by the endpoint beside that machine",
              served, beside);
  if (right < 40) {
    finish(site, could_not_run);
  }
  finish(site, wrong > 0 ? broken : held);
}
