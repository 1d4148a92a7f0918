#include "arbutuslb/platform/orders.h"

#include "arbutuslb/core/base/object_reader.h"

#include <algorithm>
#include <charconv>

namespace arbutuslb::platform {
namespace {

using core::finding_list;
using core::findings_error;
using core::json;
using core::object_reader;
namespace gateway = core::gateway;

constexpr std::string_view configuration_key = "config";
constexpr std::string_view rollout_prefix = "rollout/";
constexpr std::string_view withdrawal_prefix = "evacuate/";
constexpr std::int64_t max_attempts = 100;
constexpr std::int64_t max_rank = 1000;
constexpr std::int64_t max_connections = 1'000'000;
constexpr std::int64_t max_bytes = std::int64_t{1} << 40;
constexpr double max_weight = 1e9;
constexpr double max_rate = 1e9;

std::uint64_t read_version(object_reader& reader, finding_list& findings) {
  const std::string text = reader.required_string("version");
  std::uint64_t number = 0;
  const std::from_chars_result parsed =
      text.empty() ? std::from_chars_result{nullptr, std::errc::invalid_argument}
                   : std::from_chars(text.data() + 1, text.data() + text.size(), number);
  if (!text.empty() && (text.front() != 'r' || parsed.ec != std::errc{} ||
                        parsed.ptr != text.data() + text.size())) {
    findings.add("version", "expected a version such as r12");
  }
  return number;
}

std::vector<gateway::weighted_service> read_split(object_reader& reader, const json& value,
                                                  finding_list& findings) {
  std::vector<gateway::weighted_service> split;
  if (!value.contains("trafficSplit")) {
    split.push_back({reader.required_string("service"), 1.0});
    return split;
  }
  for (const object_reader::element& item : reader.optional_objects("trafficSplit")) {
    object_reader part(*item.value, item.place, findings);
    gateway::weighted_service target;
    target.service = part.required_string("service");
    target.weight = part.optional_number("weight", 0.0, 0.0, max_weight);
    if (!part.has("weight")) {
      findings.add(part.place_of("weight"), "is missing");
    }
    split.push_back(std::move(target));
  }
  if (split.empty()) {
    findings.add(reader.place_of("trafficSplit"), "expected at least one service");
  }
  return split;
}

gateway::route_policy read_route(const std::string& name, const json& value,
                                 finding_list& findings) {
  object_reader reader(value, "routes." + name, findings);
  gateway::route_policy route;
  route.name = name;
  route.host = reader.required_string("host");
  route.path_prefix = reader.required_string("pathPrefix");
  if (!route.path_prefix.empty() &&
      (route.path_prefix.front() != '/' || route.path_prefix.back() != '/')) {
    findings.add(reader.place_of("pathPrefix"),
                 "expected a path that begins and ends with a slash");
  }
  route.is_idempotent = reader.required_choice("kind", {"unsafe", "safe", "keyed"}) == "safe";
  route.timeout = reader.required_duration("timeout");
  route.target_latency = reader.required_duration("targetLatency");
  route.rank = static_cast<int>(reader.optional_integer("priority", 0, 0, max_rank));
  route.max_upstreams = static_cast<int>(reader.optional_integer("attempts", 1, 1, max_attempts));
  route.is_public = reader.optional_boolean("public", false);
  route.split = read_split(reader, value, findings);
  return route;
}

gateway::service_policy read_service(const std::string& name, const json& value,
                                     finding_list& findings) {
  object_reader reader(value, "services." + name, findings);
  gateway::service_policy service;
  service.name = name;
  service.health_path = reader.optional_string("healthCheckPath", "/health");
  service.max_connections =
      static_cast<int>(reader.optional_integer("maxConnections", 0, 0, max_connections));
  service.cold_time = reader.optional_duration("coldStart", core::duration::zero());
  service.cold_rate = reader.optional_number("coldPerS", 0.0, 0.0, max_rate);
  return service;
}

gateway::organisation_table read_organisations(const json& source, finding_list& findings) {
  gateway::organisation_table table;
  const std::string place = "tenants";
  if (!source.is_object()) {
    findings.add(place, "expected an object");
    return table;
  }
  for (const auto& [name, value] : source.items()) {
    object_reader reader(value, place + "." + name, findings);
    gateway::organisation_policy organisation;
    organisation.name = name;
    if (reader.has("priority")) {
      organisation.rank = static_cast<int>(reader.required_integer("priority", 0, max_rank));
    }
    const std::vector<std::string> keys = reader.optional_strings("apiKeys");
    // An empty key would let callers in that present none.
    const bool has_empty_key = std::find(keys.begin(), keys.end(), "") != keys.end();
    if (has_empty_key || !table.add(std::move(organisation), keys)) {
      findings.add(reader.place_of("apiKeys"), "a key is empty or another organisation holds it");
    }
  }
  return table;
}

gateway::caller_limits read_limits(object_reader& parent, finding_list& findings) {
  const object_reader::element source = parent.optional_object("limits");
  object_reader reader(*source.value, source.place, findings);
  gateway::caller_limits limits;
  limits.max_header_bytes = static_cast<std::size_t>(reader.optional_integer(
      "maxHeaderBytes", static_cast<std::int64_t>(limits.max_header_bytes), 1, max_bytes));
  limits.max_body_bytes = static_cast<std::size_t>(reader.optional_integer(
      "maxBodyBytes", static_cast<std::int64_t>(limits.max_body_bytes), 0, max_bytes));
  limits.header_timeout = reader.optional_duration("headerTimeout", limits.header_timeout);
  limits.idle_timeout = reader.optional_duration("idleTimeout", limits.idle_timeout);
  return limits;
}

void check_service_references(const gateway::mesh_configuration& configuration,
                              finding_list& findings) {
  for (const auto& [host, routes] : configuration.routes) {
    for (const auto& [prefix, route] : routes) {
      for (const gateway::weighted_service& part : route.split) {
        if (configuration.find_service(part.service) == nullptr) {
          findings.add("routes." + route.name, "unknown service \"" + part.service + "\"");
        }
      }
    }
  }
}

gateway::record_value decode_value(const std::string& key, const std::string& value) {
  if (value.empty()) {
    return gateway::record_removed{};
  }
  if (key == configuration_key) {
    return std::make_shared<const gateway::mesh_configuration>(decode_configuration(value));
  }
  if (key.starts_with(withdrawal_prefix)) {
    return gateway::domain_withdrawal{key.substr(withdrawal_prefix.size())};
  }
  if (!key.starts_with(rollout_prefix)) {
    throw findings_error({{key, "unknown kind of operator record"}});
  }
  finding_list findings;
  const json parsed = core::parse_json_with_comments(value);
  object_reader reader(parsed, "", findings);
  gateway::rollout_spec rollout;
  rollout.service = reader.required_string("service");
  rollout.target_version = reader.required_string("targetVersion");
  rollout.time_allowed = reader.required_duration("duration");
  findings.throw_if_any();
  return rollout;
}

const char* state_name(gateway::rollout_phase phase) {
  switch (phase) {
  case gateway::rollout_phase::running:
    return "running";
  case gateway::rollout_phase::rolled_back:
    return "rolled_back";
  case gateway::rollout_phase::completed:
    return "completed";
  }
  return "running";
}

} // namespace

gateway::mesh_configuration decode_configuration(std::string_view text) {
  finding_list findings;
  const json parsed = core::parse_json_with_comments(text);
  object_reader reader(parsed, "", findings);
  gateway::mesh_configuration configuration;
  configuration.version = read_version(reader, findings);
  const object_reader::element services = reader.optional_object("services");
  for (const auto& [name, value] : services.value->items()) {
    configuration.services.emplace(name, read_service(name, value, findings));
  }
  const object_reader::element routes = reader.optional_object("routes");
  for (const auto& [name, value] : routes.value->items()) {
    gateway::route_policy route = read_route(name, value, findings);
    std::string host = route.host;
    std::string prefix = route.path_prefix;
    configuration.routes[std::move(host)].emplace(std::move(prefix), std::move(route));
  }
  configuration.limits = read_limits(reader, findings);
  // Also if it is null: a configuration that names organisations must not be open to all.
  if (parsed.contains("tenants")) {
    configuration.organisations = read_organisations(parsed.at("tenants"), findings);
  }
  check_service_references(configuration, findings);
  findings.throw_if_any();
  return configuration;
}

gateway::operator_record decode_operator_record(const gateway::log_position& position,
                                                std::string key, const std::string& value) {
  gateway::operator_record record;
  record.position = position;
  try {
    record.value = decode_value(key, value);
  } catch (const findings_error& error) {
    record.value = gateway::unreadable_record{error.what()};
  }
  record.key = std::move(key);
  return record;
}

std::string outcome_key(const std::string& service) {
  return std::string(rollout_prefix) + service;
}

std::string encode_outcome(const gateway::record_outcome& outcome) {
  return json{{"service", outcome.service},
              {"targetVersion", outcome.target_version},
              {"state", state_name(outcome.phase)}}
      .dump();
}

std::optional<gateway::outcomes_read::outcome> decode_outcome(const std::string& key,
                                                              const std::string& value) {
  if (!key.starts_with(rollout_prefix)) {
    return std::nullopt;
  }
  finding_list findings;
  json parsed;
  try {
    parsed = core::parse_json_with_comments(value);
  } catch (const findings_error&) {
    return std::nullopt; // of another writer; only a readable one counts
  }
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  object_reader reader(parsed, "", findings);
  gateway::outcomes_read::outcome outcome;
  outcome.service = key.substr(rollout_prefix.size());
  outcome.target_version = reader.required_string("targetVersion");
  const std::string state = reader.required_string("state");
  if (!findings.empty()) {
    return std::nullopt;
  }
  if (state == "completed") {
    outcome.phase = gateway::rollout_phase::completed;
  } else if (state == "rolled_back") {
    outcome.phase = gateway::rollout_phase::rolled_back;
  }
  return outcome;
}

} // namespace arbutuslb::platform
