// A simulated upstream for tests on a manual clock, with slots, cold start and faults.
//
// Latency stays at its base value up to the upstream's capacity and grows with the square of the
// load above it. Requests fail above three times the capacity. A cold upstream starts with a small
// capacity, which grows with the number of requests that it has served.
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/core/protocol/messages.h"

#include <algorithm>
#include <map>
#include <string>

namespace arbutuslb::fakes {

struct model_upstream_settings {
  double slots = 10;             // capacity of a warm upstream, in concurrent requests
  double cold_slots = 10;        // capacity directly after a cold start
  double warm_up_requests = 300; // requests until the upstream is warm
  core::duration latency = std::chrono::milliseconds{4};
  double error_rate = 0.0; // fraction of the requests that fail
  double slow_rate = 0.0;  // fraction of the requests that take `slow_factor` times as long
  double slow_factor = 10.0;
  std::string faulty_path; // limits errors and slowness to paths with this prefix; empty: all paths
  double fault_load = 0.0; // errors and slowness begin at this number of concurrent requests
};

// Not thread-safe.
class model_upstream {
public:
  // The result of a request, known when it starts.
  struct plan {
    core::duration latency{};
    int status = 200;
  };

  model_upstream_settings settings;
  bool is_listening = true;
  int in_flight = 0;
  double served_since_cold = 0;
  std::map<std::string, int> executions_by_key;
  std::map<std::string, int> executions_by_body;

  // Returns the number of concurrent requests that the upstream sustains at its base latency.
  double capacity() const {
    const double warm_fraction = std::min(1.0, served_since_cold / settings.warm_up_requests);
    return settings.cold_slots + (settings.slots - settings.cold_slots) * warm_fraction;
  }

  void make_cold() { served_since_cold = 0; }

  // Starts a request and returns its latency and status. The caller calls `finish` when that
  // latency has passed.
  plan start(const core::protocol::call_content& content, core::random_source& random) {
    ++in_flight;
    ++executions_by_body[content.body];
    if (!content.key.empty()) {
      ++executions_by_key[content.key];
    }
    const double load = in_flight / capacity();
    const bool is_faulty =
        content.path.compare(0, settings.faulty_path.size(), settings.faulty_path) == 0 &&
        in_flight >= settings.fault_load;
    const double spread = 0.8 + 0.4 * random.fraction();
    double factor = spread * std::max(1.0, load * load);
    if (is_faulty && random.fraction() < settings.slow_rate) {
      factor *= settings.slow_factor;
    }
    constexpr double collapse_load = 3.0;
    constexpr int status_error = 500;
    constexpr int status_ok = 200;
    const bool fails =
        load > collapse_load || (is_faulty && random.fraction() < settings.error_rate);
    return {core::duration{static_cast<core::duration::rep>(
                factor * static_cast<double>(settings.latency.count()))},
            fails ? status_error : status_ok};
  }

  void finish() {
    --in_flight;
    ++served_since_cold;
  }
};

} // namespace arbutuslb::fakes
