#include "arbutuslb/core/operators/report.h"

#include "arbutuslb/core/base/object_reader.h"

#include <algorithm>

namespace arbutuslb::core::operators {
namespace {

constexpr int max_exit_code = 255;

json rows_to_json(const table& value) {
  json rows = json::array();
  for (const std::vector<std::string>& row : value.rows) {
    json object = json::object();
    for (std::size_t i = 0; i < row.size(); ++i) {
      object[value.columns[i]] = row[i];
    }
    rows.push_back(object);
  }
  return rows;
}

std::string padded_line(const std::vector<std::string>& cells,
                        const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    line += cells[i];
    if (i + 1 < cells.size()) {
      line += std::string(widths[i] - cells[i].size() + 2, ' ');
    }
  }
  return line + "\n";
}

std::string table_to_text(const table& value) {
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < value.columns.size(); ++i) {
    std::size_t width = value.columns[i].size();
    for (const std::vector<std::string>& row : value.rows) {
      width = std::max(width, row[i].size());
    }
    widths.push_back(width);
  }
  std::string text = padded_line(value.columns, widths);
  for (const std::vector<std::string>& row : value.rows) {
    text += padded_line(row, widths);
  }
  return text;
}

} // namespace

std::string to_json_text(const report& value) {
  json facts = json::object();
  for (const auto& [name, fact] : value.facts) {
    facts[name] = fact;
  }
  json findings = json::array();
  for (const finding& item : value.findings) {
    findings.push_back({{"place", item.place}, {"text", item.text}});
  }
  const json out = {{"code", static_cast<int>(value.code)},
                    {"result", value.result},
                    {"facts", facts},
                    {"findings", findings},
                    {"notes", value.notes},
                    {"columns", value.details.columns},
                    {"rows", rows_to_json(value.details)}};
  return out.dump();
}

report parse_report(std::string_view text) {
  const json document = parse_json_with_comments(text);
  finding_list findings;
  object_reader reader(document, "", findings);
  report value;
  value.code = static_cast<exit_code>(reader.required_integer("code", 0, max_exit_code));
  value.result = reader.required_string("result");
  for (const auto& [name, fact] : reader.optional_object("facts").value->items()) {
    value.facts.emplace_back(name, fact.is_string() ? fact.get<std::string>() : fact.dump());
  }
  for (const object_reader::element& item : reader.optional_objects("findings")) {
    object_reader entry(*item.value, item.place, findings);
    value.findings.push_back(
        {entry.optional_string("place", ""), entry.optional_string("text", "")});
  }
  value.notes = reader.optional_strings("notes");
  value.details.columns = reader.optional_strings("columns");
  for (const object_reader::element& item : reader.optional_objects("rows")) {
    object_reader entry(*item.value, item.place, findings);
    std::vector<std::string> row;
    for (const std::string& column : value.details.columns) {
      row.push_back(entry.optional_string(column, ""));
    }
    value.details.rows.push_back(row);
  }
  findings.throw_if_any();
  return value;
}

std::string to_text(const report& value) {
  std::string text = value.result;
  for (const auto& [name, fact] : value.facts) {
    text += " " + name + "=" + fact;
  }
  text += "\n";
  for (const finding& item : value.findings) {
    text += findings_error::describe({item}) + "\n";
  }
  for (const std::string& note : value.notes) {
    text += "note: " + note + "\n";
  }
  if (!value.details.columns.empty()) {
    text += table_to_text(value.details);
  }
  return text;
}

} // namespace arbutuslb::core::operators
