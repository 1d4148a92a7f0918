#include "arbutuslb/runtime/member_registry.h"

#include "arbutuslb/platform/orders.h"
#include "arbutuslb/runtime/wire/gateway_codec.h"

#include <asio/ip/address_v4.hpp>
#include <utility>

namespace arbutuslb::runtime {
namespace {

namespace gateway = core::gateway;

// Departures share a topic with the records of the daemons, whose keys are their addresses.
std::string departure_key(const std::string& host) {
  return "departed:" + host;
}

// So do suspicions. All daemons read those of all.
constexpr std::string_view suspicion_prefix = "suspected:";

bool is_address(const std::string& key) {
  std::error_code error;
  asio::ip::make_address_v4(key, error);
  return !error;
}

} // namespace

member_registry::member_registry(
    platform::store_client& store, std::string host, std::string name,
    std::function<void(const std::string&, const std::string&)> on_malformed)
    : store_(store), host_(std::move(host)), name_(std::move(name)),
      on_malformed_(std::move(on_malformed)) {}

void member_registry::discover(std::uint64_t era,
                               std::function<void(gateway::peers_discovered)> on_discovered) {
  if (registered_era_ && *registered_era_ >= era) {
    read_members(std::move(on_discovered));
    return;
  }
  store_.append(platform::members_topic, host_, name_, std::nullopt,
                [this, on_discovered = std::move(on_discovered)](
                    const platform::append_result& result) mutable {
                  if (result.status == platform::append_status::appended) {
                    registered_era_ = result.era;
                  }
                  read_members(std::move(on_discovered));
                });
}

void member_registry::read_members(std::function<void(gateway::peers_discovered)> on_discovered) {
  store_.read_newest(platform::members_topic, [this, on_discovered = std::move(on_discovered)](
                                                  const platform::read_result& result) {
    if (result.status == platform::read_status::ok) {
      on_discovered(decode_members(result));
    } // otherwise the core repeats the discovery
  });
}

gateway::peers_discovered
member_registry::decode_members(const platform::read_result& result) const {
  gateway::peers_discovered peers;
  peers.era = result.era;
  for (const platform::store_record& record : result.records) {
    if (is_address(record.key) && !record.value.empty()) {
      peers.hosts.push_back(record.key);
    }
    const bool is_departure = record.key == departure_key(host_);
    try {
      if (is_departure) {
        peers.departed = wire::decode_departure(record.value);
      } else if (record.key.starts_with(suspicion_prefix)) {
        const std::vector<core::calls::suspicion> suspicions =
            wire::decode_suspicions(record.value);
        peers.suspicions.insert(peers.suspicions.end(), suspicions.begin(), suspicions.end());
      }
    } catch (const wire::codec_error& error) {
      on_malformed_(is_departure ? "departure_malformed" : "suspicions_malformed", error.what());
    }
  }
  return peers;
}

void member_registry::record_departure(const gateway::upstream_incarnation& departed,
                                       std::function<void(bool, std::uint64_t)> on_result) {
  record(departure_key(host_), wire::encode_departure(departed), std::move(on_result));
}

void member_registry::record_suspicions(const std::vector<core::calls::suspicion>& suspicions,
                                        std::function<void(bool, std::uint64_t)> on_result) {
  record(std::string(suspicion_prefix) + host_, wire::encode_suspicions(suspicions),
         std::move(on_result));
}

void member_registry::record(const std::string& key, const std::string& value,
                             std::function<void(bool, std::uint64_t)> on_result) {
  store_.append(platform::members_topic, key, value, std::nullopt,
                [on_result = std::move(on_result)](const platform::append_result& result) {
                  on_result(result.status == platform::append_status::appended, result.era);
                });
}

} // namespace arbutuslb::runtime
