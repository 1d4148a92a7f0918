// Parses the command-line options of the stand-ins, `--name value`.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace arbutuslb::fakes {

class options {
public:
  // Throws `std::invalid_argument` for a name without leading `--`.
  options(int argc, char** argv) {
    for (int i = 0; i + 1 < argc; i += 2) {
      const std::string name = argv[i];
      if (name.substr(0, 2) != "--") {
        throw std::invalid_argument("expected an option as --name value, got " + name);
      }
      values_[name.substr(2)].emplace_back(argv[i + 1]);
    }
  }

  // Returns the last value of an option, or `fallback` if the option is not given.
  std::string text(const std::string& name, const std::string& fallback) const {
    const std::map<std::string, std::vector<std::string>>::const_iterator found =
        values_.find(name);
    return found == values_.end() ? fallback : found->second.back();
  }
  double number(const std::string& name, double fallback) const {
    const std::string value = text(name, "");
    return value.empty() ? fallback : std::stod(value);
  }
  int integer(const std::string& name, int fallback) const {
    return static_cast<int>(number(name, fallback));
  }
  // Returns all values of an option that may be repeated.
  std::vector<std::string> all(const std::string& name) const {
    const std::map<std::string, std::vector<std::string>>::const_iterator found =
        values_.find(name);
    return found == values_.end() ? std::vector<std::string>{} : found->second;
  }

private:
  std::map<std::string, std::vector<std::string>> values_;
};

} // namespace arbutuslb::fakes
