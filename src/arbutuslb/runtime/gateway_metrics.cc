#include "arbutuslb/runtime/gateway_metrics.h"

namespace arbutuslb::runtime {
namespace {

void write_counter(std::string& out, const char* name, std::uint64_t value) {
  out += std::string("# TYPE arbutuslb_") + name + " counter\narbutuslb_" + name + " " +
         std::to_string(value) + "\n";
}

} // namespace

std::string render_metrics(const core::gateway::gateway_statistics& totals,
                           const core::gateway::crash_containment& containment,
                           std::uint64_t store_calls, std::uint64_t log_lines_dropped,
                           std::uint64_t inputs_dropped, std::uint64_t events_failed,
                           const memory_statistics& memory) {
  std::string out;
  write_counter(out, "calls_total", totals.calls);
  write_counter(out, "calls_answered_total", totals.answered);
  write_counter(out, "calls_not_run_total", totals.refused);
  write_counter(out, "calls_unknown_total", totals.unknown);
  write_counter(out, "calls_given_up_total", totals.given_up);
  write_counter(out, "calls_without_route_total", totals.not_found);
  write_counter(out, "calls_unauthorized_total", totals.unauthorized);
  write_counter(out, "callers_left_total", totals.callers_disconnected);
  write_counter(out, "repeats_total", totals.repeats);
  write_counter(out, "hedges_total", totals.hedges);
  write_counter(out, "hedges_won_total", totals.hedges_won);
  write_counter(out, "runs_total", totals.runs);
  write_counter(out, "runs_refused_total", totals.runs_refused);
  write_counter(out, "runs_displaced_total", totals.runs_displaced);
  write_counter(out, "upstream_deaths_total", totals.upstream_deaths);
  write_counter(out, "suspicions_total", totals.suspicions);
  write_counter(out, "suspicions_cleared_total", totals.suspicions_cleared);
  write_counter(out, "suspicions_dropped_total", containment.registry().dropped());
  write_counter(out, "suspicions_omitted_total", containment.omitted());
  write_counter(out, "isolated_runs_total", totals.isolated_runs);
  write_counter(out, "poison_refusals_total", totals.poison_refusals);
  write_counter(out, "reports_sent_total", totals.reports_sent);
  write_counter(out, "reports_received_total", totals.reports_received);
  write_counter(out, "heartbeats_refused_total", totals.heartbeats_refused);
  write_counter(out, "usage_reports_total", totals.usage_reports);
  write_counter(out, "usage_failures_total", totals.usage_failures);
  write_counter(out, "store_calls_total", store_calls);
  write_counter(out, "log_lines_dropped_total", log_lines_dropped);
  write_counter(out, "inputs_dropped_total", inputs_dropped);
  write_counter(out, "events_failed_total", events_failed);
  write_counter(out, "out_of_memory_total", memory.refused);
  out += "# TYPE arbutuslb_message_bytes gauge\narbutuslb_message_bytes " +
         std::to_string(memory.used_bytes) + "\n";
  return out;
}

} // namespace arbutuslb::runtime
