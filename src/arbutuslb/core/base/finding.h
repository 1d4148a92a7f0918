// Findings: the faults of an input, each with its place, reported together.
//
//   finding_list findings;
//   findings.add("routes[3].service", "unknown service \"checkuot\"");
//   findings.throw_if_any();
#pragma once

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace arbutuslb::core {

// One fault of an input.
struct finding {
  std::string place; // path of the faulty value, such as `routes[3].service`; may be empty
  std::string text;
  friend bool operator==(const finding&, const finding&) = default;
};

// Thrown when an input has findings. `what()` returns all of them, one per line.
class findings_error : public std::runtime_error {
public:
  explicit findings_error(std::vector<finding> findings)
      : std::runtime_error(describe(findings)), findings_(std::move(findings)) {}

  const std::vector<finding>& findings() const noexcept { return findings_; }

  // Returns the findings as text, one per line, in their order.
  static std::string describe(const std::vector<finding>& findings) {
    std::string text;
    for (const finding& item : findings) {
      if (!text.empty()) {
        text += '\n';
      }
      text += item.place.empty() ? item.text : item.place + ": " + item.text;
    }
    return text;
  }

private:
  std::vector<finding> findings_;
};

// Collects findings in the order in which they are added.
class finding_list {
public:
  void add(std::string place, std::string text) {
    findings_.push_back({std::move(place), std::move(text)});
  }
  bool empty() const noexcept { return findings_.empty(); }
  const std::vector<finding>& items() const noexcept { return findings_; }

  // Throws `findings_error` with all findings if there are any.
  void throw_if_any() const {
    if (!findings_.empty()) {
      throw findings_error(findings_);
    }
  }

private:
  std::vector<finding> findings_;
};

} // namespace arbutuslb::core
