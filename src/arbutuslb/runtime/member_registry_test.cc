// Tests of the registry of daemons against the stand-in store on loopback.

#include "arbutuslb/platform/orders.h"
#include "arbutuslb/runtime/member_registry.h"
#include "arbutuslb/runtime/store_test_support.h"
#include "arbutuslb/soak/link_proxy.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace {

namespace gateway = arbutuslb::core::gateway;
using arbutuslb::runtime::store_fixture;

// Registers a daemon and returns what it reads.
gateway::peers_discovered
discover(store_fixture& fixture, arbutuslb::runtime::member_registry& members, std::uint64_t era) {
  std::optional<gateway::peers_discovered> found;
  members.discover(era, [&](gateway::peers_discovered peers) { found = std::move(peers); });
  cr_assert(fixture.run_until([&] { return found.has_value(); }));
  return std::move(*found);
}

bool lists(const gateway::peers_discovered& found, const std::string& host) {
  return std::find(found.hosts.begin(), found.hosts.end(), host) != found.hosts.end();
}

} // namespace

Test(member_registry, a_registration_that_the_copy_lacks_is_written_again) {
  store_fixture fixture;
  arbutuslb::runtime::member_registry members(fixture.client, "10.0.0.7", "seven",
                                              [](const std::string&, const std::string&) {});
  cr_assert(lists(discover(fixture, members, 0), "10.0.0.7"));
  const std::uint64_t calls = fixture.store.calls();
  cr_assert(lists(discover(fixture, members, 1), "10.0.0.7"));
  cr_assert_eq(fixture.store.calls(), calls + 1);
  fixture.store.restore(std::chrono::hours{1});
  cr_assert(lists(discover(fixture, members, 2), "10.0.0.7"));
}

Test(member_registry, every_daemon_reads_the_suspicions_of_all_others) {
  store_fixture fixture;
  arbutuslb::runtime::member_registry one(fixture.client, "10.0.0.7", "seven",
                                          [](const std::string&, const std::string&) {});
  std::vector<std::string> malformed;
  arbutuslb::runtime::member_registry other(
      fixture.client, "10.0.0.8", "eight",
      [&](const std::string& event, const std::string&) { malformed.push_back(event); });
  const arbutuslb::core::calls::suspicion suspect{
      42, 1, 2, arbutuslb::core::time_point{std::chrono::hours{24}}};
  int recorded = 0;
  one.record_suspicions({suspect},
                        [&](bool is_recorded, std::uint64_t) { recorded += is_recorded ? 1 : 0; });
  fixture.client.append(arbutuslb::platform::members_topic, "suspected:10.0.0.9", "not protobuf",
                        std::nullopt,
                        [&](const arbutuslb::platform::append_result&) { ++recorded; });
  cr_assert(fixture.run_until([&] { return recorded == 2; }));
  const gateway::peers_discovered found = discover(fixture, other, 0);
  cr_assert(found.suspicions == std::vector<arbutuslb::core::calls::suspicion>({suspect}));
  cr_assert(malformed == std::vector<std::string>({"suspicions_malformed"}));
}

// Guards against a departure that is forgotten by a restart: its record waited for an answer on a
// connection that had gone silent, and the departure was acknowledged meanwhile.
Test(member_registry, a_departure_is_recorded_although_open_connections_are_silent) {
  store_fixture fixture;
  const asio::ip::tcp::endpoint address = arbutuslb::runtime::free_address();
  arbutuslb::soak::link_proxy link(fixture.loop, address, fixture.address);
  // Without checks of time limits, which would give up the silent connection.
  arbutuslb::runtime::http::client connections(fixture.loop);
  arbutuslb::platform::store_client client(connections, address);
  arbutuslb::runtime::member_registry members(client, "10.0.0.7", "seven",
                                              [](const std::string&, const std::string&) {});
  discover(fixture, members, 0); // leaves an open connection
  link.silence_open();
  bool is_recorded = false;
  members.record_departure({"i-1", 1000},
                           [&](bool recorded, std::uint64_t) { is_recorded = recorded; });
  cr_assert(fixture.run_until([&] { return is_recorded; }));
}
