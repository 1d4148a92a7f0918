#include "arbutuslb/platform/heartbeats.h"

#include "arbutuslb/core/base/object_reader.h"

namespace arbutuslb::platform {
namespace {

using core::finding_list;
using core::json;
using core::object_reader;
namespace gateway = core::gateway;

constexpr std::string_view instances_path = "/instances/";
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr std::int64_t max_slots = 100'000;
constexpr std::int64_t max_number = std::int64_t{1} << 62;

// Decodes a heartbeat. Throws `findings_error` if a field is missing, of another type or out of
// range: such a heartbeat is of another writer and says nothing of the upstream.
gateway::heartbeat decode_heartbeat(std::string instance_id, const std::string& body) {
  finding_list findings;
  const json parsed = core::parse_json_with_comments(body);
  object_reader reader(parsed, "", findings);
  gateway::heartbeat value;
  value.instance_id = std::move(instance_id);
  value.address = reader.required_string("address");
  // Start of the upstream's process, in milliseconds since the Unix epoch.
  value.started_ms = reader.required_integer("born", 0, max_number);
  const object_reader::element information_element = reader.optional_object("information");
  object_reader information(*information_element.value, information_element.place, findings);
  value.service = information.required_string("service");
  value.version = information.required_string("version");
  value.domain = information.required_string("zone");
  value.slots = static_cast<int>(information.required_integer("capacitySlots", 1, max_slots));
  const object_reader::element status_element = reader.optional_object("status");
  object_reader status(*status_element.value, status_element.place, findings);
  value.sequence = static_cast<std::uint64_t>(status.required_integer("sequence", 0, max_number));
  value.state = status.required_choice("state", {"ready", "draining"}) == "ready"
                    ? gateway::upstream_lifecycle::ready
                    : gateway::upstream_lifecycle::draining;
  value.cold_for = status.required_duration("coldRemaining");
  findings.throw_if_any();
  return value;
}

} // namespace

std::variant<gateway::heartbeat, deregistration, rejected_call>
decode_upstream_call(const core::http_request& request) {
  if (!request.target.starts_with(instances_path)) {
    return rejected_call{status_not_found, "unknown path " + request.target};
  }
  const std::string instance_id = request.target.substr(instances_path.size());
  if (instance_id.empty()) {
    return rejected_call{status_bad_request, "the instance id is missing"};
  }
  if (request.method == "DELETE") {
    return deregistration{instance_id};
  }
  if (request.method != "PUT") {
    return rejected_call{status_not_found, "unknown method " + request.method};
  }
  try {
    return decode_heartbeat(instance_id, request.body);
  } catch (const core::findings_error& error) {
    return rejected_call{status_bad_request, error.what()};
  }
}

} // namespace arbutuslb::platform
