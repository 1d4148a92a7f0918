#include "arbutuslb/runtime/wire/gateway_codec.h"

#include "arbutuslb/runtime/wire/evidence_codec.h"
#include "arbutuslb/runtime/wire/gateway.pb.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cmath>

namespace arbutuslb::runtime::wire {
namespace {

namespace gateway = core::gateway;

constexpr std::uint32_t max_outcome = static_cast<std::uint32_t>(gateway::run_outcome::unknown);
// Of an answer.
constexpr std::uint32_t first_status = 100;
constexpr std::uint32_t last_status = 599;
constexpr std::uint32_t max_phase = static_cast<std::uint32_t>(gateway::rollout_phase::completed);

template <typename Message>
Message parse(std::string_view bytes) {
  Message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    throw codec_error("message is not valid protobuf");
  }
  return message;
}

template <typename Message>
void headers_to_proto(const core::header_list& from, Message& to) {
  for (const auto& [name, value] : from) {
    HeaderField& field = *to.add_headers();
    field.set_name(name);
    field.set_value(value);
  }
}

template <typename Message>
core::header_list headers_from_proto(const Message& from) {
  core::header_list headers;
  for (const HeaderField& field : from.headers()) {
    headers.emplace_back(field.name(), field.value());
  }
  return headers;
}

void to_proto(const core::calls::suspicion& from, Suspicion& out) {
  out.set_fingerprint(from.fingerprint);
  out.set_generation(from.generation);
  out.set_chain(from.chain);
  out.set_last_death_ms(core::to_epoch_milliseconds(from.last_death));
  for (const std::uint64_t upstream : from.upstreams) {
    out.add_upstreams(upstream);
  }
}

core::calls::suspicion from_proto(const Suspicion& in) {
  // The year 10000; later times overflow the core's clock.
  constexpr std::int64_t max_epoch_ms = 253'402'300'800'000;
  constexpr std::uint32_t max_chain = 1'000'000;
  if (in.last_death_ms() < 0 || in.last_death_ms() > max_epoch_ms) {
    throw codec_error("time of a death out of range");
  }
  const auto count = static_cast<std::size_t>(in.upstreams_size());
  const bool is_sorted = std::is_sorted(in.upstreams().begin(), in.upstreams().end());
  if (in.chain() > max_chain || count > core::calls::suspicion::max_upstreams || !is_sorted) {
    throw codec_error("deaths out of range");
  }
  return {in.fingerprint(),
          in.generation(),
          in.chain(),
          core::time_point{std::chrono::milliseconds{in.last_death_ms()}},
          {in.upstreams().begin(), in.upstreams().end()}};
}

double checked_rate(double per_second) {
  if (!std::isfinite(per_second) || per_second < 0) {
    throw codec_error("rate limit out of range");
  }
  return per_second;
}

} // namespace

std::string encode(const gateway::run_request& value) {
  RunRequest out;
  out.set_attempt_id(value.content.attempt_id);
  out.set_host(value.content.host);
  out.set_method(value.content.message.method);
  out.set_target(value.content.message.target);
  headers_to_proto(value.content.message.headers, out);
  out.set_body(value.content.message.body);
  out.set_instance_id(value.instance_id);
  out.set_caller_service(value.caller_service);
  out.set_organisation(value.organisation);
  out.set_route(value.route);
  out.set_rank(static_cast<std::uint32_t>(value.rank));
  out.set_is_idempotent(value.is_idempotent);
  out.set_time_left(value.time_left.count());
  out.set_target_time_left(value.target_time_left.count());
  out.set_rollout_share_permille(value.rollout_share_permille);
  out.set_is_repeat(value.is_retry);
  if (value.stated_rate_limit) {
    out.set_stated_rate_limit(*value.stated_rate_limit);
  }
  if (value.suspicion.fingerprint != 0) {
    to_proto(value.suspicion, *out.mutable_suspicion());
  }
  return out.SerializeAsString();
}

gateway::run_request decode_run_request(std::string_view bytes) {
  const RunRequest in = parse<RunRequest>(bytes);
  gateway::run_request value;
  value.content.attempt_id = in.attempt_id();
  value.content.host = in.host();
  value.content.message.method = in.method();
  value.content.message.target = in.target();
  value.content.message.headers = headers_from_proto(in);
  value.content.message.body = in.body();
  value.instance_id = in.instance_id();
  value.caller_service = in.caller_service();
  value.organisation = in.organisation();
  value.route = in.route();
  value.rank = static_cast<int>(in.rank());
  value.is_idempotent = in.is_idempotent();
  value.time_left = core::duration{in.time_left()};
  value.content.time_left = value.time_left;
  value.target_time_left = core::duration{in.target_time_left()};
  value.rollout_share_permille = in.rollout_share_permille();
  value.is_retry = in.is_repeat();
  if (in.has_stated_rate_limit()) {
    value.stated_rate_limit = checked_rate(in.stated_rate_limit());
  }
  if (in.has_suspicion()) {
    value.suspicion = from_proto(in.suspicion());
  }
  return value;
}

std::string encode(const gateway::run_result& value) {
  RunResult out;
  out.set_outcome(static_cast<std::uint32_t>(value.outcome));
  out.set_status(static_cast<std::uint32_t>(value.answer.status));
  headers_to_proto(value.answer.headers, out);
  out.set_body(value.answer.body);
  out.set_reason(value.reason);
  out.set_reached_upstream(value.reached_upstream);
  out.set_retry_after(value.retry_after.count());
  out.set_in_flight(value.in_flight);
  out.set_waiting(static_cast<std::uint32_t>(value.waiting));
  if (value.notice) {
    UpstreamNotice& notice = *out.mutable_notice();
    if (value.notice->rate_limit) {
      notice.set_rate_limit(*value.notice->rate_limit);
    }
    notice.set_is_leaving(value.notice->is_leaving);
  }
  if (value.suspicion.fingerprint != 0) {
    to_proto(value.suspicion, *out.mutable_suspicion());
  }
  out.set_is_behind_suspect(value.is_behind_suspect);
  return out.SerializeAsString();
}

gateway::run_result decode_run_result(std::string_view bytes) {
  const RunResult in = parse<RunResult>(bytes);
  if (in.outcome() > max_outcome) {
    throw codec_error("execution outcome out of range");
  }
  gateway::run_result value;
  value.outcome = static_cast<gateway::run_outcome>(in.outcome());
  const bool is_answer = value.outcome == gateway::run_outcome::answered;
  if (is_answer && (in.status() < first_status || in.status() > last_status)) {
    throw codec_error("status out of range"); // also a message without content
  }
  value.answer.status = static_cast<int>(in.status());
  value.answer.headers = headers_from_proto(in);
  value.answer.body = in.body();
  value.reason = in.reason();
  value.reached_upstream = in.reached_upstream();
  value.retry_after = core::duration{in.retry_after()};
  value.in_flight = in.in_flight();
  value.waiting = static_cast<int>(in.waiting());
  if (in.has_notice()) {
    value.notice.emplace();
    value.notice->is_leaving = in.notice().is_leaving();
    if (in.notice().has_rate_limit()) {
      value.notice->rate_limit = checked_rate(in.notice().rate_limit());
    }
  }
  if (in.has_suspicion()) {
    value.suspicion = from_proto(in.suspicion());
  }
  value.is_behind_suspect = in.is_behind_suspect();
  return value;
}

namespace {

void to_proto(const gateway::aged_report& from, GatewayReport& out) {
  const gateway::peer_report& value = from.content;
  out.set_age(from.age.count());
  if (from.age > core::duration::zero()) {
    out.set_host(value.host);
  }
  out.set_strength(static_cast<std::uint32_t>(value.capacity_weight));
  out.set_has_store(value.is_store_reachable);
  out.set_name(value.name);
  out.set_domain(value.domain);
  out.set_boot(value.process_epoch);
  out.set_sequence(value.sequence);
  out.set_is_stopping(value.is_stopping);
  out.set_wants_reply(value.reply_requested);
  out.set_service(value.service);
  out.set_instance_id(value.instance_id);
  out.set_version(value.version);
  out.set_settled_version(value.settled_version);
  out.set_clock(value.clock.time_since_epoch().count());
  out.set_upstream_started_ms(value.upstream_started_ms);
  out.set_is_usable(value.is_usable);
  out.set_limit(static_cast<std::uint32_t>(value.limit));
  out.set_in_flight(static_cast<std::uint32_t>(value.in_flight));
  out.set_waiting(static_cast<std::uint32_t>(value.waiting));
  out.set_failed_permille(static_cast<std::uint32_t>(value.failed_permille));
  out.set_rate_limit(value.rate_limit);
  out.set_mean_latency(value.mean_latency.count());
  for (const gateway::route_latency& item : value.routes) {
    RouteLatency& converted = *out.add_routes();
    converted.set_route_hash(item.route_hash);
    converted.set_mean(static_cast<std::uint32_t>(item.mean.count()));
  }
  out.set_orders_end(value.operator_log_end.offset);
  out.set_orders_era(value.operator_log_end.era);
  for (const gateway::rollout_progress& item : value.rollouts) {
    RolloutProgress& converted = *out.add_rollouts();
    converted.set_id(item.id);
    converted.set_share_permille(static_cast<std::uint32_t>(item.share_permille));
    converted.set_phase(static_cast<std::uint32_t>(item.phase));
    if (item.recorded_era) {
      converted.set_recorded_era(*item.recorded_era);
    }
    converted.set_age(item.age.count());
  }
  for (const core::protocol::evidence_report& item : value.evidence) {
    wire::to_proto(item, *out.add_evidence());
  }
  for (const core::calls::suspicion& item : value.suspicions) {
    to_proto(item, *out.add_suspicions());
  }
}

gateway::peer_report report_from_proto(const GatewayReport& in, const std::string& host) {
  gateway::peer_report value;
  value.host = in.host().empty() ? host : in.host();
  in_addr address{};
  if (inet_pton(AF_INET, value.host.c_str(), &address) != 1) {
    throw codec_error("the host of a report is not an IPv4 address");
  }
  value.capacity_weight = static_cast<int>(in.strength());
  value.is_store_reachable = in.has_store();
  value.name = in.name();
  value.domain = in.domain();
  value.process_epoch = in.boot();
  value.sequence = in.sequence();
  value.is_stopping = in.is_stopping();
  value.reply_requested = in.wants_reply();
  value.service = in.service();
  value.instance_id = in.instance_id();
  value.version = in.version();
  value.settled_version = in.settled_version();
  value.clock = core::time_point{core::duration{std::max<std::int64_t>(0, in.clock())}};
  value.upstream_started_ms = in.upstream_started_ms();
  value.is_usable = in.is_usable();
  value.limit = static_cast<int>(in.limit());
  value.in_flight = static_cast<int>(in.in_flight());
  value.waiting = static_cast<int>(in.waiting());
  value.failed_permille = static_cast<int>(in.failed_permille());
  value.rate_limit = in.rate_limit();
  value.mean_latency = core::duration{in.mean_latency()};
  for (const RouteLatency& item : in.routes()) {
    value.routes.push_back({item.route_hash(), core::duration{item.mean()}});
  }
  value.operator_log_end = {in.orders_era(), in.orders_end()};
  for (const RolloutProgress& item : in.rollouts()) {
    if (item.phase() > max_phase) {
      throw codec_error("rollout phase out of range");
    }
    value.rollouts.push_back({item.id(), static_cast<int>(item.share_permille()),
                              static_cast<gateway::rollout_phase>(item.phase()), std::nullopt,
                              core::duration{std::max<std::int64_t>(0, item.age())}});
    if (item.has_recorded_era()) {
      value.rollouts.back().recorded_era = item.recorded_era();
    }
  }
  for (const EvidenceReport& item : in.evidence()) {
    value.evidence.push_back(from_proto(item));
  }
  for (const Suspicion& item : in.suspicions()) {
    value.suspicions.push_back(from_proto(item));
  }
  return value;
}

} // namespace

namespace {

void to_proto(const core::duties::usage_report& from, UsageReport& out) {
  out.set_boot(from.process_epoch);
  for (const core::duties::usage_report::counter& item : from.counters) {
    UsageCounter& converted = *out.add_counters();
    converted.set_window(item.window);
    converted.set_organisation(item.organisation);
    converted.set_count(item.count);
  }
  for (const core::duties::window_number window : from.complete) {
    out.add_complete(window);
  }
}

core::duties::usage_report usage_from_proto(const UsageReport& in, const std::string& host) {
  core::duties::usage_report value;
  value.host = host;
  value.process_epoch = in.boot();
  for (const UsageCounter& item : in.counters()) {
    value.counters.push_back({item.window(), item.organisation(), item.count()});
  }
  value.complete.assign(in.complete().begin(), in.complete().end());
  return value;
}

} // namespace

std::string encode(const gateway::report_bundle& bundle) {
  ReportBundle out;
  out.set_protocol(protocol_version);
  for (const gateway::aged_report& item : bundle.reports) {
    to_proto(item, *out.add_reports());
  }
  for (const gateway::peer_presence& item : bundle.presences) {
    Presence& converted = *out.add_presences();
    converted.set_host(item.host);
    converted.set_age(item.age.count());
  }
  for (const core::duties::usage_report& item : bundle.usage) {
    to_proto(item, *out.add_usage());
  }
  return out.SerializeAsString();
}

gateway::report_bundle decode_reports(std::string_view bytes, const std::string& host) {
  const ReportBundle in = parse<ReportBundle>(bytes);
  if (in.protocol() != protocol_version) {
    throw codec_error("unsupported protocol version");
  }
  gateway::report_bundle bundle;
  const auto age_of = [](const auto& item) {
    if (item.age() < 0) {
      throw codec_error("age out of range");
    }
    return core::duration{item.age()};
  };
  for (const GatewayReport& item : in.reports()) {
    bundle.reports.push_back({report_from_proto(item, host), age_of(item)});
  }
  for (const Presence& item : in.presences()) {
    bundle.presences.push_back({item.host(), age_of(item)});
  }
  for (const UsageReport& item : in.usage()) {
    bundle.usage.push_back(usage_from_proto(item, host));
  }
  return bundle;
}

std::string encode(const operator_records_reply& value) {
  OrdersReply out;
  out.set_end_offset(value.end.offset);
  out.set_era(value.end.era);
  for (const stored_record& item : value.operator_records) {
    StoredOrder& converted = *out.add_orders();
    converted.set_offset(item.position.offset);
    converted.set_era(item.position.era);
    converted.set_key(item.key);
    converted.set_value(item.value);
  }
  return out.SerializeAsString();
}

operator_records_reply decode_operator_records_reply(std::string_view bytes) {
  const OrdersReply in = parse<OrdersReply>(bytes);
  operator_records_reply value;
  value.end = {in.era(), in.end_offset()};
  for (const StoredOrder& item : in.orders()) {
    value.operator_records.push_back({{item.era(), item.offset()}, item.key(), item.value()});
  }
  return value;
}

std::string encode_operator_records_request(const gateway::log_position& from) {
  OrdersRequest out;
  out.set_from_offset(from.offset);
  out.set_era(from.era);
  return out.SerializeAsString();
}

gateway::log_position decode_operator_records_request(std::string_view bytes) {
  const OrdersRequest in = parse<OrdersRequest>(bytes);
  return {in.era(), in.from_offset()};
}

std::string encode_suspicions(const std::vector<core::calls::suspicion>& value) {
  SuspicionRecord out;
  for (const core::calls::suspicion& item : value) {
    to_proto(item, *out.add_suspicions());
  }
  return out.SerializeAsString();
}

std::vector<core::calls::suspicion> decode_suspicions(std::string_view bytes) {
  const SuspicionRecord in = parse<SuspicionRecord>(bytes);
  std::vector<core::calls::suspicion> value;
  for (const Suspicion& item : in.suspicions()) {
    value.push_back(from_proto(item));
  }
  return value;
}

std::string encode(const core::duties::usage_record& value) {
  UsageRecord out;
  out.set_window(value.window);
  for (const auto& [organisation, count] : value.counts) {
    (*out.mutable_counts())[organisation] = count;
  }
  out.set_author(value.author);
  out.set_author_epoch(value.author_epoch);
  out.set_fencing_token(value.fencing_token);
  out.set_era(value.era);
  return out.SerializeAsString();
}

core::duties::usage_record decode_usage_record(std::string_view bytes) {
  const UsageRecord in = parse<UsageRecord>(bytes);
  core::duties::usage_record value;
  value.window = in.window();
  value.counts.insert(in.counts().begin(), in.counts().end());
  value.author = in.author();
  value.author_epoch = in.author_epoch();
  value.fencing_token = in.fencing_token();
  value.era = in.era();
  return value;
}

std::string encode_departure(const gateway::upstream_incarnation& value) {
  Departure out;
  out.set_instance_id(value.instance_id);
  out.set_started_ms(value.started_ms);
  return out.SerializeAsString();
}

gateway::upstream_incarnation decode_departure(std::string_view bytes) {
  const Departure in = parse<Departure>(bytes);
  return {in.instance_id(), in.started_ms()};
}

} // namespace arbutuslb::runtime::wire
