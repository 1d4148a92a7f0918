// The daemons that registered themselves in the store, and what each of them must not forget.
//
//   member_registry members(store, "10.0.0.7", "instance-7");
//   members.find([](core::gateway::peers_discovered found) { ... });
#pragma once

#include "arbutuslb/core/gateway/events.h"
#include "arbutuslb/platform/store_client.h"

#include <functional>
#include <string>

namespace arbutuslb::runtime {

// Not thread-safe. `store` must outlive the object.
class member_registry {
public:
  // `host`: the address at which peers reach this daemon; `name`: of its instance. `on_malformed`
  // is told why an own record could not be read.
  member_registry(platform::store_client& store, std::string host, std::string name,
                  std::function<void(const std::string& reason)> on_malformed);

  // Registers this daemon, unless that has succeeded before, and reads who else is there.
  // `on_found` is not called if the store cannot be read.
  void find(std::function<void(core::gateway::peers_discovered)> on_found);
  // `on_end` is told whether the store has acknowledged the record.
  void record_departure(const core::gateway::upstream_incarnation& departed,
                        std::function<void(bool is_recorded)> on_end);

private:
  void read(std::function<void(core::gateway::peers_discovered)> on_found);
  core::gateway::peers_discovered decode(const platform::read_result& result) const;

  platform::store_client& store_;
  std::string host_;
  std::string name_;
  std::function<void(const std::string&)> on_malformed_;
  bool is_registered_ = false;
};

} // namespace arbutuslb::runtime
