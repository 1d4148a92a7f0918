// Reads a JSON object member by member and collects findings with their place.
//
// Unknown keys become findings that name the nearest known key. Values of the wrong type or out
// of range become findings, and the reader goes on with the fallback, so that one pass reports
// everything.
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

  bool has(std::string_view key);
  std::string required_string(std::string_view key);
  std::string optional_string(std::string_view key, std::string fallback);
  // A name is 1 to 64 characters out of a-z, 0-9, '-', '_' and '.'.
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
  // Returns one of `choices`; the first of them if the value is none of them.
  std::string required_choice(std::string_view key, const std::vector<std::string>& choices);
  std::vector<std::string> optional_strings(std::string_view key);
  // Returns the elements of an array of objects; each comes with its place.
  struct element {
    const json* value;
    std::string place;
  };
  std::vector<element> optional_objects(std::string_view key);
  // Returns the object below `key`, or an empty object.
  element optional_object(std::string_view key);

  // Reports the keys that were never asked for. Call it last.
  void finish();

  std::string place_of(std::string_view key) const;

private:
  const json* find(std::string_view key);
  const json* require(std::string_view key);
  void note(std::string_view key, std::string text);

  const json& value_;
  std::string place_;
  finding_list& findings_;
  std::vector<std::string> known_keys_;
};

// Returns the member of `known` with the smallest edit distance to `word`, or an empty string if
// none is near. O(known * length^2).
std::string nearest_word(std::string_view word, const std::vector<std::string>& known);

// Parses a time such as "250ms" or "1.5s"; nothing if it is malformed or negative.
std::optional<duration> parse_duration(std::string_view text);

// Parses JSON with comments. Throws `findings_error` with line and column when it is malformed.
json parse_json_with_comments(std::string_view text);

} // namespace arbutuslb::core
