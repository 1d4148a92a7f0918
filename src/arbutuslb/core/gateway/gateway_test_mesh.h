// Fixture of the gateway tests: a mesh of two domains with its configuration.
#pragma once

#include "arbutuslb/fakes/gateway_fleet.h"

namespace {

using namespace std::chrono_literals;
using arbutuslb::fakes::gateway_fleet;
namespace gateway = arbutuslb::core::gateway;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

gateway::route_policy route(const std::string& name, const std::string& prefix,
                            const std::string& service, bool is_idempotent) {
  gateway::route_policy value;
  value.name = name;
  value.host = "shop.example";
  value.path_prefix = prefix;
  value.is_idempotent = is_idempotent;
  value.timeout = 1000ms;
  value.target_latency = 300ms;
  value.max_upstreams = 2;
  value.split = {{service, 1.0}};
  return value;
}

std::shared_ptr<gateway::mesh_configuration> configuration(std::uint64_t version) {
  auto value = std::make_shared<gateway::mesh_configuration>();
  value->version = version;
  for (const char* name : {"menu", "orders", "other"}) {
    gateway::service_policy service;
    service.name = name;
    service.cold_rate = 10;
    value->services[name] = service;
  }
  value->routes["shop.example"]["/menu/"] = route("r-menu", "/menu/", "menu", true);
  value->routes["shop.example"]["/orders/"] = route("r-orders", "/orders/", "orders", false);
  return value;
}

// Two domains, each with two upstreams of each service; all are warm and have exchanged reports.
struct mesh_fixture {
  explicit mesh_fixture(std::uint64_t seed = 1) : fleet(seed) {
    for (const char* domain : {"a", "b"}) {
      for (const char* service : {"menu", "menu", "orders", "orders"}) {
        fleet.add(domain, service);
      }
    }
    fleet.publish(configuration(1));
    fleet.run_for(4s);
  }
  gateway_fleet fleet;
};

// Restarts daemon 0, which then receives a heartbeat that its upstream sent earlier. Returns true
// if the upstream gets requests afterwards.
[[maybe_unused]] bool is_used_after_restart(mesh_fixture& fixture,
                                            const gateway::heartbeat& late_heartbeat) {
  fixture.fleet.upstream(1).is_draining = true; // so that upstream 0 would be selected
  fixture.fleet.restart(0);
  const std::size_t before = fixture.fleet.starts[0].size();
  fixture.fleet.send_heartbeat(0, late_heartbeat);
  for (int i = 0; i < 30; ++i) {
    fixture.fleet.call(0, "shop.example", "/menu/1");
    fixture.fleet.run_for(10ms);
  }
  return fixture.fleet.starts[0].size() > before;
}

constexpr std::size_t menu_daemons[] = {0, 1, 4, 5};
constexpr std::size_t orders_daemons[] = {2, 3, 6, 7};

} // namespace
