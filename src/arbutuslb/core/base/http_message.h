// Complete HTTP messages as plain values, without framing.
#pragma once

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutuslb::core {

// Header fields in their order. Names keep their case but are compared case-insensitively.
using header_list = std::vector<std::pair<std::string, std::string>>;

inline bool equal_ignoring_case(std::string_view left, std::string_view right) {
  const auto same = [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  };
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), same);
}

// Returns the value of the first field called `name`, or nullptr.
inline const std::string* find_header(const header_list& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (equal_ignoring_case(key, name)) {
      return &value;
    }
  }
  return nullptr;
}

struct http_request {
  std::string method;
  std::string target; // path and query
  header_list headers;
  std::string body;
};

struct http_response {
  int status = 0;
  header_list headers;
  std::string body;
};

} // namespace arbutuslb::core
