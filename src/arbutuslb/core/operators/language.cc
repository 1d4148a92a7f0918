#include "arbutuslb/core/operators/language.h"

#include "arbutuslb/core/base/object_reader.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <limits>
#include <map>

namespace arbutuslb::core::operators {
namespace {

using arguments = std::map<std::string, std::string>;

enum class verb : std::uint8_t {
  show_services,
  show_routes,
  show_versions,
  show_moves,
  show_domains,
  show_members,
  show_command,
  in_force,
  publish,
  move,
  move_with_limits,
  stop_move,
  withdraw,
  return_domain,
  wait,
  wait_within,
  explain,
  help
};

constexpr std::array<verb_form, 18> forms{{
    {"show services", "services, their versions and limits"},
    {"show routes", "routes and the services that they lead to"},
    {"show versions", "versions of each service and their upstreams"},
    {"show moves", "the latest move of each service"},
    {"show domains", "failure domains, withdrawn or in use, and when they were last heard"},
    {"show members", "the daemons that this daemon knows"},
    {"show command ID", "what became of a command"},
    {"what is in force", "the version in force, by failure domain, with who lacks it"},
    {"publish", "publish the document that comes with the command"},
    {"move SERVICE from VERSION to VERSION2 by TIME", "move traffic to a new version"},
    {"move SERVICE from VERSION to VERSION2 by TIME errors PERCENT latency RATIO",
     "the same with limits against the old version"},
    {"stop move SERVICE", "end a running move; traffic goes back"},
    {"withdraw DOMAIN", "take a failure domain out"},
    {"return DOMAIN", "take a failure domain in again, as cold"},
    {"wait NUMBER", "wait until the version is in force everywhere"},
    {"wait NUMBER within SECONDS", "the same for at most this long"},
    {"explain SERVICE", "where the service's move stands, and why"},
    {"help", "these lines"},
}};

std::vector<std::string> split(std::string_view text) {
  std::vector<std::string> words;
  std::string word;
  for (const char c : text) {
    if (c == ' ' || c == '\t' || c == '\n' || c == '\r') {
      if (!word.empty()) {
        words.push_back(std::exchange(word, {}));
      }
    } else {
      word += c;
    }
  }
  if (!word.empty()) {
    words.push_back(word);
  }
  return words;
}

bool is_argument(const std::string& pattern_word) {
  return pattern_word.front() >= 'A' && pattern_word.front() <= 'Z';
}

// Returns the number of leading words of the input that match the pattern.
std::size_t matched_words(const std::vector<std::string>& pattern,
                          const std::vector<std::string>& words) {
  std::size_t matched = 0;
  while (matched < pattern.size() && matched < words.size() &&
         (is_argument(pattern[matched]) || pattern[matched] == words[matched])) {
    ++matched;
  }
  return matched;
}

[[noreturn]] void throw_mismatch(const std::vector<std::string>& words, std::size_t position) {
  std::vector<std::string> expected;
  for (const verb_form& form : forms) {
    const std::vector<std::string> pattern = split(form.pattern);
    if (matched_words(pattern, words) < position) {
      continue;
    }
    const std::string next = position < pattern.size() ? pattern[position] : "the end";
    if (std::find(expected.begin(), expected.end(), next) == expected.end()) {
      expected.push_back(next);
    }
  }
  const bool is_missing = position >= words.size();
  std::string text = is_missing ? "is missing" : "\"" + words[position] + "\" does not fit";
  text += "; expected";
  for (const std::string& word : expected) {
    text += " " + word;
  }
  if (!is_missing) {
    const std::string nearest = nearest_word(words[position], expected);
    text += nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?";
  }
  throw findings_error({{"word " + std::to_string(position + 1), text}});
}

struct matched_form {
  verb kind;
  arguments values;
};

matched_form match(const std::vector<std::string>& words) {
  std::size_t best = 0;
  for (std::size_t i = 0; i < forms.size(); ++i) {
    const std::vector<std::string> pattern = split(forms[i].pattern);
    const std::size_t matched = matched_words(pattern, words);
    if (matched == pattern.size() && matched == words.size()) {
      arguments values;
      for (std::size_t k = 0; k < pattern.size(); ++k) {
        if (is_argument(pattern[k])) {
          values[pattern[k]] = words[k];
        }
      }
      return {static_cast<verb>(i), values};
    }
    best = std::max(best, matched);
  }
  throw_mismatch(words, best);
}

template <typename Number>
Number parse_number(const std::string& name, const std::string& text, Number low, Number high) {
  Number value{};
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc{} || result.ptr != text.data() + text.size() || value < low ||
      value > high) {
    throw findings_error({{name, "\"" + text + "\" is not a number in range"}});
  }
  return value;
}

config::move_command make_move_command(const arguments& values, time_point now) {
  config::move_command command;
  command.service = values.at("SERVICE");
  command.from = values.at("VERSION");
  command.to = values.at("VERSION2");
  command.deadline = parse_time(values.at("TIME"), now);
  if (command.deadline <= now) {
    throw findings_error({{"TIME", "\"" + values.at("TIME") + "\" has passed"}});
  }
  if (values.contains("PERCENT")) {
    command.limits.max_error_increase =
        parse_number<double>("PERCENT", values.at("PERCENT"), 0.0, 100.0) / 100.0;
    command.limits.max_latency_ratio =
        parse_number<double>("RATIO", values.at("RATIO"), 1.0, 100.0);
  }
  return command;
}

wait_request make_wait_request(const arguments& values) {
  constexpr std::uint64_t max_version = std::numeric_limits<std::uint64_t>::max();
  constexpr int max_wait_seconds = 600;
  wait_request request;
  request.version = parse_number<std::uint64_t>("NUMBER", values.at("NUMBER"), 0, max_version);
  request.timeout = default_wait_timeout;
  if (values.contains("SECONDS")) {
    request.timeout = std::chrono::seconds{
        parse_number<int>("SECONDS", values.at("SECONDS"), 0, max_wait_seconds)};
  }
  return request;
}

} // namespace

std::span<const verb_form> verb_forms() {
  return forms;
}

statement parse_statement(std::string_view text, time_point now) {
  const matched_form form = match(split(text));
  const arguments& values = form.values;
  switch (form.kind) {
  case verb::show_services:
    return show_query{show_subject::services, {}};
  case verb::show_routes:
    return show_query{show_subject::routes, {}};
  case verb::show_versions:
    return show_query{show_subject::versions, {}};
  case verb::show_moves:
    return show_query{show_subject::moves, {}};
  case verb::show_domains:
    return show_query{show_subject::domains, {}};
  case verb::show_members:
    return show_query{show_subject::members, {}};
  case verb::show_command:
    return show_query{show_subject::command, values.at("ID")};
  case verb::in_force:
    return in_force_query{};
  case verb::publish:
    return publish_request{};
  case verb::move:
  case verb::move_with_limits:
    return command_request{make_move_command(values, now)};
  case verb::stop_move:
    return command_request{config::stop_move_command{values.at("SERVICE")}};
  case verb::withdraw:
    return command_request{config::withdraw_command{values.at("DOMAIN")}};
  case verb::return_domain:
    return command_request{config::return_command{values.at("DOMAIN")}};
  case verb::wait:
  case verb::wait_within:
    return make_wait_request(values);
  case verb::explain:
    return explain_request{values.at("SERVICE")};
  case verb::help:
    return help_request{};
  }
  return help_request{};
}

time_point parse_time(std::string_view text, time_point now) {
  const std::string input(text);
  if (text.size() >= 3 && text.front() == '+') {
    const std::map<char, std::chrono::seconds> units{{'s', std::chrono::seconds{1}},
                                                     {'m', std::chrono::minutes{1}},
                                                     {'h', std::chrono::hours{1}}};
    const std::map<char, std::chrono::seconds>::const_iterator unit = units.find(text.back());
    if (unit != units.end()) {
      const int count = parse_number<int>("TIME", input.substr(1, input.size() - 2), 1, 1'000'000);
      return now + unit->second * count;
    }
  }
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  char zone = 0;
  const int fields_read = std::sscanf(input.c_str(), "%4d-%2u-%2uT%2d:%2d:%2d%c", &year, &month,
                                      &day, &hour, &minute, &second, &zone);
  const std::chrono::year_month_day date{std::chrono::year{year}, std::chrono::month{month},
                                         std::chrono::day{day}};
  const bool is_time_of_day =
      hour >= 0 && hour < 24 && minute >= 0 && minute < 60 && second >= 0 && second < 60;
  constexpr std::size_t length = 20;
  if (fields_read != 7 || zone != 'Z' || input.size() != length || !date.ok() || !is_time_of_day) {
    throw findings_error(
        {{"TIME", "\"" + input + "\" is no time; expected +10m or 2026-12-04T05:00:00Z"}});
  }
  return std::chrono::sys_days{date} + std::chrono::hours{hour} + std::chrono::minutes{minute} +
         std::chrono::seconds{second};
}

std::string format_time(time_point value) {
  const std::chrono::sys_days days = std::chrono::floor<std::chrono::days>(value);
  const std::chrono::year_month_day date{days};
  const std::int64_t seconds =
      std::chrono::duration_cast<std::chrono::seconds>(value - days).count();
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02dZ",
                static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()), static_cast<int>(seconds / 3600),
                static_cast<int>(seconds / 60 % 60), static_cast<int>(seconds % 60));
  return text.data();
}

} // namespace arbutuslb::core::operators
