// The routing configuration published by operators, as typed values.
//
//   const route_policy* route = configuration.match("shop.example", "/orders/17?full=1");
#pragma once

#include "arbutuslb/core/base/time.h"
#include "arbutuslb/core/gateway/organisation_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuslb::core::gateway {

struct weighted_service {
  std::string service;
  double weight = 1;
};

struct route_policy {
  std::string name;
  std::string host;
  std::string path_prefix; // starts and ends with a slash
  bool is_idempotent = false;
  duration timeout{};        // from the receipt of a request to its final answer
  duration target_latency{}; // an answer within it has its full value to the caller
  int rank = 0;              // priority, 0 is the most urgent
  int max_upstreams = 1;     // maximum number of upstreams that may receive one request
  bool is_public = false;    // needs no key of an organisation
  std::vector<weighted_service> split;
};

struct service_policy {
  std::string name;
  std::string health_path;
  int max_connections = 0; // to one upstream, from all callers
  duration cold_time{};    // time after a start for which an upstream is cold
  double cold_rate = 0;    // requests per second that a cold upstream sustains
};

// Limits for requests and connections of callers.
struct caller_limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
  duration header_timeout = std::chrono::seconds{3};
  duration idle_timeout = std::chrono::seconds{15};
};

struct mesh_configuration {
  std::uint64_t version = 0;
  // By host, then by path prefix.
  std::map<std::string, std::map<std::string, route_policy, std::less<>>, std::less<>> routes;
  std::map<std::string, service_policy, std::less<>> services;
  caller_limits limits;
  // Set if callers must present the key of an organisation, except on public routes.
  std::optional<organisation_table> organisations;

  // Returns the route of `host` with the longest prefix of the path of `target`, or nullptr if
  // there is none. `host` may contain a port and upper-case letters. O(segments * log routes).
  const route_policy* match(std::string_view host, std::string_view target) const;
  // Returns nullptr if the service is not configured.
  const service_policy* find_service(std::string_view name) const;
};

} // namespace arbutuslb::core::gateway
