// The part of the gate that learns from how executions end: latencies, failures, the limits that
// the upstream states or shows, and the evidence for a rollout.

#include "arbutuslb/core/gateway/upstream_gate.h"

namespace arbutuslb::core::gateway {
namespace {

constexpr int first_error_status = 500;
// Weight of the newest sample in the moving averages.
constexpr double latency_weight = 0.1;
constexpr double failure_weight = 0.05;
// An upstream refuses a request that it does not execute within this time.
constexpr std::chrono::milliseconds refusal_time{250};

bool is_server_error(const run_result& result) {
  return result.outcome == run_outcome::answered && result.answer.status >= first_error_status;
}

} // namespace

void upstream_gate::count_usage(execution& value) {
  if (value.is_counted || value.request.organisation.empty() ||
      !shared_.settings.usage.is_enabled) {
    return;
  }
  value.is_counted = true;
  shared_.usage_starts.push_back({value.request.organisation, value.started});
}

void upstream_gate::count_running_usage() {
  for (auto& [token, value] : executions_) {
    if (value.attempt != 0 && shared_.now - value.started >= refusal_time) {
      count_usage(value);
    }
  }
}

void upstream_gate::record_completion(execution& ended, const attempt_completed& end) {
  const duration latency = shared_.now - ended.started;
  const bool is_answer = end.result.outcome == run_outcome::answered;
  queue_.release(is_answer ? std::optional<duration>(latency) : std::nullopt);
  const bool has_failed = !is_answer || is_server_error(end.result);
  if (end.result.outcome != run_outcome::not_executed) {
    count_usage(ended);
  }
  failed_share_ += failure_weight * ((has_failed ? 1.0 : 0.0) - failed_share_);
  if (end.is_unreachable) {
    shared_.registry.on_unreachable();
    shared_.is_report_due = true;
    shared_.write(engine::severity::warning, "upstream_unreachable",
                  {{"instance", ended.request.instance_id}});
    if (has_unfinished()) {
      probe(); // no connection broke if only cancelled requests were running
    }
  }
  if (end.is_silent) {
    record_silence(ended);
  }
  if (end.result.notice) {
    record_notice(ended, *end.result.notice);
  }
  if (!is_answer) {
    log_unanswered(ended, end.result.reason);
    // A request that was interrupted by the death of its upstream is no evidence of its own.
    if (end.result.outcome == run_outcome::unknown && !end.is_broken) {
      record_evidence(ended, execution_end::unanswered);
    }
    return;
  }
  clear_suspicion(ended);
  limit_.on_answer(ended.started, shared_.now);
  shared_.registry.on_response(shared_.now);
  const double sample = static_cast<double>(latency.count());
  const auto [mean, is_first] = route_means_.try_emplace(ended.request.route, sample);
  mean->second += latency_weight * (sample - mean->second);
  record_evidence(ended, has_failed ? execution_end::error : execution_end::good);
}

execution_sample upstream_gate::sample_of(const execution& value) const {
  execution_sample sample;
  sample.route = value.request.route;
  sample.share_permille = value.request.rollout_share_permille;
  sample.target_latency = value.request.target_time_left;
  sample.elapsed = shared_.now - value.started;
  sample.counted_late_at = value.counted_late_at;
  sample.is_retry = value.request.is_retry;
  return sample;
}

void upstream_gate::record_evidence(const execution& ended, execution_end end) {
  evidence_.on_ended(sample_of(ended), end);
}

void upstream_gate::record_late_executions() {
  for (auto& [token, value] : executions_) {
    if (value.attempt != 0 && value.request.rollout_share_permille >= 0) {
      const execution_sample sample = sample_of(value);
      value.counted_late_at = evidence_.on_running(sample) ? sample.elapsed : value.counted_late_at;
    }
  }
}

void upstream_gate::log_unanswered(const execution& ended, const std::string& reason) {
  if (ended.request.rollout_share_permille < 0) {
    return; // no verdict depends on it
  }
  const std::optional<registered_upstream>& upstream = shared_.registry.upstream();
  shared_.write(engine::severity::info, "run_unanswered",
                {{"id", ended.request.content.attempt_id},
                 {"route", ended.request.route},
                 {"version", upstream ? upstream->version : ""},
                 {"after_ms", std::to_string(to_milliseconds(shared_.now - ended.started))},
                 {"reason", reason}});
}

void upstream_gate::record_notice(const execution& ended, const upstream_notice& notice) {
  stated_limit_.on_answer(notice.rate_limit, ended.started, shared_.now);
  const upstream_incarnation sender{ended.request.instance_id, ended.upstream_started_ms};
  if (notice.is_leaving && shared_.registry.on_leaving(sender, shared_.now)) {
    departure_era_.reset();
    shared_.is_report_due = true;
    refuse_queued("upstream is leaving");
  }
  if (notice == last_notice_) {
    return;
  }
  last_notice_ = notice;
  shared_.write(engine::severity::info, "upstream_notice",
                {{"instance", ended.request.instance_id},
                 {"id", ended.request.content.attempt_id},
                 {"rate_limit", notice.rate_limit ? std::to_string(*notice.rate_limit) : "none"},
                 {"leaving", notice.is_leaving ? "true" : "false"}});
}

void upstream_gate::record_silence(const execution& ended) {
  const int before = limit_.value();
  limit_.on_silence(ended.started, shared_.now);
  if (limit_.value() < before) {
    shared_.write(engine::severity::warning, "limit_lowered",
                  {{"instance", ended.request.instance_id},
                   {"id", ended.request.content.attempt_id},
                   {"from", std::to_string(before)},
                   {"to", std::to_string(limit_.value())},
                   {"silent_ms", std::to_string(to_milliseconds(shared_.now - ended.started))}});
  }
}

std::optional<protocol::evidence_report> upstream_gate::report_evidence() {
  const std::optional<registered_upstream>& upstream = shared_.registry.upstream();
  const rollout_conductor::rollout* rollout =
      upstream ? rollouts_.find(shared_.settings.service) : nullptr;
  if (rollout == nullptr || rollout->phase != rollout_phase::running) {
    return std::nullopt;
  }
  evidence_.begin(rollout->number);
  protocol::evidence_report evidence;
  evidence.move_id = rollout->id;
  evidence.version = rollout_conductor::label_of(*rollout, upstream->version);
  evidence.cells = evidence_.cells();
  evidence.limit = queue_.limit();
  evidence.mean_in_flight = mean_in_flight_;
  return evidence;
}

} // namespace arbutuslb::core::gateway
