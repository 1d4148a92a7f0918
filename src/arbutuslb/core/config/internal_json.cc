#include "arbutuslb/core/config/internal_json.h"

#include <limits>

namespace arbutuslb::core::config {

const char* to_string(request_class value) {
  switch (value) {
  case request_class::critical:
    return "critical";
  case request_class::normal:
    return "normal";
  case request_class::deferrable:
    return "deferrable";
  }
  return "unknown";
}

const char* to_string(move_state value) {
  switch (value) {
  case move_state::running:
    return "running";
  case move_state::done:
    return "done";
  case move_state::rolled_back:
    return "taken-back";
  case move_state::stopped:
    return "stopped";
  }
  return "unknown";
}

namespace internal {
namespace {

constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();
constexpr int max_slots = 100'000;

change_info read_change(object_reader& parent, finding_list& findings) {
  if (!parent.has("changed")) {
    return {};
  }
  const object_reader::element from = parent.optional_object("changed");
  object_reader reader(*from.value, from.place, findings);
  change_info change;
  change.version = static_cast<config_version>(reader.required_integer("version", 0, max_integer));
  change.command_id = reader.optional_string("command", "");
  change.operator_name = reader.optional_string("operator", "");
  reader.finish();
  return change;
}

template <typename Enum>
Enum read_choice(object_reader& reader, std::string_view key, const std::vector<Enum>& values) {
  std::vector<std::string> names;
  for (const Enum value : values) {
    names.emplace_back(to_string(value));
  }
  const std::string name = reader.required_choice(key, names);
  for (const Enum value : values) {
    if (name == to_string(value)) {
      return value;
    }
  }
  return values.front();
}

time_point read_time(object_reader& reader, std::string_view key) {
  return time_point{std::chrono::milliseconds{reader.required_integer(key, 0, max_integer)}};
}

} // namespace

json to_json(const change_info& value) {
  return {
      {"version", value.version}, {"command", value.command_id}, {"operator", value.operator_name}};
}

json to_json(const service& value) {
  return {{"name", value.name},
          {"versions", value.versions},
          {"active", value.active},
          {"slots", value.slots},
          {"connections", value.connections},
          {"retry_budget", value.retry_budget},
          {"changed", to_json(value.last_change)}};
}

json to_json(const route& value) {
  return {{"name", value.name},
          {"path_prefix", value.path_prefix},
          {"service", value.service},
          {"idempotent", value.idempotent},
          {"class", to_string(value.priority)},
          {"changed", to_json(value.last_change)}};
}

json to_json(const failure_domain& value) {
  return {{"name", value.name},
          {"region", value.region},
          {"withdrawn", value.withdrawn},
          {"changed", to_json(value.last_change)}};
}

json to_json(const move_limits& value) {
  return {{"max_error_increase", value.max_error_increase},
          {"max_latency_ratio", value.max_latency_ratio}};
}

json to_json(const move& value) {
  return {{"id", value.id},
          {"service", value.service},
          {"from", value.from},
          {"to", value.to},
          {"started_ms", to_epoch_milliseconds(value.started)},
          {"by_ms", to_epoch_milliseconds(value.deadline)},
          {"limits", to_json(value.limits)},
          {"state", to_string(value.state)},
          {"share_permille", value.share_permille},
          {"reason", value.reason},
          {"changed", to_json(value.last_change)}};
}

service read_service(const object_reader::element& from, finding_list& findings) {
  object_reader reader(*from.value, from.place, findings);
  service value;
  value.name = reader.required_name("name");
  value.versions = reader.optional_strings("versions");
  value.active = reader.optional_string("active", value.versions.empty() ? "" : value.versions[0]);
  value.slots = static_cast<int>(reader.optional_integer("slots", value.slots, 1, max_slots));
  value.connections =
      static_cast<int>(reader.optional_integer("connections", value.connections, 1, max_slots));
  value.retry_budget = reader.optional_number("retry_budget", value.retry_budget, 0.0, 1.0);
  value.last_change = read_change(reader, findings);
  reader.finish();
  if (value.versions.empty()) {
    findings.add(reader.place_of("versions"), "expected at least one version");
  }
  return value;
}

route read_route(const object_reader::element& from, finding_list& findings) {
  object_reader reader(*from.value, from.place, findings);
  route value;
  value.name = reader.required_name("name");
  value.path_prefix = reader.required_string("path_prefix");
  value.service = reader.required_name("service");
  value.idempotent = reader.optional_boolean("idempotent", value.idempotent);
  if (reader.has("class")) {
    value.priority = read_choice<request_class>(
        reader, "class",
        {request_class::normal, request_class::critical, request_class::deferrable});
  }
  value.last_change = read_change(reader, findings);
  reader.finish();
  if (!value.path_prefix.empty() && value.path_prefix.front() != '/') {
    findings.add(reader.place_of("path_prefix"), "expected a path that begins with /");
  }
  return value;
}

failure_domain read_domain(const object_reader::element& from, finding_list& findings) {
  object_reader reader(*from.value, from.place, findings);
  failure_domain value;
  value.name = reader.required_name("name");
  value.region = reader.optional_string("region", "");
  value.withdrawn = reader.optional_boolean("withdrawn", false);
  value.last_change = read_change(reader, findings);
  reader.finish();
  return value;
}

move_limits read_limits(const object_reader::element& from, finding_list& findings) {
  object_reader reader(*from.value, from.place, findings);
  move_limits value;
  value.max_error_increase =
      reader.optional_number("max_error_increase", value.max_error_increase, 0.0, 1.0);
  value.max_latency_ratio =
      reader.optional_number("max_latency_ratio", value.max_latency_ratio, 1.0, 100.0);
  reader.finish();
  return value;
}

move read_move(const object_reader::element& from, finding_list& findings) {
  object_reader reader(*from.value, from.place, findings);
  move value;
  value.id = static_cast<config_version>(reader.required_integer("id", 0, max_integer));
  value.service = reader.required_name("service");
  value.from = reader.required_string("from");
  value.to = reader.required_string("to");
  value.started = read_time(reader, "started_ms");
  value.deadline = read_time(reader, "by_ms");
  value.limits = read_limits(reader.optional_object("limits"), findings);
  value.state = read_choice<move_state>(
      reader, "state",
      {move_state::running, move_state::done, move_state::rolled_back, move_state::stopped});
  value.share_permille = static_cast<int>(reader.required_integer("share_permille", 0, 1000));
  value.reason = reader.optional_string("reason", "");
  value.last_change = read_change(reader, findings);
  reader.finish();
  return value;
}

} // namespace internal
} // namespace arbutuslb::core::config
