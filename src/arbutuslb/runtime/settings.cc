#include "arbutuslb/runtime/settings.h"

#include "arbutuslb/core/base/object_reader.h"

#include <asio/ip/address_v4.hpp>
#include <fstream>
#include <sstream>

namespace arbutuslb::runtime {
namespace {

using core::finding_list;
using core::object_reader;

constexpr int max_port = 65535;
constexpr int max_connections = 4096;

std::uint16_t read_port(object_reader& reader, std::string_view key) {
  return static_cast<std::uint16_t>(reader.required_integer(key, 1, max_port));
}

std::string read_host(object_reader& reader, finding_list& findings) {
  const std::string host = reader.required_string("host");
  std::error_code error;
  asio::ip::make_address_v4(host, error);
  if (!host.empty() && error) {
    findings.add(reader.place_of("host"), "expected an IPv4 address such as 10.0.0.7");
  }
  return host;
}

endpoint read_endpoint(const object_reader::element& source, finding_list& findings) {
  object_reader reader(*source.value, source.place, findings);
  endpoint value;
  value.host = read_host(reader, findings);
  value.port = read_port(reader, "port");
  reader.finish();
  return value;
}

core::peer_address read_peer(const object_reader::element& source, finding_list& findings) {
  object_reader reader(*source.value, source.place, findings);
  core::peer_address value;
  value.host = read_host(reader, findings);
  value.datagram_port = read_port(reader, "datagram_port");
  value.stream_port = read_port(reader, "stream_port");
  reader.finish();
  return value;
}

void read_listen(object_reader& parent, daemon_settings& settings, finding_list& findings) {
  const object_reader::element source = parent.optional_object("listen");
  object_reader reader(*source.value, source.place, findings);
  settings.core.address.host = read_host(reader, findings);
  settings.core.address.datagram_port = read_port(reader, "datagram_port");
  settings.core.address.stream_port = read_port(reader, "stream_port");
  settings.call_port = read_port(reader, "call_port");
  settings.operator_port = read_port(reader, "operator_port");
  settings.caller_connections = static_cast<int>(reader.optional_integer(
      "caller_connections", settings.caller_connections, 1, max_connections));
  reader.finish();
}

void read_upstream(object_reader& parent, daemon_settings& settings, finding_list& findings) {
  const object_reader::element source = parent.optional_object("upstream");
  object_reader reader(*source.value, source.place, findings);
  settings.upstream.host = read_host(reader, findings);
  settings.upstream.port = read_port(reader, "port");
  settings.core.service = reader.required_name("service");
  settings.core.version = reader.required_name("version");
  settings.upstream_connections = static_cast<int>(
      reader.optional_integer("connections", settings.upstream_connections, 1, max_connections));
  reader.finish();
}

} // namespace

daemon_settings parse_settings(std::string_view text) {
  const core::json document = core::parse_json_with_comments(text);
  finding_list findings;
  object_reader reader(document, "", findings);
  daemon_settings settings;
  settings.core.instance = reader.required_name("instance");
  settings.core.domain = reader.required_name("failure_domain");
  read_listen(reader, settings, findings);
  read_upstream(reader, settings, findings);
  settings.log = read_endpoint(reader.optional_object("log"), findings);
  for (const object_reader::element& item : reader.optional_objects("seeds")) {
    settings.core.seeds.push_back(read_peer(item, findings));
  }
  settings.core.snapshot_interval =
      reader.optional_milliseconds("snapshot_interval_ms", settings.core.snapshot_interval,
                                   std::chrono::seconds{1}, std::chrono::hours{24});
  reader.finish();
  findings.throw_if_any();
  return settings;
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    throw core::findings_error(std::vector<core::finding>{{path, "cannot be read"}});
  }
  return text.str();
}

daemon_settings read_settings(const std::string& path) {
  return parse_settings(read_file(path));
}

} // namespace arbutuslb::runtime
