// Tests that the template of the settings yields valid settings on every deployment.

#include "arbutuslb/runtime/gateway_settings.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <fstream>
#include <map>
#include <sstream>

namespace {

using arbutuslb::runtime::gateway_host_settings;
using arbutuslb::runtime::parse_gateway_settings;

using template_values = std::map<std::string, std::string>;

std::string read_template() {
  const std::ifstream file(ARBUTUSLB_SOURCE_DIR "/deploy/daemon.json");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Fills in the part of the platform's template language that the template uses: values, and
// sections that are rendered if there is a value, or if there is none.
std::string render(const std::string& text, const template_values& values,
                   const std::string& current = "") {
  std::string output;
  std::size_t at = 0;
  for (std::size_t open = text.find("{{"); open != std::string::npos; open = text.find("{{", at)) {
    output += text.substr(at, open - at);
    const std::size_t close = text.find("}}", open);
    const std::string tag = text.substr(open + 2, close - open - 2);
    at = close + 2;
    const bool is_section = tag.front() == '#' || tag.front() == '^';
    const std::string name = is_section ? tag.substr(1) : tag;
    const template_values::const_iterator found = values.find(name);
    const bool has_value = found != values.end();
    if (!is_section) {
      output += name == "." ? current : has_value ? found->second : "";
      continue;
    }
    const std::string end_tag = "{{/" + name + "}}";
    const std::size_t end = text.find(end_tag, at);
    if ((tag.front() == '#') == has_value) {
      output += render(text.substr(at, end - at), values, has_value ? found->second : "");
    }
    at = end + end_tag.size();
  }
  return output + text.substr(at);
}

template_values complete_values() {
  return {{"nodeName", "sidecar-a-1"},
          {"zone", "a"},
          {"service", "menu"},
          {"ipAddress", "10.1.0.8"},
          {"applicationAddress", "10.1.0.8:8301"},
          {"listenAddresses.outbound", "10.1.0.8:8304"},
          {"listenAddresses.inbound", "10.1.0.8:8300"},
          {"listenAddresses.control", "10.1.0.8:8306"},
          {"listenAddresses.ready", "10.1.0.8:8302"},
          {"internalPortRange.0", "7620"},
          {"platform.address", "10.200.1.7:8309"},
          {"limits.cpuShare", "0.2"},
          {"limits.linkMbps", "1000.0"},
          {"limits.memoryMb", "260"},
          {"bounds.coldLoadFactor", "1.5"},
          {"bounds.coldSlack", "5"},
          {"bounds.retryBudgetRatio", "0.2"},
          {"bounds.retryBudgetExtra", "60"},
          {"bounds.exposureShare", "0.1"},
          {"bounds.exposureSlack", "50"},
          {"bounds.gracePeriod", "6s"},
          {"cloudApi.address", "10.200.0.101:8469"},
          {"bounds.reportWindow", "4s"},
          {"bounds.usageLate", "11s"},
          {"bounds.leaseDuration", "2500ms"}};
}

bool may_be_left_out(const std::string& name) {
  return !name.starts_with("listenAddresses.") && name.find('.') != std::string::npos &&
         name != "internalPortRange.0" && name != "platform.address";
}

} // namespace

Test(settings_template, all_values_of_a_deployment_arrive) {
  const gateway_host_settings settings =
      parse_gateway_settings(render(read_template(), complete_values()));
  cr_assert_eq(settings.core.cold_load_factor, 1.5);
  cr_assert_eq(settings.core.retry_extra, 60);
  cr_assert(settings.core.usage.is_enabled);
  cr_assert_eq(settings.usage_collector.port(), 8469);
  cr_assert(settings.core.usage.lease == std::chrono::milliseconds{2500});
  cr_assert_eq(settings.memory_bytes, std::size_t{260} * 1024 * 1024);
}

// Guards against processes that do not start on a deployment which states no bounds for cold
// upstreams.
Test(settings_template, a_deployment_may_leave_out_each_bound_and_limit) {
  const gateway_host_settings defaults;
  template_values none = complete_values();
  for (const auto& [name, ignored] : complete_values()) {
    if (!may_be_left_out(name)) {
      continue;
    }
    template_values values = complete_values();
    values.erase(name);
    none.erase(name);
    parse_gateway_settings(render(read_template(), values)); // throws if it is malformed
  }
  const gateway_host_settings settings = parse_gateway_settings(render(read_template(), none));
  cr_assert_eq(settings.core.cold_load_factor, defaults.core.cold_load_factor);
  cr_assert_eq(settings.core.retry_ratio, defaults.core.retry_ratio);
  cr_assert_not(settings.core.usage.is_enabled);
  cr_assert(settings.core.grace_period == defaults.core.grace_period);
}
