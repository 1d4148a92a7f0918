#include "arbutuslb/core/gateway/mesh_configuration.h"

#include <algorithm>
#include <cctype>

namespace arbutuslb::core::gateway {

const route_policy* mesh_configuration::match(std::string_view host,
                                              std::string_view target) const {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  const auto host_routes = routes.find(name);
  if (host_routes == routes.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find('?'));
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;) {
    const auto found = host_routes->second.find(path.substr(0, end + 1));
    if (found != host_routes->second.end()) {
      return &found->second;
    }
    if (end == 0) {
      break;
    }
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const service_policy* mesh_configuration::find_service(std::string_view name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : &found->second;
}

} // namespace arbutuslb::core::gateway
