#include "arbutuslb/runtime/gateway_settings.h"

#include "arbutuslb/core/base/object_reader.h"
#include "arbutuslb/runtime/http/client.h"

#include <algorithm>

namespace arbutuslb::runtime {
namespace {

using core::finding_list;
using core::object_reader;

constexpr int max_port = 65535;
constexpr double max_retry_ratio = 10.0;
constexpr double max_retry_extra = 1e6;
constexpr double max_exposure_extra = 1e6;
constexpr double max_cold_load_factor = 10.0;
constexpr double max_cold_load_extra = 1000.0;
// Resources of the smallest known instances; the capacity weight is a multiple of them.
constexpr double reference_cores = 0.1;
constexpr double reference_link_mbps = 10.0;
constexpr double max_cores = 1e4;
constexpr std::int64_t min_memory_mb = 16;
constexpr std::int64_t max_memory_mb = 1'000'000;
constexpr std::size_t megabyte = std::size_t{1024} * 1024;
constexpr double max_link_mbps = 1e9;
constexpr std::chrono::seconds min_usage_time{1};
constexpr double min_hedged_quantile = 0.5;

asio::ip::tcp::endpoint read_address(object_reader& reader, std::string_view key,
                                     finding_list& findings) {
  const std::string text = reader.required_string(key);
  if (text.empty()) {
    return {};
  }
  try {
    return http::parse_endpoint(text);
  } catch (const std::invalid_argument&) {
    findings.add(reader.place_of(key), "expected an address such as 10.0.0.7:8300");
    return {};
  }
}

void read_listen(object_reader& parent, gateway_host_settings& settings, finding_list& findings) {
  const object_reader::element source = parent.optional_object("listen");
  object_reader reader(*source.value, source.place, findings);
  settings.callers = read_address(reader, "callers", findings);
  settings.peers = read_address(reader, "peers", findings);
  settings.peer_port = static_cast<std::uint16_t>(
      reader.optional_integer("peers_reached_at", settings.peers.port(), 1, max_port));
  settings.upstreams = read_address(reader, "upstreams", findings);
  settings.readiness = read_address(reader, "readiness", findings);
  settings.metrics = read_address(reader, "metrics", findings);
  settings.report_port =
      static_cast<std::uint16_t>(reader.required_integer("report_port", 1, max_port));
  reader.finish();
}

void read_usage(object_reader& parent, gateway_host_settings& settings, finding_list& findings) {
  const object_reader::element source = parent.optional_object("usage");
  object_reader reader(*source.value, source.place, findings);
  core::duties::usage_settings& usage = settings.core.usage;
  usage.is_enabled = reader.has("collector");
  if (usage.is_enabled) {
    settings.usage_collector = read_address(reader, "collector", findings);
  }
  usage.window = reader.optional_duration("window", usage.window);
  usage.due = reader.optional_duration("due", usage.due);
  usage.lease = reader.optional_duration("lease", usage.lease);
  for (const auto& [key, value] : {std::pair("window", usage.window), std::pair("due", usage.due),
                                   std::pair("lease", usage.lease)}) {
    if (value < min_usage_time) {
      findings.add(reader.place_of(key), "expected a second at least");
    }
  }
  reader.finish();
}

} // namespace

gateway_host_settings parse_gateway_settings(std::string_view text) {
  const core::json document = core::parse_json_with_comments(text);
  finding_list findings;
  object_reader reader(document, "", findings);
  gateway_host_settings settings;
  settings.core.name = reader.required_string("instance");
  settings.core.domain = reader.required_string("failure_domain");
  read_listen(reader, settings, findings);
  const object_reader::element upstream = reader.optional_object("upstream");
  object_reader upstream_reader(*upstream.value, upstream.place, findings);
  settings.upstream = read_address(upstream_reader, "address", findings);
  settings.core.upstream_address = upstream_reader.optional_string("address", "");
  settings.core.service = upstream_reader.required_string("service");
  settings.core.cold_load_factor = upstream_reader.optional_number(
      "cold_load_factor", settings.core.cold_load_factor, 1.0, max_cold_load_factor);
  settings.core.cold_load_extra = upstream_reader.optional_number(
      "cold_load_extra", settings.core.cold_load_extra, 0.0, max_cold_load_extra);
  upstream_reader.finish();
  settings.store = read_address(reader, "store", findings);
  const object_reader::element retries = reader.optional_object("retries");
  object_reader retry_reader(*retries.value, retries.place, findings);
  settings.core.retry_ratio =
      retry_reader.optional_number("ratio", settings.core.retry_ratio, 0.0, max_retry_ratio);
  settings.core.retry_extra =
      retry_reader.optional_number("extra", settings.core.retry_extra, 0.0, max_retry_extra);
  retry_reader.finish();
  const object_reader::element rollouts = reader.optional_object("rollouts");
  object_reader rollout_reader(*rollouts.value, rollouts.place, findings);
  settings.core.exposure_share =
      rollout_reader.optional_number("exposure_share", settings.core.exposure_share, 0.0, 1.0);
  settings.core.exposure_extra = rollout_reader.optional_number(
      "exposure_extra", settings.core.exposure_extra, 0.0, max_exposure_extra);
  rollout_reader.finish();
  const object_reader::element limits = reader.optional_object("instance_limits");
  object_reader limits_reader(*limits.value, limits.place, findings);
  const double cores = limits_reader.optional_number("cores", reference_cores, 0.0, max_cores);
  const double link_mbps =
      limits_reader.optional_number("link_mbps", reference_link_mbps, 0.0, max_link_mbps);
  settings.memory_bytes =
      megabyte * static_cast<std::size_t>(limits_reader.optional_integer(
                     "memory_mb", static_cast<std::int64_t>(settings.memory_bytes / megabyte),
                     min_memory_mb, max_memory_mb));
  limits_reader.finish();
  settings.core.capacity_weight =
      static_cast<int>(std::min(cores / reference_cores, link_mbps / reference_link_mbps));
  const object_reader::element hedging = reader.optional_object("hedging");
  object_reader hedging_reader(*hedging.value, hedging.place, findings);
  settings.core.hedging.extra_share =
      hedging_reader.optional_number("extra_share", settings.core.hedging.extra_share, 0.0, 1.0);
  settings.core.hedging.quantile = hedging_reader.optional_number(
      "quantile", settings.core.hedging.quantile, min_hedged_quantile, 1.0);
  hedging_reader.finish();
  read_usage(reader, settings, findings);
  settings.core.grace_period = reader.optional_duration("grace_period", settings.core.grace_period);
  reader.finish();
  settings.core.host = settings.peers.address().to_string();
  findings.throw_if_any();
  return settings;
}

} // namespace arbutuslb::runtime
