#include "arbutuslb/core/config/records.h"

#include "arbutuslb/core/config/internal_json.h"

#include <limits>

namespace arbutuslb::core::config {
namespace {

using internal::read_all;
using internal::to_json;

constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();

template <typename Value>
json array_of(const std::vector<Value>& values) {
  json array = json::array();
  for (const Value& value : values) {
    array.push_back(to_json(value));
  }
  return array;
}

struct body_writer {
  json& out;

  void operator()(const publish_command& value) const {
    out["kind"] = "publish";
    out["document"] = {{"domains", array_of(value.domains)},
                       {"services", array_of(value.services)},
                       {"routes", array_of(value.routes)},
                       {"remove_services", value.removed_services},
                       {"remove_routes", value.removed_routes}};
  }
  void operator()(const move_command& value) const {
    out["kind"] = "move";
    out["service"] = value.service;
    out["from"] = value.from;
    out["to"] = value.to;
    out["by_ms"] = to_epoch_milliseconds(value.deadline);
    out["limits"] = to_json(value.limits);
  }
  void operator()(const stop_move_command& value) const {
    out["kind"] = "stop-move";
    out["service"] = value.service;
  }
  void operator()(const move_step_command& value) const {
    out["kind"] = "move-step";
    out["move"] = value.move_id;
    out["share_permille"] = value.share_permille;
  }
  void operator()(const move_verdict_command& value) const {
    out["kind"] = "move-verdict";
    out["move"] = value.move_id;
    out["done"] = value.done;
    out["reason"] = value.reason;
  }
  void operator()(const withdraw_command& value) const {
    out["kind"] = "withdraw";
    out["domain"] = value.domain;
  }
  void operator()(const return_command& value) const {
    out["kind"] = "return";
    out["domain"] = value.domain;
  }
};

publish_command read_publish(const object_reader::element& from, finding_list& findings) {
  object_reader reader(*from.value, from.place, findings);
  publish_command value;
  value.domains = read_all(reader, "domains", findings, internal::read_domain);
  value.services = read_all(reader, "services", findings, internal::read_service);
  value.routes = read_all(reader, "routes", findings, internal::read_route);
  value.removed_services = reader.optional_strings("remove_services");
  value.removed_routes = reader.optional_strings("remove_routes");
  reader.finish();
  return value;
}

config_version read_move_id(object_reader& reader) {
  return static_cast<config_version>(reader.required_integer("move", 0, max_integer));
}

move_command read_move_command(object_reader& reader, finding_list& findings) {
  move_command value;
  value.service = reader.required_name("service");
  value.from = reader.required_string("from");
  value.to = reader.required_string("to");
  value.deadline = time_point{
      std::chrono::milliseconds{reader.required_integer("by_ms", 0, max_integer / 1000)}};
  value.limits = internal::read_limits(reader.optional_object("limits"), findings);
  return value;
}

move_verdict_command read_verdict(object_reader& reader) {
  move_verdict_command value;
  value.move_id = read_move_id(reader);
  value.done = reader.optional_boolean("done", false);
  value.reason = reader.optional_string("reason", "");
  return value;
}

move_step_command read_step(object_reader& reader) {
  move_step_command value;
  value.move_id = read_move_id(reader);
  value.share_permille = static_cast<int>(reader.required_integer("share_permille", 0, 1000));
  return value;
}

command read_body(object_reader& reader, finding_list& findings) {
  const std::string kind = reader.required_choice(
      "kind", {"publish", "move", "stop-move", "move-step", "move-verdict", "withdraw", "return"});
  if (kind == "move") {
    return read_move_command(reader, findings);
  }
  if (kind == "stop-move") {
    return stop_move_command{reader.required_name("service")};
  }
  if (kind == "move-step") {
    return read_step(reader);
  }
  if (kind == "move-verdict") {
    return read_verdict(reader);
  }
  if (kind == "withdraw") {
    return withdraw_command{reader.required_name("domain")};
  }
  if (kind == "return") {
    return return_command{reader.required_name("domain")};
  }
  return read_publish(reader.optional_object("document"), findings);
}

struct key_collector {
  std::vector<std::string> keys;

  void operator()(const publish_command& value) {
    for (const failure_domain& item : value.domains) {
      keys.push_back(domain_key(item.name));
    }
    for (const service& item : value.services) {
      keys.push_back(service_key(item.name));
    }
    for (const route& item : value.routes) {
      keys.push_back(route_key(item.name));
    }
    for (const std::string& name : value.removed_services) {
      keys.push_back(service_key(name));
    }
    for (const std::string& name : value.removed_routes) {
      keys.push_back(route_key(name));
    }
  }
  void operator()(const move_command& value) {
    keys = {service_key(value.service), move_key(value.service)};
  }
  void operator()(const stop_move_command& value) { keys = {move_key(value.service)}; }
  void operator()(const move_step_command&) {}
  void operator()(const move_verdict_command&) {}
  void operator()(const withdraw_command& value) { keys = {domain_key(value.domain)}; }
  void operator()(const return_command& value) { keys = {domain_key(value.domain)}; }
};

} // namespace

record parse_record(std::string_view bytes) {
  finding_list findings;
  if (bytes.size() > max_record_bytes) {
    findings.add("", "record of " + std::to_string(bytes.size()) + " bytes is over the limit of " +
                         std::to_string(max_record_bytes));
    findings.throw_if_any();
  }
  const json document = parse_json_with_comments(bytes);
  object_reader reader(document, "", findings);
  record value;
  value.command_id = reader.required_string("command");
  value.operator_name = reader.optional_string("operator", "");
  value.issued_at = time_point{
      std::chrono::milliseconds{reader.required_integer("issued_ms", 0, max_integer / 1000)}};
  for (const auto& [key, version] : reader.optional_object("against").value->items()) {
    if (version.is_number_unsigned()) {
      value.expected_versions[key] = version.get<config_version>();
    } else {
      findings.add("against." + key, "expected a version");
    }
  }
  value.body = read_body(reader, findings);
  reader.finish();
  findings.throw_if_any();
  return value;
}

std::string serialize(const record& value) {
  json out = {{"command", value.command_id},
              {"operator", value.operator_name},
              {"issued_ms", to_epoch_milliseconds(value.issued_at)},
              {"against", value.expected_versions}};
  std::visit(body_writer{out}, value.body);
  return out.dump();
}

publish_command parse_publish_document(std::string_view text) {
  const json document = parse_json_with_comments(text);
  finding_list findings;
  publish_command value = read_publish({&document, ""}, findings);
  findings.throw_if_any();
  return value;
}

std::vector<std::string> affected_object_keys(const command& value) {
  key_collector collector;
  std::visit(collector, value);
  return collector.keys;
}

std::string service_key(std::string_view name) {
  return "service/" + std::string(name);
}
std::string route_key(std::string_view name) {
  return "route/" + std::string(name);
}
std::string domain_key(std::string_view name) {
  return "domain/" + std::string(name);
}
std::string move_key(std::string_view service) {
  return "move/" + std::string(service);
}

} // namespace arbutuslb::core::config
