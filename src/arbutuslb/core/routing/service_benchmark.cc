// Service while upstreams are cold, while a failure domain leaves and returns, and after a spike:
// the product's choice and limits beside two baselines, against the same model upstreams.
//
// One caller's daemon in front of two failure domains; one-second steps.

#include "arbutuslb/bench/bench.h"
#include "arbutuslb/core/routing/admission.h"
#include "arbutuslb/core/routing/selector.h"
#include "arbutuslb/fakes/model_upstream.h"

#include <cmath>
#include <functional>
#include <memory>
#include <queue>

namespace arbutuslb::bench {
namespace {

using namespace core;
using namespace core::routing;
using namespace std::chrono_literals;

struct scenario {
  std::string name;
  fakes::model_upstream_settings upstream;
  int per_domain = 4;
  double calls_per_second = 0;
  duration length{};
  duration leaves{}; // when the second domain leaves
  duration returns{};
  double spike_calls_per_second = 0; // from 4 s to 6 s
};

struct step_result {
  int offered = 0;
  int good = 0;
};

// Runs one scenario with one policy. `Retries` is how often a refused call is tried elsewhere.
template <typename Policy, typename Limit, int Retries>
class service_run {
public:
  service_run(const scenario& given, std::uint64_t seed) : scenario_(given), random_(seed) {
    for (int i = 0; i < 2 * given.per_domain; ++i) {
      upstreams_.push_back(std::make_unique<endpoint>(given.upstream));
    }
  }

  std::vector<step_result> run() {
    steps_.resize(static_cast<std::size_t>(scenario_.length / 1s));
    schedule(duration{}, [this] { arrive(); });
    while (!events_.empty()) {
      const timed next = events_.top();
      events_.pop();
      now_ = next.at;
      next.what();
    }
    return steps_;
  }

private:
  static constexpr duration deadline = 500ms;
  struct endpoint {
    explicit endpoint(const fakes::model_upstream_settings& settings)
        : gate(static_cast<int>(settings.slots)) {
      model.settings = settings;
    }
    fakes::model_upstream model;
    admission<Limit> gate;
    endpoint_stats stats;
    std::map<std::uint64_t, std::size_t> waiting_step;
  };
  struct timed {
    duration at{};
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const timed& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void schedule(duration at, std::function<void()> what) {
    events_.push({at, next_order_++, std::move(what)});
  }
  time_point clock() const { return time_point{std::chrono::hours{24}} + now_; }
  bool is_left() const {
    return scenario_.leaves > 0s && now_ >= scenario_.leaves && now_ < scenario_.returns;
  }

  void arrive() {
    if (now_ >= scenario_.length) {
      return;
    }
    note_return();
    const std::size_t step = static_cast<std::size_t>(now_ / 1s);
    ++steps_[step].offered;
    submit(step, 0, now_);
    const bool is_spike = scenario_.spike_calls_per_second > 0 && now_ >= 4s && now_ < 6s;
    const double rate = is_spike ? scenario_.spike_calls_per_second : scenario_.calls_per_second;
    const double gap_us = -std::log(1.0 - random_.fraction()) * 1e6 / rate;
    schedule(now_ + duration{static_cast<duration::rep>(gap_us) + 1}, [this] { arrive(); });
  }

  // The domain that returns is cold.
  void note_return() {
    if (scenario_.leaves == 0s || has_returned_ || now_ < scenario_.returns) {
      return;
    }
    has_returned_ = true;
    for (std::size_t i = upstreams_.size() / 2; i < upstreams_.size(); ++i) {
      upstreams_[i]->model.make_cold();
      upstreams_[i]->gate.limit().make_cold();
      upstreams_[i]->stats = {};
    }
  }

  void submit(std::size_t step, int attempt, duration began) {
    std::vector<endpoint_view> views;
    std::vector<std::size_t> indexes;
    const std::size_t usable = is_left() ? upstreams_.size() / 2 : upstreams_.size();
    for (std::size_t i = 0; i < usable; ++i) {
      if (Retries == 0 || !upstreams_[i]->stats.is_refusing(clock())) {
        views.push_back({member_id{i}, &upstreams_[i]->stats});
        indexes.push_back(i);
      }
    }
    if (views.empty()) {
      return;
    }
    endpoint& chosen = *upstreams_[indexes[policy_.choose(views, clock(), random_)]];
    chosen.stats.on_sent();
    const std::uint64_t token = next_order_++;
    const typename admission<Limit>::submit_result result = chosen.gate.submit(
        {token, config::request_class::normal, clock() + deadline - (now_ - began)}, clock());
    if (result.verdict == admission_verdict::run) {
      start(chosen, step, began);
    } else if (result.verdict == admission_verdict::queued) {
      chosen.waiting_step[token] = step;
      schedule(now_ + max_queue_wait, [this, &chosen] { expire(chosen); });
    } else {
      chosen.stats.on_busy(clock(), 5ms);
      note_load(chosen);
      if (attempt < Retries) {
        submit(step, attempt + 1, began);
      }
    }
  }

  void expire(endpoint& at) {
    for (const waiting_request& request : at.gate.take_expired(clock())) {
      at.waiting_step.erase(request.token);
      at.stats.on_busy(clock(), 5ms);
    }
  }

  void start(endpoint& at, std::size_t step, duration began) {
    const fakes::model_upstream::plan plan = at.model.start({"GET", "/", "", "", "", 0}, random_);
    schedule(now_ + plan.latency, [this, &at, step, plan, began] {
      at.model.finish();
      const bool is_good = plan.status < 500 && now_ - began <= deadline;
      steps_[step].good += is_good ? 1 : 0;
      at.gate.on_answer(1, plan.latency,
                        plan.status < 500 ? answer_kind::good : answer_kind::failed);
      at.gate.release();
      if (plan.status < 500) {
        at.stats.on_answer(now_ - began);
      } else {
        at.stats.on_failed(clock());
      }
      note_load(at);
      while (const std::optional<waiting_request> next = at.gate.next(clock())) {
        const std::size_t waiting = at.waiting_step.at(next->token);
        at.waiting_step.erase(next->token);
        start(at, waiting, now_);
      }
    });
  }

  void note_load(endpoint& at) {
    at.stats.on_load(at.gate.limit().value(), static_cast<std::uint32_t>(at.gate.in_flight()),
                     clock());
  }

  scenario scenario_;
  random_source random_;
  Policy policy_;
  std::vector<std::unique_ptr<endpoint>> upstreams_;
  std::priority_queue<timed> events_;
  std::vector<step_result> steps_;
  duration now_{};
  std::uint64_t next_order_ = 1;
  bool has_returned_ = false;
};

template <typename Policy, typename Limit, int Retries>
void measure(const scenario& given, const std::string& policy, std::uint64_t seeds) {
  int offered = 0;
  int good = 0;
  std::vector<double> worst_step;
  std::vector<double> last_steps;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    double worst = 1.0;
    const std::vector<step_result> steps = service_run<Policy, Limit, Retries>(given, seed).run();
    for (const step_result& step : steps) {
      offered += step.offered;
      good += step.good;
      worst = std::min(worst, static_cast<double>(step.good) / std::max(1, step.offered));
    }
    worst_step.push_back(worst);
    last_steps.push_back(static_cast<double>(steps.back().good) /
                         std::max(1, steps.back().offered));
  }
  report("service_" + given.name, {{"policy", policy},
                                   {"good_share", figure(static_cast<double>(good) / offered)},
                                   {"worst_second_median", figure(quantile(worst_step, 0.5))},
                                   {"last_second_median", figure(quantile(last_steps, 0.5))},
                                   {"offered", std::to_string(offered)},
                                   {"seeds", std::to_string(seeds)}});
}

} // namespace

void run_service_benchmarks(const run_options& options) {
  const std::uint64_t seeds = options.quick ? 3 : 20;
  const fakes::model_upstream_settings van{
      .slots = 10, .cold_slots = 2, .warm_up_requests = 500, .latency = 10ms};
  const fakes::model_upstream_settings engraving{
      .slots = 20, .cold_slots = 3, .warm_up_requests = 800, .latency = 20ms};
  for (const scenario& each : {
           scenario{"domain_leaves_and_returns_saigon", van, 4, 2200, 30s, 8s, 18s, 0},
           scenario{"domain_leaves_and_returns_amman", engraving, 4, 2200, 30s, 8s, 18s, 0},
           scenario{"all_cold_saigon", van, 4, 2400, 15s, 0s, 0s, 0},
           scenario{"spike_saigon", van, 4, 1500, 20s, 0s, 0s, 16000},
       }) {
    measure<round_robin, fixed_limit, 0>(each, "round_robin_fixed_limit", seeds);
    measure<least_outstanding, fixed_limit, 0>(each, "least_outstanding_fixed_limit", seeds);
    measure<least_cost_of_two, adaptive_limit, 3>(each, "least_cost_of_two_adaptive_limit", seeds);
  }
}

} // namespace arbutuslb::bench
