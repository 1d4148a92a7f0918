// Compares the judge of moves, with and without an exposure limit, with its baseline, over many
// seeds and model versions: time to roll a bad version back, calls that failed or were slow until
// then, false rollbacks of good versions, moves completed in time, and calls of the new version as
// a fraction of those that the exposure limit allows a bad one.

#include "arbutuslb/bench/bench.h"
#include "arbutuslb/core/base/random.h"
#include "arbutuslb/core/moves/judge.h"

#include <cmath>

namespace arbutuslb::bench {
namespace {

using namespace core;
using namespace core::moves;
using namespace std::chrono_literals;

// A fault of the new version.
struct fault_model {
  std::string name;
  double error_rate = 0;
  double slow_factor = 1.0;         // multiplies the latency
  duration starts_after{};          // after the start of the move
  int min_share_permille = 0;       // the fault occurs only from this share on
  bool smallest_route_only = false; // the fault occurs only on the route with the least traffic
  bool is_bad = true;               // false: no fault at all
};

struct traffic {
  std::string name;
  double calls_per_second;
  double base_error_rate;
  double latency_ms;
  duration stated_time;
};

enum class policy : std::uint8_t { all_at_once, judge, judge_with_limit };

const char* to_string(policy value) {
  switch (value) {
  case policy::all_at_once:
    return "all_at_once";
  case policy::judge:
    return "judge";
  case policy::judge_with_limit:
    return "judge_with_limit";
  }
  return "unknown";
}

struct move_result {
  bool rolled_back = false;
  bool done = false;
  duration ended_after{};
  std::uint64_t bad_calls = 0; // failed or slow calls of the new version
  duration first_fault_at{};   // after the start of the move; 0 if the fault never occurred
  double exposure = 0;         // calls of the new version, as a fraction of those allowed
};

class move_run {
public:
  move_run(const fault_model& fault, const traffic& load, std::uint64_t seed)
      : fault_(fault), load_(load), random_(seed) {
    move_.id = 1;
    move_.from = "v1";
    move_.to = "v2";
    move_.started = time_point{std::chrono::hours{24}};
    move_.deadline = move_.started + load.stated_time;
  }

  move_result run(policy decides) {
    move_result result;
    time_point now = move_.started;
    time_point step_started_at = now;
    for (; now < move_.deadline + 30s; now += period) {
      simulate_period(now - move_.started, result);
      pool_.merge({1}, {1}, report_of("v1", old_version_));
      pool_.merge({2}, {1}, report_of("v2", new_version_));
      const judgement decided = judge(decides, step_started_at, now);
      if ((now - move_.started) % 1s < period) {
        pool_.add_checkpoint(now);
      }
      if (decided.kind == judgement_kind::step) {
        move_.share_permille = decided.share_permille;
        step_started_at = now;
      } else if (decided.kind == judgement_kind::brake || decided.kind == judgement_kind::done) {
        result.rolled_back = decided.kind == judgement_kind::brake;
        result.done = !result.rolled_back;
        break;
      }
    }
    result.ended_after = now - move_.started;
    const double allowed = limit_share * load_.calls_per_second *
                               std::chrono::duration<double>(load_.stated_time).count() +
                           limit_extra_calls;
    result.exposure = static_cast<double>(pool_.total_of("v2").calls) / allowed;
    return result;
  }

private:
  static constexpr duration period = 100ms;
  static constexpr double limit_share = 0.1;
  static constexpr double limit_extra_calls = 50;

  judgement judge(policy decides, time_point step_started_at, time_point now) const {
    switch (decides) {
    case policy::all_at_once:
      return judge_move_at_once(move_, pool_, now);
    case policy::judge:
      return judge_move(move_, pool_, 0, step_started_at, now);
    case policy::judge_with_limit:
      break;
    }
    return judge_move(move_, pool_, 0, step_started_at, now,
                      exposure_limit{limit_share, limit_extra_calls, load_.stated_time});
  }
  static constexpr double route_shares[] = {0.7, 0.25, 0.05};

  protocol::evidence_report report_of(const std::string& version, const evidence_counter& counter) {
    return {1, version, counter.cells(), 1000.0, 1.0};
  }

  void simulate_period(duration elapsed, move_result& result) {
    for (std::size_t route = 0; route < 3; ++route) {
      const double calls = load_.calls_per_second * std::chrono::duration<double>(period).count() *
                           route_shares[route];
      const double old_share = 1.0 - move_.share_permille / 1000.0;
      simulate_calls(old_version_, route, random_count(calls * old_share), false, result, elapsed);
      const bool is_faulty = elapsed >= fault_.starts_after &&
                             move_.share_permille >= fault_.min_share_permille &&
                             (!fault_.smallest_route_only || route == 2);
      simulate_calls(new_version_, route, random_count(calls * (1.0 - old_share)),
                     is_faulty && fault_.is_bad, result, elapsed);
    }
  }

  int random_count(double mean) {
    const int whole = static_cast<int>(mean);
    return whole + (random_.fraction() < mean - whole ? 1 : 0);
  }

  void simulate_calls(evidence_counter& counter, std::size_t route, int calls, bool is_faulty,
                      move_result& result, duration elapsed) {
    for (int i = 0; i < calls; ++i) {
      const double errors = load_.base_error_rate + (is_faulty ? fault_.error_rate : 0.0);
      const bool is_error = random_.fraction() < errors;
      const double spread = std::exp(0.5 * (random_.fraction() + random_.fraction() - 1.0));
      const double latency = load_.latency_ms * spread * (is_faulty ? fault_.slow_factor : 1.0);
      counter.record_execution("route-" + std::to_string(route), move_.share_permille,
                               is_error ? execution_outcome::error : execution_outcome::good,
                               duration{static_cast<duration::rep>(latency * 1000)});
      if (is_faulty) {
        result.first_fault_at = result.first_fault_at == 0s ? elapsed : result.first_fault_at;
        result.bad_calls += is_error || fault_.slow_factor > 1.0 ? 1 : 0;
      }
    }
  }

  fault_model fault_;
  traffic load_;
  random_source random_;
  config::move move_;
  evidence_counter old_version_;
  evidence_counter new_version_;
  evidence_pool pool_;
};

void measure(const fault_model& fault, const traffic& load, std::uint64_t seeds, policy decides) {
  std::vector<double> rollback_seconds;
  std::vector<double> bad_calls;
  std::vector<double> exposures;
  std::uint64_t rolled_back = 0;
  std::uint64_t done_in_time = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const move_result result = move_run(fault, load, seed).run(decides);
    exposures.push_back(result.exposure);
    rolled_back += result.rolled_back ? 1 : 0;
    done_in_time += result.done && result.ended_after <= load.stated_time ? 1 : 0;
    bad_calls.push_back(static_cast<double>(result.bad_calls));
    if (result.rolled_back) {
      rollback_seconds.push_back(
          std::chrono::duration<double>(result.ended_after - result.first_fault_at).count());
    }
  }
  const double count = static_cast<double>(seeds);
  report("move_" + fault.name,
         {{"traffic", load.name},
          {"policy", to_string(decides)},
          {"taken_back", figure(static_cast<double>(rolled_back) / count)},
          {"done_in_time", figure(static_cast<double>(done_in_time) / count)},
          {"seconds_to_take_back_median", figure(quantile(rollback_seconds, 0.5))},
          {"seconds_to_take_back_max", figure(quantile(rollback_seconds, 1.0))},
          {"bad_calls_median", figure(quantile(bad_calls, 0.5))},
          {"bad_calls_max", figure(quantile(bad_calls, 1.0))},
          {"exposure_median", figure(quantile(exposures, 0.5))},
          {"exposure_max", figure(quantile(exposures, 1.0))},
          {"seeds", std::to_string(seeds)}});
}

} // namespace

void run_move_benchmarks(const run_options& options) {
  const std::uint64_t seeds = options.quick ? 20 : 300;
  const traffic saigon{"saigon", 120, 0.01, 6, 120s};
  const traffic amman{"amman", 60, 0.01, 25, 180s};
  const traffic short_move{"short", 230, 0.01, 90, 14s};
  for (const traffic& load : {saigon, amman, short_move}) {
    for (const fault_model& fault : {
             fault_model{"good", 0, 1.0, 0s, 0, false, false},
             fault_model{"fails_at_once", 1.0, 1.0, 0s, 0, false, true},
             fault_model{"fails_one_in_ten", 0.1, 1.0, 0s, 0, false, true},
             fault_model{"fails_later", 0.5, 1.0, 50s, 0, false, true},
             fault_model{"fails_after_7_s", 0.4, 1.0, 7s, 0, false, true},
             fault_model{"fails_after_8_s", 0.4, 1.0, 8s, 0, false, true},
             fault_model{"slow_after_8_s", 0.0, 8.0, 8s, 0, false, true},
             fault_model{"fails_on_one_route", 0.5, 1.0, 0s, 0, true, true},
             fault_model{"fails_under_load", 0.3, 1.0, 0s, 400, false, true},
             fault_model{"slow", 0.0, 3.0, 0s, 0, false, true},
             fault_model{"slow_under_load", 0.0, 2.5, 0s, 400, false, true},
         }) {
      for (const policy decides : {policy::all_at_once, policy::judge, policy::judge_with_limit}) {
        measure(fault, load, seeds, decides);
      }
    }
  }
}

} // namespace arbutuslb::bench
