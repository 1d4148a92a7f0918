// JSON conversion of the configuration's objects, shared by records and snapshots.
#pragma once

#include "arbutuslb/core/base/object_reader.h"
#include "arbutuslb/core/config/model.h"

namespace arbutuslb::core::config::internal {

json to_json(const change_info& value);
json to_json(const service& value);
json to_json(const route& value);
json to_json(const failure_domain& value);
json to_json(const move_limits& value);
json to_json(const move& value);

service read_service(const object_reader::element& from, finding_list& findings);
route read_route(const object_reader::element& from, finding_list& findings);
failure_domain read_domain(const object_reader::element& from, finding_list& findings);
move_limits read_limits(const object_reader::element& from, finding_list& findings);
move read_move(const object_reader::element& from, finding_list& findings);

// Reads each element of the array `key` with `read_element`. Returns an empty vector if there is no
// array.
template <typename Value>
std::vector<Value> read_all(object_reader& reader, std::string_view key, finding_list& findings,
                            Value (*read_element)(const object_reader::element&, finding_list&)) {
  std::vector<Value> values;
  for (const object_reader::element& item : reader.optional_objects(key)) {
    values.push_back(read_element(item, findings));
  }
  return values;
}

} // namespace arbutuslb::core::config::internal
