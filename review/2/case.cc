// Evacuates a zone behind a storm of large configurations, while the daemons' open connections to
// the store have gone silent.
#include "../stand_ins/kit.h"

using namespace review;

namespace {

constexpr double evacuation_deadline_s = 5.0;
constexpr double stability_window_s = 3.0;
constexpr double config_propagation_s = 2.0;

// A configuration with 650 routes besides those in use: the 300 idle ones of a small site and the
// 350 of its `big_config`. About 130 kB; the largest record of the platform has 262,144 bytes.
std::string large_configuration(int version) {
  std::vector<route> routes{{"menu", "/menu/", "safe", "menu"}};
  routes.push_back({"v" + std::to_string(version), "/v" + std::to_string(version) + "/", "safe",
                    "menu"});
  for (int i = 0; i < 650; ++i) {
    routes.push_back({"idle-route-" + std::to_string(i), "/idle-route-" + std::to_string(i) + "/", "safe", "menu"});
  }
  return configuration(version, routes, {"menu"});
}

} // namespace

int main(int argc, char** argv) {
  record log(argv[argc - 1]);
  deployment site(log, argv[1]);
  std::mutex mutex;
  std::map<std::string, std::string> ran_in; // zone, by attempt id
  for (int i = 0; i < 12; ++i) {
    site.add(i % 2 == 0 ? "zone-a" : "zone-b", "menu",
             [&](endpoint& self, stream& connection, const message& request) {
               const std::string id = request.header("X-Attempt-Identifier");
               {
                 std::lock_guard<std::mutex> lock(mutex);
                 ran_in[id] = self.zone;
               }
               sleep_s(0.02);
               return connection.write(good_answer(request, "menu"));
             });
  }
  site.platform.append("keyed.op", "config", large_configuration(1));
  site.start();
  if (!site.wait_until_serving({"/menu/1"})) {
    site.finish(2);
  }
  sleep_s(4);
  site.platform.append("keyed.op", "config", large_configuration(2));
  sleep_s(0.5);
  if (has_trouble()) {
    site.platform.silence_open_connections();
    log.line("open connections to the store go silent");
  }
  const double silent_at = now_s();
  int version = 2;
  // As many as a storm of 3 s has with a change each 0.15 s.
  for (int i = 0; i < 20; ++i) {
    site.platform.append("keyed.op", "config", large_configuration(++version));
    log.line("operator: config r%d written and confirmed", version);
    sleep_s(0.15);
  }
  const double config_at = now_s() - 0.15;
  site.platform.append("keyed.op", "evacuate/zone-b", "{\"zone\":\"zone-b\"}");
  const double evacuated_at = now_s();
  log.line("operator: evacuate/zone-b written and confirmed");
  sleep_s(std::max(evacuated_at + evacuation_deadline_s, silent_at + 4 + stability_window_s) + 0.5 -
          now_s());
  // All machines are in touch, and both bounds have passed.
  int sent = 0;
  int into_zone = 0;
  int not_found = 0;
  const std::string new_path = "/v" + std::to_string(version) + "/1";
  for (int round = 0; round < 20; ++round) {
    for (machine& item : site.machines) {
      for (const std::string& path : {std::string("/menu/1"), new_path}) {
        const std::string id = next_id();
        const outcome result = call(item.host, request_bytes("GET", path, id, 2000), 2000);
        std::string zone = "none";
        {
          std::lock_guard<std::mutex> lock(mutex);
          zone = ran_in.contains(id) ? ran_in[id] : zone;
        }
        ++sent;
        into_zone += zone == "zone-b" ? 1 : 0;
        not_found += path == new_path && result.status == 404 ? 1 : 0;
        log.line("sent id=%s at=%s path=%s status=%d ran_in=%s", id.c_str(), item.host.c_str(),
                 path.c_str(), result.status, zone.c_str());
      }
    }
    sleep_s(0.1);
  }
  log.say("evacuation confirmed " + std::to_string(now_s() - evacuated_at) + " s ago, config r" +
          std::to_string(version) + " " + std::to_string(now_s() - config_at) + " s ago (bound " +
          std::to_string(config_propagation_s) + ")");
  log.say("requests sent=" + std::to_string(sent) + " reached the evacuated zone=" +
          std::to_string(into_zone) + " refused with 404 though the route is there=" +
          std::to_string(not_found));
  log.say(into_zone > 0 ? "EVAC broken" : "EVAC held");
  site.finish(into_zone > 0 ? 1 : 0);
}
