#include "arbutuslb/soak/site.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace arbutuslb::soak {
namespace {

using asio::ip::tcp;
using json = nlohmann::json;

} // namespace

site::site(asio::io_context& loop, site_settings values)
    : settings(std::move(values)),
      caller_link(loop, endpoint(callers_port), endpoint(callers_port + 1)),
      peer_link(loop, endpoint(peers_port), endpoint(peers_port + 1)),
      upstream_link(loop, endpoint(upstream_port), endpoint(upstream_port + 1)),
      store_link(loop, endpoint(store_port), settings.store) {
  write_settings();
}

tcp::endpoint site::endpoint(std::uint16_t port) const {
  return {asio::ip::make_address_v4(settings.host), port};
}

upstream_settings site::make_upstream_settings() const {
  return {settings.service,        settings.domain,           endpoint(upstream_port + 1),
          endpoint(upstream_port), endpoint(heartbeats_port), callers()};
}

void site::write_settings() const {
  const auto at = [this](int port) { return settings.host + ":" + std::to_string(port); };
  const json value{{"instance", settings.host},
                   {"failure_domain", settings.domain},
                   {"listen",
                    {{"callers", at(callers_port + 1)},
                     {"peers", at(peers_port + 1)},
                     {"peers_reached_at", peers_port},
                     {"upstreams", at(heartbeats_port)},
                     {"readiness", at(readiness_port)},
                     {"metrics", at(metrics_port)},
                     {"report_port", reports_port}}},
                   {"upstream", {{"address", at(upstream_port)}, {"service", settings.service}}},
                   {"store", at(store_port)}};
  std::ofstream(settings.directory + "/" + settings.host + ".json") << value.dump(2) << "\n";
}

void site::start_daemon() {
  const std::string base = settings.directory + "/" + settings.host;
  daemon = std::make_unique<child_process>(
      std::vector<std::string>{settings.program, "gateway", base + ".json"}, base + ".log");
  ++generation;
  is_exit_expected = false;
  is_unavailable = false;
  highest_served_version = 0;
}

} // namespace arbutuslb::soak
