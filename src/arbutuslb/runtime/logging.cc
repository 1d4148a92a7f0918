#include "arbutuslb/runtime/logging.h"

#include <glog/logging.h>

namespace arbutuslb::runtime {
namespace {

std::string quoted(const std::string& value) {
  const bool is_plain = !value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos;
  if (is_plain) {
    return value;
  }
  std::string text = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += c == '\n' ? ';' : c;
  }
  return text + "\"";
}

} // namespace

std::string format_event(const core::engine::write_event& event) {
  std::string line = "event=" + event.name;
  for (const auto& [key, value] : event.fields) {
    line += " " + key + "=" + quoted(value);
  }
  return line;
}

void log_event(const core::engine::write_event& event) {
  switch (event.level) {
  case core::engine::severity::info:
    LOG(INFO) << format_event(event);
    break;
  case core::engine::severity::warning:
    LOG(WARNING) << format_event(event);
    break;
  case core::engine::severity::error:
    LOG(ERROR) << format_event(event);
    break;
  }
}

void start_logging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

} // namespace arbutuslb::runtime
