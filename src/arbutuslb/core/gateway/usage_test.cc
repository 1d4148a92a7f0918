// Tests of usage reports on a simulated fleet: what is counted, and what the platform receives when
// daemons end, the store is away, and clocks are wrong.

#include "arbutuslb/core/gateway/gateway_test_mesh.h"

#include <criterion/criterion.h>

namespace {

namespace duties = arbutuslb::core::duties;
using arbutuslb::fakes::received_usage;

// A mesh that reports windows of 5 s, and in which the requests of two organisations are counted.
struct usage_fixture {
  explicit usage_fixture(const std::vector<std::size_t>& wrong_clocks = {}) : fleet(1) {
    fleet.usage.is_enabled = true;
    for (const std::size_t at : wrong_clocks) {
      fleet.clocks[at] = 2400s;
    }
    for (const char* domain : {"a", "b"}) {
      for (const char* service : {"menu", "menu", "orders", "orders"}) {
        fleet.add(domain, service);
      }
    }
    std::shared_ptr<gateway::mesh_configuration> value = configuration(1);
    value->organisations.emplace();
    value->organisations->add({"acme", std::nullopt}, {"key-acme"});
    value->organisations->add({"bolt", std::nullopt}, {"key-bolt"});
    fleet.publish(value);
    fleet.run_for(4s);
  }

  // Sends requests for a time: 50 per second of one organisation and 10 of the other.
  void play(std::chrono::seconds time) {
    for (int i = 0; i < time / 20ms; ++i) {
      send("key-acme", "acme");
      if (i % 5 == 0) {
        send("key-bolt", "bolt");
      }
      fleet.run_for(20ms);
    }
  }

  void send(const std::string& key, const std::string& organisation) {
    std::size_t at = next_++ % 8;
    while (fleet.exited.contains(at)) {
      at = next_++ % 8;
    }
    fleet.call(at, "shop.example", "/menu/1", true, 2000ms, key);
    ++expected[duties::window_at(fleet.now(), fleet.usage.window)][organisation];
  }

  // Returns the daemon that has sent the last report.
  std::size_t holder() const { return fleet.usage_reports.back().index; }

  // Checks the rules for what the platform receives, and that the counts of every window from
  // `first` to `last` are within `tolerance` of the truth.
  void check(duties::window_number first, duties::window_number last, double tolerance = 0.0) {
    std::map<duties::window_number, duties::usage_counts> windows;
    std::uint64_t token = 0;
    std::size_t author = 0;
    for (const received_usage& item : fleet.usage_reports) {
      const auto [found, is_new] = windows.emplace(item.record.window, item.record.counts);
      cr_assert(found->second == item.record.counts, "two reports of one window differ");
      cr_assert(item.record.fencing_token > token ||
                (item.record.fencing_token == token && item.index == author));
      token = item.record.fencing_token;
      author = item.index;
    }
    for (duties::window_number window = first; window <= last; ++window) {
      cr_assert(windows.contains(window), "a window is not reported");
      for (const auto& [organisation, count] : expected[window]) {
        const double reported = static_cast<double>(windows[window][organisation]);
        const double difference = std::abs(reported - static_cast<double>(count));
        // One may have begun just after the end of the window in which it was sent.
        cr_assert(difference <= std::max(1.0, tolerance * static_cast<double>(count)),
                  "%.0f of %d of %s", reported, static_cast<int>(count), organisation.c_str());
      }
    }
  }

  duties::window_number window_now() const {
    return duties::window_at(fleet.now(), fleet.usage.window);
  }

  gateway_fleet fleet;
  std::map<duties::window_number, duties::usage_counts> expected;

private:
  std::size_t next_ = 0;
};

} // namespace

Test(usage, every_window_is_reported_once_with_its_counts) {
  usage_fixture fixture;
  const duties::window_number first = fixture.window_now() + 1;
  fixture.play(20s);
  fixture.fleet.run_for(10s);
  fixture.check(first, first + 3);
  std::set<duties::window_number> windows;
  for (const received_usage& item : fixture.fleet.usage_reports) {
    cr_assert(windows.insert(item.record.window).second, "reported twice");
  }
}

Test(usage, requests_that_no_upstream_has_begun_are_not_counted) {
  usage_fixture fixture;
  for (const std::size_t at : menu_daemons) {
    fixture.fleet.upstream(at).sheds = true;
  }
  const duties::window_number first = fixture.window_now() + 1;
  fixture.play(8s);
  fixture.expected.clear();
  fixture.fleet.run_for(10s);
  for (const received_usage& item : fixture.fleet.usage_reports) {
    cr_assert(item.record.counts.empty());
  }
  fixture.check(first, first);
}

// Guards against windows that nobody reports after their reporter has died, and against a report
// of the former one beside that of the new one.
Test(usage, another_daemon_reports_in_time_when_the_holder_dies) {
  usage_fixture fixture;
  fixture.play(11s);
  const std::size_t former = fixture.holder();
  const duties::window_number window = fixture.window_now();
  fixture.fleet.exited.insert(former);
  fixture.play(10s);
  const arbutuslb::core::time_point due =
      duties::window_end(window, fixture.fleet.usage.window) + fixture.fleet.usage.due;
  fixture.fleet.run_for(due - fixture.fleet.now());
  cr_assert_neq(fixture.holder(), former);
  fixture.check(window - 1, window, 0.05);
}

Test(usage, a_holder_that_is_silent_for_a_while_does_not_report_beside_its_successor) {
  usage_fixture fixture;
  fixture.play(11s);
  const std::size_t former = fixture.holder();
  fixture.fleet.exited.insert(former); // suspended
  fixture.play(8s);
  fixture.fleet.clocks[former] = 8s;
  fixture.fleet.exited.erase(former);
  fixture.play(20s);
  fixture.fleet.run_for(10s);
  fixture.check(0, -1);
  cr_assert(fixture.fleet.usage_reports.size() >= 6);
}

Test(usage, windows_are_reported_when_the_store_and_the_collector_return) {
  usage_fixture fixture;
  const duties::window_number first = fixture.window_now() + 1;
  fixture.play(7s);
  fixture.fleet.is_store_down = true;
  fixture.play(5s);
  fixture.fleet.is_store_down = false;
  fixture.fleet.is_collector_down = true;
  fixture.play(4s);
  fixture.fleet.is_collector_down = false;
  fixture.fleet.run_for(12s);
  fixture.check(first, first + 2);
}

// Guards against windows of a clock that was wrong when the process started.
Test(usage, a_daemon_whose_clock_is_wrong_reports_the_windows_of_the_others) {
  usage_fixture fixture({0, 4, 5});
  const duties::window_number first = fixture.window_now() + 1;
  fixture.play(20s);
  fixture.fleet.run_for(10s);
  fixture.check(first, first + 2);
  for (const received_usage& item : fixture.fleet.usage_reports) {
    cr_assert(item.record.window <= fixture.window_now());
  }
}
