// Tests of operator records on their way from the store to the daemons that do not read it.

#include "arbutuslb/platform/orders.h"
#include "arbutuslb/runtime/operator_records.h"
#include "arbutuslb/runtime/order_follower.h"
#include "arbutuslb/runtime/store_test_support.h"
#include "arbutuslb/runtime/wire/gateway_codec.h"

#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
namespace gateway = arbutuslb::core::gateway;
namespace platform = arbutuslb::platform;
namespace runtime = arbutuslb::runtime;
namespace wire = arbutuslb::runtime::wire;

constexpr std::size_t record_bytes = 130'000;
constexpr int storm_length = 20;
constexpr const char* withdrawal_key = "evacuate/zone-b";

// A reader of the operators' log, and a daemon that fetches from it whenever its report names a
// newer position.
struct relay_fixture : runtime::store_fixture {
  relay_fixture()
      : follower(
            loop, client, 1,
            [this](platform::read_result read, bool is_complete) {
              reads += read.records.empty() ? 0 : 1;
              take(reader, runtime::decode_read(std::move(read), is_complete));
              fetch();
            },
            [](bool, const std::string&) {}) {}

  static void take(gateway::operator_state& state, gateway::operator_records_received received) {
    for (gateway::operator_record& record : received.records) {
      state.apply(std::move(record), now());
    }
    state.advance_to(received.end, now());
  }
  static arbutuslb::core::time_point now() { return arbutuslb::core::time_point{1h}; }

  void fetch() {
    if (reader.end() > other.end()) {
      const std::string request = wire::encode_operator_records_request(other.end());
      take(other, runtime::decode_fetched(runtime::answer_fetch(request, reader)));
    }
  }
  void append(const std::string& key, const std::string& value) {
    bool is_done = false;
    client.append(platform::operator_topic, key, value, std::nullopt,
                  [&](const platform::append_result&) { is_done = true; });
    run_until([&] { return is_done; });
  }

  gateway::operator_state reader;
  gateway::operator_state other;
  int reads = 0; // with records
  runtime::order_follower follower;
};

} // namespace

// Guards against a lost withdrawal (EVAC): a read that was cut at its largest size counted as one
// to the end of the log, and the daemons that fetched from its reader never asked for the rest.
Test(operator_records, a_read_that_is_cut_loses_nothing_on_the_daemons_that_fetch) {
  relay_fixture fixture;
  fixture.append("idle", "first");
  fixture.follower.start();
  cr_assert(fixture.run_until([&] { return fixture.reads == 1; }));
  for (int i = 0; i < storm_length; ++i) {
    fixture.append("idle", std::string(record_bytes, 'x'));
  }
  fixture.append(withdrawal_key, "{\"zone\":\"zone-b\"}");
  fixture.follower.set_following(true, 1200ms);
  cr_assert(fixture.run_until([&] { return fixture.reader.is_withdrawn("zone-b"); }));
  cr_assert_geq(fixture.reads, 3, "the read was not cut");
  cr_assert(fixture.other.is_withdrawn("zone-b"));
}
