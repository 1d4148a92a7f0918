// Measures the share of good answers while upstreams are cold, while a failure domain is withdrawn
// and returned, and after a load spike. Compares the daemon's selection policy and adaptive limit
// with two baselines on the same model upstreams.
//
// One calling daemon sends to two failure domains. Results are counted by one-second steps.

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
  duration run_time{};
  duration leaves_at{}; // when the second domain is withdrawn; 0: never
  duration returns_at{};
  double spike_calls_per_second = 0; // from 4 s to 6 s; 0: no spike
};

struct step_result {
  int submitted = 0;
  int good = 0;
};

// Runs one scenario with one policy. `Retries` is the maximum number of retries of a refused call.
template <typename Policy, typename Limit, int Retries>
class service_run {
public:
  service_run(const scenario& parameters, std::uint64_t seed)
      : scenario_(parameters), random_(seed) {
    for (int i = 0; i < 2 * parameters.per_domain; ++i) {
      upstreams_.push_back(std::make_unique<endpoint>(parameters.upstream));
    }
  }

  std::vector<step_result> run() {
    steps_.resize(static_cast<std::size_t>(scenario_.run_time / 1s));
    schedule(duration{}, [this] { generate_request(); });
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.action();
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
    std::map<std::uint64_t, std::size_t> step_by_token;
  };
  struct event {
    duration at{};
    std::uint64_t sequence = 0;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  void schedule(duration at, std::function<void()> action) {
    events_.push({at, next_number_++, std::move(action)});
  }
  time_point clock() const { return time_point{std::chrono::hours{24}} + now_; }
  bool is_domain_absent() const {
    return scenario_.leaves_at > 0s && now_ >= scenario_.leaves_at && now_ < scenario_.returns_at;
  }

  void generate_request() {
    if (now_ >= scenario_.run_time) {
      return;
    }
    reset_returned_domain();
    const std::size_t step = static_cast<std::size_t>(now_ / 1s);
    ++steps_[step].submitted;
    submit_request(step, 0, now_);
    const bool is_spike = scenario_.spike_calls_per_second > 0 && now_ >= 4s && now_ < 6s;
    const double rate = is_spike ? scenario_.spike_calls_per_second : scenario_.calls_per_second;
    const double gap_us = -std::log(1.0 - random_.fraction()) * 1e6 / rate;
    schedule(now_ + duration{static_cast<duration::rep>(gap_us) + 1},
             [this] { generate_request(); });
  }

  // Makes the upstreams of the second domain cold when it returns.
  void reset_returned_domain() {
    if (scenario_.leaves_at == 0s || has_returned_ || now_ < scenario_.returns_at) {
      return;
    }
    has_returned_ = true;
    for (std::size_t i = upstreams_.size() / 2; i < upstreams_.size(); ++i) {
      upstreams_[i]->model.make_cold();
      upstreams_[i]->gate.limit().make_cold();
      upstreams_[i]->stats = {};
    }
  }

  void submit_request(std::size_t step, int attempt, duration started_at) {
    std::vector<endpoint_view> views;
    std::vector<std::size_t> indexes;
    const std::size_t usable = is_domain_absent() ? upstreams_.size() / 2 : upstreams_.size();
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
    const std::uint64_t token = next_number_++;
    const typename admission<Limit>::submit_result result = chosen.gate.submit(
        {token, config::request_class::normal, clock() + deadline - (now_ - started_at)}, clock());
    if (result.verdict == admission_verdict::run) {
      start(chosen, step, started_at);
    } else if (result.verdict == admission_verdict::queued) {
      chosen.step_by_token[token] = step;
      schedule(now_ + max_queue_wait, [this, &chosen] { expire(chosen); });
    } else {
      chosen.stats.on_busy(clock(), 5ms);
      update_load(chosen);
      if (attempt < Retries) {
        submit_request(step, attempt + 1, started_at);
      }
    }
  }

  void expire(endpoint& target) {
    for (const waiting_request& request : target.gate.take_expired(clock())) {
      target.step_by_token.erase(request.token);
      target.stats.on_busy(clock(), 5ms);
    }
  }

  void start(endpoint& target, std::size_t step, duration started_at) {
    const fakes::model_upstream::plan plan =
        target.model.start({"GET", "/", "", "", "", 0}, random_);
    schedule(now_ + plan.latency, [this, &target, step, plan, started_at] {
      target.model.finish();
      const bool is_good = plan.status < 500 && now_ - started_at <= deadline;
      steps_[step].good += is_good ? 1 : 0;
      target.gate.on_answer(1, plan.latency,
                            plan.status < 500 ? answer_kind::good : answer_kind::failed);
      target.gate.release();
      if (plan.status < 500) {
        target.stats.on_answer(now_ - started_at);
      } else {
        target.stats.on_failed(clock());
      }
      update_load(target);
      while (const std::optional<waiting_request> next = target.gate.next(clock())) {
        const std::size_t queued_step = target.step_by_token.at(next->token);
        target.step_by_token.erase(next->token);
        start(target, queued_step, now_);
      }
    });
  }

  void update_load(endpoint& target) {
    target.stats.on_load(target.gate.limit().value(),
                         static_cast<std::uint32_t>(target.gate.in_flight()), clock());
  }

  scenario scenario_;
  random_source random_;
  Policy policy_;
  std::vector<std::unique_ptr<endpoint>> upstreams_;
  std::priority_queue<event> events_;
  std::vector<step_result> steps_;
  duration now_{};
  std::uint64_t next_number_ = 1;
  bool has_returned_ = false;
};

template <typename Policy, typename Limit, int Retries>
void measure(const scenario& parameters, const std::string& policy, std::uint64_t seeds) {
  int submitted = 0;
  int good = 0;
  std::vector<double> worst_step;
  std::vector<double> last_steps;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    double worst = 1.0;
    const std::vector<step_result> steps =
        service_run<Policy, Limit, Retries>(parameters, seed).run();
    for (const step_result& step : steps) {
      submitted += step.submitted;
      good += step.good;
      worst = std::min(worst, static_cast<double>(step.good) / std::max(1, step.submitted));
    }
    worst_step.push_back(worst);
    last_steps.push_back(static_cast<double>(steps.back().good) /
                         std::max(1, steps.back().submitted));
  }
  report("service_" + parameters.name,
         {{"policy", policy},
          {"good_share", figure(static_cast<double>(good) / submitted)},
          {"worst_second_median", figure(quantile(worst_step, 0.5))},
          {"last_second_median", figure(quantile(last_steps, 0.5))},
          {"offered", std::to_string(submitted)},
          {"seeds", std::to_string(seeds)}});
}

} // namespace

void run_service_benchmarks(const run_options& options) {
  const std::uint64_t seeds = options.quick ? 3 : 20;
  const fakes::model_upstream_settings saigon_upstream{
      .slots = 10, .cold_slots = 2, .warm_up_requests = 500, .latency = 10ms};
  const fakes::model_upstream_settings amman_upstream{
      .slots = 20, .cold_slots = 3, .warm_up_requests = 800, .latency = 20ms};
  for (const scenario& each : {
           scenario{"domain_leaves_and_returns_saigon", saigon_upstream, 4, 2200, 30s, 8s, 18s, 0},
           scenario{"domain_leaves_and_returns_amman", amman_upstream, 4, 2200, 30s, 8s, 18s, 0},
           scenario{"all_cold_saigon", saigon_upstream, 4, 2400, 15s, 0s, 0s, 0},
           scenario{"spike_saigon", saigon_upstream, 4, 1500, 20s, 0s, 0s, 16000},
       }) {
    measure<round_robin, fixed_limit, 0>(each, "round_robin_fixed_limit", seeds);
    measure<least_outstanding, fixed_limit, 0>(each, "least_outstanding_fixed_limit", seeds);
    measure<least_cost_of_two, adaptive_limit, 3>(each, "least_cost_of_two_adaptive_limit", seeds);
  }
}

} // namespace arbutuslb::bench
