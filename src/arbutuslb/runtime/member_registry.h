// The registry of daemons in the store. It also keeps the departure of each daemon's upstream,
// which has to survive a restart of the daemon.
//
//   member_registry members(store, "10.0.0.7", "instance-7");
//   members.discover(era, [](core::gateway::peers_discovered peers) { ... });
#pragma once

#include "arbutuslb/core/gateway/events.h"
#include "arbutuslb/platform/store_client.h"

#include <functional>
#include <string>

namespace arbutuslb::runtime {

// Not thread-safe. `store` must outlive the object.
class member_registry {
public:
  // `host` is the address at which peers reach this daemon, `name` the name of its instance.
  // `on_malformed` receives the name of the log event and the reason if a record cannot be decoded.
  member_registry(
      platform::store_client& store, std::string host, std::string name,
      std::function<void(const std::string& event, const std::string& reason)> on_malformed);

  // Registers this daemon, unless that has succeeded in `era` or a later one, and reads the
  // registered daemons. `on_discovered` is not called if the store cannot be read.
  void discover(std::uint64_t era,
                std::function<void(core::gateway::peers_discovered)> on_discovered);
  // Writes the departure record of this daemon. `on_result` receives whether the store has
  // acknowledged it, and the era of the store then.
  void record_departure(const core::gateway::upstream_incarnation& departed,
                        std::function<void(bool is_recorded, std::uint64_t era)> on_result);
  // Writes the record of the requests that this daemon's upstreams were executing when they died.
  // `on_result` as above.
  void record_suspicions(const std::vector<core::calls::suspicion>& suspicions,
                         std::function<void(bool is_recorded, std::uint64_t era)> on_result);

private:
  void read_members(std::function<void(core::gateway::peers_discovered)> on_discovered);
  void record(const std::string& key, const std::string& value,
              std::function<void(bool is_recorded, std::uint64_t era)> on_result);
  core::gateway::peers_discovered decode_members(const platform::read_result& result) const;

  platform::store_client& store_;
  std::string host_;
  std::string name_;
  std::function<void(const std::string&, const std::string&)> on_malformed_;
  std::optional<std::uint64_t> registered_era_; // era of the store that has the registration
};

} // namespace arbutuslb::runtime
