// Reads a JSON object member by member and collects findings with their place.
//
// A member that is null counts as missing: templates of settings write null where they have no
// value. Unknown keys become findings that suggest the nearest known key. Values of the wrong type
// or out of range become findings, and the reader returns the fallback, so that one pass reports
// all faults.
//
//   object_reader reader(json, "services[0]", findings);
//   std::string name = reader.required_name("name");
//   int slots = reader.optional_integer("slots", 10, 1, 10'000);
//   reader.finish();
#pragma once

#include "arbutuslb/core/base/finding.h"
#include "arbutuslb/core/base/time.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuslb::core {

using json = nlohmann::json;

class object_reader {
public:
  // `value` and `findings` must outlive the reader.
  object_reader(const json& value, std::string place, finding_list& findings);

  // Returns true if the object has the member `key`.
  bool has(std::string_view key);
  // Reads a string that must not be empty. Returns an empty string if it is missing or invalid.
  std::string required_string(std::string_view key);
  std::string optional_string(std::string_view key, std::string fallback);
  // Reads a name: 1 to 64 characters out of a-z, 0-9, '-', '_' and '.'.
  std::string required_name(std::string_view key);
  std::int64_t required_integer(std::string_view key, std::int64_t low, std::int64_t high);
  std::int64_t optional_integer(std::string_view key, std::int64_t fallback, std::int64_t low,
                                std::int64_t high);
  double optional_number(std::string_view key, double fallback, double low, double high);
  bool optional_boolean(std::string_view key, bool fallback);
  // Reads a whole number of milliseconds.
  duration optional_milliseconds(std::string_view key, duration fallback, duration low,
                                 duration high);
  // Reads a number with its unit, such as "250ms" or "1.5s".
  duration required_duration(std::string_view key);
  duration optional_duration(std::string_view key, duration fallback);
  // Reads one of `choices`. Returns the first choice if the value is none of them.
  std::string required_choice(std::string_view key, const std::vector<std::string>& choices);
  std::vector<std::string> optional_strings(std::string_view key);
  // A member or an array element with its place.
  struct element {
    const json* value;
    std::string place;
  };
  // Returns the elements of the array of objects `key`; empty if there is no such member.
  std::vector<element> optional_objects(std::string_view key);
  // Returns the object `key`, or an empty object if there is no such member.
  element optional_object(std::string_view key);

  // Adds a finding for each key that was never read. Call it last.
  void finish();

  // Returns the place of the member `key`.
  std::string place_of(std::string_view key) const;

private:
  const json* find(std::string_view key);
  const json* find_required(std::string_view key);
  void add_finding(std::string_view key, std::string text);

  const json& value_;
  std::string place_;
  finding_list& findings_;
  std::vector<std::string> requested_keys_;
};

// Returns the element of `known` with the smallest edit distance to `word`, or an empty string if
// none is near. O(known * length^2).
std::string nearest_word(std::string_view word, const std::vector<std::string>& known);

// Parses a duration such as "250ms" or "1.5s". Returns nullopt if it is malformed or negative.
std::optional<duration> parse_duration(std::string_view text);

// Parses JSON with comments. Throws `findings_error` with line and column if it is malformed.
json parse_json_with_comments(std::string_view text);

} // namespace arbutuslb::core
