// Tests of the keys of organisations: who gets in, as whom, and from when on no longer.

#include "arbutuslb/core/gateway/gateway_test_mesh.h"

#include <criterion/criterion.h>

namespace {

constexpr int status_unauthorized = 401;
constexpr std::chrono::milliseconds call_time = 2000ms;

std::shared_ptr<gateway::mesh_configuration>
guarded_configuration(std::uint64_t version, const std::vector<std::string>& keys) {
  std::shared_ptr<gateway::mesh_configuration> value = configuration(version);
  value->routes["shop.example"]["/orders/"].is_public = true;
  value->organisations.emplace();
  value->organisations->add({"acme", 0}, keys);
  value->organisations->add({"bolt", std::nullopt}, {"key-of-bolt"});
  return value;
}

struct guarded_fixture : mesh_fixture {
  guarded_fixture() {
    fleet.publish(guarded_configuration(2, {"key-1", "key-2"}));
    fleet.run_for(2s);
  }
  // Returns the status of the answer to a request with this key.
  int status_of(const std::string& target, const std::string& key, std::size_t at = 0) {
    token = fleet.call(at, "shop.example", target, true, call_time, key);
    fleet.run_for(200ms);
    return fleet.answers[token].status;
  }
  // Returns the last request as its upstream received it.
  const gateway::run_request& received() {
    return fleet.run_requests.at("attempt-" + std::to_string(token));
  }
  std::uint64_t token = 0;
};

} // namespace

Test(organisations, each_key_of_an_organisation_identifies_it) {
  guarded_fixture fixture;
  for (const char* key : {"key-1", "key-2"}) {
    cr_assert_eq(fixture.status_of("/menu/1", key), status_ok);
    cr_assert_eq(fixture.received().organisation, "acme");
    cr_assert_eq(fixture.received().content.credential, "");
  }
  cr_assert_eq(fixture.status_of("/menu/1", "key-of-bolt"), status_ok);
  cr_assert_eq(fixture.received().organisation, "bolt");
}

Test(organisations, a_request_without_a_known_key_is_refused_and_not_run) {
  guarded_fixture fixture;
  for (const char* key : {"", "key-", "key-11", "KEY-1", "key-1 "}) {
    cr_assert_eq(fixture.status_of("/menu/1", key), status_unauthorized, "%s", key);
  }
  cr_assert(fixture.fleet.runs.empty());
  cr_assert_eq(fixture.fleet.daemon(0).totals().unauthorized, 5);
}

Test(organisations, a_public_route_needs_no_key) {
  guarded_fixture fixture;
  cr_assert_eq(fixture.status_of("/orders/1", ""), status_ok);
  cr_assert_eq(fixture.received().organisation, "");
}

Test(organisations, the_rank_of_an_organisation_replaces_that_of_the_route) {
  guarded_fixture fixture;
  std::shared_ptr<gateway::mesh_configuration> value = guarded_configuration(3, {"key-1"});
  value->routes["shop.example"]["/menu/"].rank = 2;
  fixture.fleet.publish(value);
  fixture.fleet.run_for(2s);
  fixture.status_of("/menu/1", "key-1");
  cr_assert_eq(fixture.received().rank, 0);
  fixture.status_of("/menu/1", "key-of-bolt");
  cr_assert_eq(fixture.received().rank, 2);
}

// Guards against a key that stays valid at daemons that have seen it before.
Test(organisations, a_removed_key_is_refused_at_every_daemon_within_the_propagation_time) {
  guarded_fixture fixture;
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert_eq(fixture.status_of("/menu/1", "key-1", at), status_ok);
  }
  fixture.fleet.publish(guarded_configuration(3, {"key-2"}));
  fixture.fleet.run_for(2s);
  for (std::size_t at = 0; at < 8; ++at) {
    cr_assert_eq(fixture.status_of("/menu/1", "key-1", at), status_unauthorized);
    cr_assert_eq(fixture.status_of("/menu/1", "key-2", at), status_ok);
  }
}

Test(organisations, no_log_line_contains_a_key) {
  guarded_fixture fixture;
  fixture.status_of("/menu/1", "key-1");
  fixture.status_of("/menu/1", "unknown-key");
  for (const arbutuslb::core::engine::write_event& line : fixture.fleet.log) {
    for (const auto& [name, text] : line.fields) {
      cr_assert(text.find("key-1") == std::string::npos);
      cr_assert(text.find("unknown-key") == std::string::npos);
    }
  }
}

Test(organisations, a_key_belongs_to_one_organisation) {
  gateway::organisation_table table;
  cr_assert(table.add({"one", std::nullopt}, {"a", "b", "a"}));
  cr_assert_not(table.add({"two", std::nullopt}, {"b", "c"}));
  cr_assert_eq(table.find("b")->name, "one");
  cr_assert_eq(table.find("c")->name, "two");
  cr_assert_null(table.find(""));
}
