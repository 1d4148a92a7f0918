#include "arbutuslb/runtime/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>
#include <map>
#include <sstream>

namespace arbutuslb::runtime {
namespace {

namespace accumulators = boost::accumulators;
namespace histogram = boost::histogram;
using core::engine::statistics;

constexpr unsigned latency_buckets = 16;
constexpr double first_latency_ms = 0.125;
constexpr double last_latency_ms = 8192.0;

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using latency_histogram = decltype(histogram::make_histogram(log_axis{}));
using total = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum, accumulators::tag::max>>;

latency_histogram make_latency_histogram() {
  return histogram::make_histogram(log_axis{latency_buckets, first_latency_ms, last_latency_ms});
}

struct latency_series {
  latency_histogram buckets = make_latency_histogram();
  total sum;
};

void write_series(std::ostream& out, const std::string& name, const std::string& labels,
                  const latency_series& series) {
  double cumulative = series.buckets.at(-1); // latencies below the first bound
  for (int i = 0; i < static_cast<int>(latency_buckets); ++i) {
    cumulative += series.buckets.at(i);
    out << name << "_bucket{" << labels << ",le=\"" << series.buckets.axis(0).bin(i).upper()
        << "\"} " << cumulative << '\n';
  }
  out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << accumulators::count(series.sum)
      << '\n';
  out << name << "_sum{" << labels << "} " << accumulators::sum(series.sum) << '\n';
  out << name << "_count{" << labels << "} " << accumulators::count(series.sum) << '\n';
}

void write_counter(std::ostream& out, const std::string& name, std::uint64_t value) {
  out << "# TYPE arbutuslb_" << name << " counter\narbutuslb_" << name << ' ' << value << '\n';
}

void write_gauge(std::ostream& out, const std::string& name, double value) {
  out << "# TYPE arbutuslb_" << name << " gauge\narbutuslb_" << name << ' ' << value << '\n';
}

void write_statistics(std::ostream& out, const statistics& totals) {
  write_counter(out, "calls_answered_total", totals.calls_answered);
  write_counter(out, "calls_not_run_total", totals.calls_not_executed);
  write_counter(out, "calls_unknown_total", totals.calls_unknown);
  write_counter(out, "retries_total", totals.retries);
  write_counter(out, "upstream_runs_total", totals.runs);
  write_counter(out, "upstream_refusals_total", totals.runs_refused);
  write_counter(out, "upstream_deaths_total", totals.upstream_deaths);
  write_counter(out, "poison_refusals_total", totals.poison_refusals);
  write_counter(out, "records_folded_total", totals.records_applied);
  write_counter(out, "records_malformed_total", totals.records_malformed);
  write_counter(out, "state_mismatches_total", totals.state_mismatches);
  write_counter(out, "log_reads_total", totals.log_reads);
  write_counter(out, "log_appends_total", totals.log_appends);
  write_counter(out, "snapshots_written_total", totals.snapshots_written);
  write_counter(out, "pulls_served_total", totals.pulls_served);
  write_counter(out, "pulls_refused_total", totals.pulls_refused);
  write_counter(out, "messages_sent_total", totals.messages_sent);
}

} // namespace

struct metrics::state {
  std::map<std::string, latency_series> by_class;
  std::map<std::string, latency_series> by_service;
  total busy;
  std::uint64_t control_bytes_sent = 0;
  std::uint64_t control_bytes_received = 0;
  std::uint64_t call_bytes_sent = 0;
  std::uint64_t call_bytes_received = 0;
};

metrics::metrics() : state_(std::make_unique<state>()) {}
metrics::~metrics() = default;

void metrics::on_answer(const core::engine::answer_caller& answer) {
  if (answer.service.empty()) {
    return;
  }
  const double milliseconds = static_cast<double>(answer.latency.count()) / 1000.0;
  for (latency_series* series : {&state_->by_class[core::config::to_string(answer.priority)],
                                 &state_->by_service[answer.service]}) {
    series->buckets(milliseconds);
    series->sum(milliseconds);
  }
}

void metrics::on_event_handled(core::duration busy) {
  state_->busy(static_cast<double>(busy.count()));
}

void metrics::on_sent(std::size_t bytes, bool is_call) {
  (is_call ? state_->call_bytes_sent : state_->control_bytes_sent) += bytes;
}

void metrics::on_received(std::size_t bytes, bool is_call) {
  (is_call ? state_->call_bytes_received : state_->control_bytes_received) += bytes;
}

std::string metrics::render(const core::engine::daemon_core& core) const {
  std::ostringstream out;
  write_gauge(out, "config_version", static_cast<double>(core.configuration().version()));
  write_gauge(out, "members_present", static_cast<double>(core.members().present().size()));
  write_gauge(out, "upstream_limit", core.upstream_load().limit);
  write_gauge(out, "upstream_in_flight", core.upstream_load().in_flight);
  write_statistics(out, core.totals());
  write_counter(out, "control_bytes_sent_total", state_->control_bytes_sent);
  write_counter(out, "control_bytes_received_total", state_->control_bytes_received);
  write_counter(out, "call_bytes_sent_total", state_->call_bytes_sent);
  write_counter(out, "call_bytes_received_total", state_->call_bytes_received);
  write_counter(out, "loop_events_total", accumulators::count(state_->busy));
  write_gauge(out, "loop_busy_microseconds_total", accumulators::sum(state_->busy));
  write_gauge(out, "loop_busy_microseconds_max",
              accumulators::count(state_->busy) == 0 ? 0.0 : accumulators::max(state_->busy));
  out << "# TYPE arbutuslb_call_latency_ms histogram\n";
  for (const auto& [name, series] : state_->by_class) {
    write_series(out, "arbutuslb_call_latency_ms", "class=\"" + name + "\"", series);
  }
  out << "# TYPE arbutuslb_service_latency_ms histogram\n";
  for (const auto& [name, series] : state_->by_service) {
    write_series(out, "arbutuslb_service_latency_ms", "service=\"" + name + "\"", series);
  }
  return out.str();
}

} // namespace arbutuslb::runtime
