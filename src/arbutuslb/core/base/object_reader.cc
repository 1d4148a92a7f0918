#include "arbutuslb/core/base/object_reader.h"

#include <algorithm>
#include <charconv>
#include <numeric>

namespace arbutuslb::core {
namespace {

constexpr std::size_t max_name_length = 64;
const json empty_object = json::object();

std::size_t edit_distance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < right.size(); ++j) {
      const std::size_t substitution = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({substitution, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

bool is_name(std::string_view text) {
  const auto is_name_character = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= max_name_length &&
         std::all_of(text.begin(), text.end(), is_name_character);
}

std::string range_text(std::int64_t low, std::int64_t high) {
  return std::to_string(low) + " to " + std::to_string(high);
}

} // namespace

std::string nearest_word(std::string_view word, const std::vector<std::string>& known) {
  std::string best;
  std::size_t best_distance = std::max<std::size_t>(2, word.size() / 2) + 1;
  for (const std::string& candidate : known) {
    const std::size_t distance = edit_distance(word, candidate);
    if (distance < best_distance) {
      best_distance = distance;
      best = candidate;
    }
  }
  return best;
}

std::optional<duration> parse_duration(std::string_view text) {
  double number = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const std::string_view unit = text.substr(static_cast<std::size_t>(parsed.ptr - text.data()));
  constexpr double max_seconds = 1e9;
  const bool is_in_range = number >= 0 && number <= max_seconds; // false for NaN
  if (parsed.ec != std::errc{} || !is_in_range || (unit != "ms" && unit != "s")) {
    return std::nullopt;
  }
  const std::chrono::duration<double, std::milli> value{unit == "s" ? number * 1000.0 : number};
  return std::chrono::duration_cast<duration>(value);
}

namespace {

// No document of this system is nested deeper. Deep nesting takes a multiple of the text's memory.
constexpr int max_nesting = 64;

// Returns true if brackets outside strings are nested too deeply.
bool is_nested_too_deeply(std::string_view text) {
  int depth = 0;
  bool is_in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (is_in_string) {
      i += c == '\\' ? 1 : 0;
      is_in_string = c != '"';
    } else if (c == '"') {
      is_in_string = true;
    } else if (c == '{' || c == '[') {
      if (++depth > max_nesting) {
        return true;
      }
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return false;
}

} // namespace

json parse_json_with_comments(std::string_view text) {
  if (is_nested_too_deeply(text)) {
    throw findings_error(std::vector<finding>{
        {"", "nested more than " + std::to_string(max_nesting) + " levels deep"}});
  }
  try {
    return json::parse(text.begin(), text.end(), nullptr, true, true);
  } catch (const json::out_of_range&) {
    throw findings_error(std::vector<finding>{{"", "a number is out of range"}});
  } catch (const json::parse_error& error) {
    const std::size_t byte = std::min<std::size_t>(error.byte, text.size());
    const std::string_view before = text.substr(0, byte);
    const std::ptrdiff_t line = std::count(before.begin(), before.end(), '\n') + 1;
    const std::size_t line_start = before.rfind('\n');
    const std::size_t column = line_start == std::string_view::npos ? byte : byte - line_start - 1;
    throw findings_error(
        {{"line " + std::to_string(line) + " column " + std::to_string(column), "malformed JSON"}});
  }
}

object_reader::object_reader(const json& value, std::string place, finding_list& findings)
    : value_(value.is_object() ? value : empty_object), place_(std::move(place)),
      findings_(findings) {
  if (!value.is_object()) {
    findings_.add(place_, "expected an object");
  }
}

std::string object_reader::place_of(std::string_view key) const {
  return place_.empty() ? std::string(key) : place_ + "." + std::string(key);
}

void object_reader::add_finding(std::string_view key, std::string text) {
  findings_.add(place_of(key), std::move(text));
}

bool object_reader::has(std::string_view key) {
  requested_keys_.emplace_back(key);
  const json::const_iterator found = value_.find(key);
  return found != value_.end() && !found->is_null();
}

const json* object_reader::find(std::string_view key) {
  requested_keys_.emplace_back(key);
  const json::const_iterator found = value_.find(key);
  return found == value_.end() || found->is_null() ? nullptr : &*found;
}

const json* object_reader::find_required(std::string_view key) {
  const json* found = find(key);
  if (found == nullptr) {
    add_finding(key, "is missing");
  }
  return found;
}

std::string object_reader::required_string(std::string_view key) {
  const json* found = find_required(key);
  if (found == nullptr) {
    return {};
  }
  if (!found->is_string() || found->get_ref<const std::string&>().empty()) {
    add_finding(key, "expected a non-empty string");
    return {};
  }
  return found->get<std::string>();
}

std::string object_reader::optional_string(std::string_view key, std::string fallback) {
  const json* found = find(key);
  if (found == nullptr) {
    return fallback;
  }
  if (!found->is_string()) {
    add_finding(key, "expected a string");
    return fallback;
  }
  return found->get<std::string>();
}

std::string object_reader::required_name(std::string_view key) {
  const json* found = find_required(key);
  if (found == nullptr) {
    return {};
  }
  if (!found->is_string() || !is_name(found->get_ref<const std::string&>())) {
    add_finding(key, "expected a name of 1 to 64 characters out of a-z, 0-9, '-', '_' and '.'");
    return {};
  }
  return found->get<std::string>();
}

std::int64_t object_reader::required_integer(std::string_view key, std::int64_t low,
                                             std::int64_t high) {
  if (!has(key)) {
    add_finding(key, "is missing");
  }
  return optional_integer(key, low, low, high);
}

std::int64_t object_reader::optional_integer(std::string_view key, std::int64_t fallback,
                                             std::int64_t low, std::int64_t high) {
  const json* found = find(key);
  if (found == nullptr) {
    return fallback;
  }
  if (!found->is_number_integer() || found->get<std::int64_t>() < low ||
      found->get<std::int64_t>() > high) {
    add_finding(key, "expected a whole number from " + range_text(low, high));
    return fallback;
  }
  return found->get<std::int64_t>();
}

double object_reader::optional_number(std::string_view key, double fallback, double low,
                                      double high) {
  const json* found = find(key);
  if (found == nullptr) {
    return fallback;
  }
  if (!found->is_number() || found->get<double>() < low || found->get<double>() > high) {
    add_finding(key, "expected a number from " + json(low).dump() + " to " + json(high).dump());
    return fallback;
  }
  return found->get<double>();
}

bool object_reader::optional_boolean(std::string_view key, bool fallback) {
  const json* found = find(key);
  if (found == nullptr) {
    return fallback;
  }
  if (!found->is_boolean()) {
    add_finding(key, "expected true or false");
    return fallback;
  }
  return found->get<bool>();
}

duration object_reader::optional_milliseconds(std::string_view key, duration fallback, duration low,
                                              duration high) {
  return std::chrono::milliseconds{optional_integer(key, to_milliseconds(fallback),
                                                    to_milliseconds(low), to_milliseconds(high))};
}

duration object_reader::required_duration(std::string_view key) {
  if (!has(key)) {
    add_finding(key, "is missing");
  }
  return optional_duration(key, duration::zero());
}

duration object_reader::optional_duration(std::string_view key, duration fallback) {
  const json* found = find(key);
  if (found == nullptr) {
    return fallback;
  }
  const std::optional<duration> value =
      found->is_string() ? parse_duration(found->get_ref<const std::string&>()) : std::nullopt;
  if (!value) {
    add_finding(key, "expected a time such as \"250ms\" or \"1.5s\"");
  }
  return value.value_or(fallback);
}

std::string object_reader::required_choice(std::string_view key,
                                           const std::vector<std::string>& choices) {
  const std::string value = required_string(key);
  if (std::find(choices.begin(), choices.end(), value) != choices.end()) {
    return value;
  }
  if (!value.empty()) {
    std::string text = "unknown value \"" + value + "\"; expected one of";
    for (const std::string& choice : choices) {
      text += " " + choice;
    }
    add_finding(key, text);
  }
  return choices.front();
}

std::vector<std::string> object_reader::optional_strings(std::string_view key) {
  const json* found = find(key);
  if (found == nullptr) {
    return {};
  }
  const auto is_string_item = [](const json& item) { return item.is_string(); };
  if (!found->is_array() || !std::all_of(found->begin(), found->end(), is_string_item)) {
    add_finding(key, "expected an array of strings");
    return {};
  }
  return found->get<std::vector<std::string>>();
}

std::vector<object_reader::element> object_reader::optional_objects(std::string_view key) {
  const json* found = find(key);
  if (found == nullptr) {
    return {};
  }
  if (!found->is_array()) {
    add_finding(key, "expected an array");
    return {};
  }
  std::vector<element> elements;
  for (std::size_t i = 0; i < found->size(); ++i) {
    elements.push_back({&(*found)[i], place_of(key) + "[" + std::to_string(i) + "]"});
  }
  return elements;
}

object_reader::element object_reader::optional_object(std::string_view key) {
  const json* found = find(key);
  return {found == nullptr ? &empty_object : found, place_of(key)};
}

void object_reader::finish() {
  for (const auto& [key, ignored] : value_.items()) {
    if (std::find(requested_keys_.begin(), requested_keys_.end(), key) != requested_keys_.end()) {
      continue;
    }
    const std::string nearest = nearest_word(key, requested_keys_);
    add_finding(key,
                nearest.empty() ? "unknown key" : "unknown key; did you mean \"" + nearest + "\"?");
  }
}

} // namespace arbutuslb::core
