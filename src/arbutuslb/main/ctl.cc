#include "arbutuslb/main/ctl.h"

#include "arbutuslb/core/base/object_reader.h"
#include "arbutuslb/core/operators/report.h"
#include "arbutuslb/runtime/settings.h"

#include <cstdlib>
#include <getopt.h>
#include <httplib.h>
#include <iostream>
#include <random>

namespace arbutuslb::main {
namespace {

using core::operators::exit_code;

constexpr const char* usage =
    "usage: arbutuslb ctl [--daemon HOST:PORT] [options] COMMAND...\n"
    "  -d, --daemon HOST:PORT  operator port of any daemon (default 127.0.0.1:7004)\n"
    "  -f, --file FILE         document to publish; - reads standard input\n"
    "  -i, --id ID             id of the command; commands with the same id take effect once\n"
    "  -o, --operator NAME     name of the operator who gives the command (default: $USER)\n"
    "  -j, --json              print the answer as JSON\n"
    "  -h, --help              print this help\n"
    "Commands: show services|routes|versions|moves|domains|members, show command ID,\n"
    "  what is in force, publish, move SERVICE from V1 to V2 by TIME, stop move SERVICE,\n"
    "  withdraw DOMAIN, return DOMAIN, wait VERSION [within SECONDS], explain SERVICE, help\n"
    "Exit codes: 0 done, 1 refused or not in force, 2 wrong input (nothing done),\n"
    "  3 not accepted (nothing done), 4 outcome unknown, 5 daemon unreachable\n";

constexpr int read_timeout_seconds = 630;

struct ctl_options {
  std::string host = "127.0.0.1";
  int port = 7004;
  std::string file;
  std::string id;
  std::string operator_name;
  bool json = false;
  bool help = false;
  std::string text;
};

void set_daemon(ctl_options& options, const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || std::atoi(text.c_str() + colon + 1) <= 0) {
    throw core::findings_error(
        std::vector<core::finding>{{"--daemon", "expected HOST:PORT, not \"" + text + "\""}});
  }
  options.host = text.substr(0, colon);
  options.port = std::atoi(text.c_str() + colon + 1);
}

ctl_options parse_options(int argc, char** argv) {
  const option long_options[] = {{"daemon", required_argument, nullptr, 'd'},
                                 {"file", required_argument, nullptr, 'f'},
                                 {"id", required_argument, nullptr, 'i'},
                                 {"operator", required_argument, nullptr, 'o'},
                                 {"json", no_argument, nullptr, 'j'},
                                 {"help", no_argument, nullptr, 'h'},
                                 {nullptr, 0, nullptr, 0}};
  ctl_options options;
  const char* user = std::getenv("USER");
  options.operator_name = user == nullptr ? "" : user;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "d:f:i:o:jh", long_options, nullptr)) != -1) {
    switch (choice) {
    case 'd':
      set_daemon(options, optarg);
      break;
    case 'f':
      options.file = optarg;
      break;
    case 'i':
      options.id = optarg;
      break;
    case 'o':
      options.operator_name = optarg;
      break;
    case 'j':
      options.json = true;
      break;
    case 'h':
      options.help = true;
      break;
    default:
      throw core::findings_error(
          std::vector<core::finding>{{"options", "unknown option or missing value; see --help"}});
    }
  }
  for (int i = optind; i < argc; ++i) {
    options.text += (options.text.empty() ? "" : " ") + std::string(argv[i]);
  }
  return options;
}

// Returns a new command id. With the id an operator can query the outcome after a lost answer, or
// send the command again safely.
std::string random_id() {
  std::random_device device;
  return "ctl-" + std::to_string((static_cast<std::uint64_t>(device()) << 32) | device());
}

std::string read_document(const std::string& file) {
  return runtime::read_file(file == "-" ? "/dev/stdin" : file);
}

int send_command(const ctl_options& options) {
  const core::json body = {{"text", options.text},
                           {"document", options.file.empty() ? "" : read_document(options.file)},
                           {"command_id", options.id.empty() ? random_id() : options.id},
                           {"operator", options.operator_name}};
  httplib::Client client(options.host, options.port);
  client.set_tcp_nodelay(true);
  client.set_read_timeout(read_timeout_seconds);
  const httplib::Result result = client.Post("/operator", body.dump(), "application/json");
  if (!result) {
    std::cerr << "daemon " << options.host << ":" << options.port << " does not answer; "
              << "the outcome is unknown; ask any daemon with: show command "
              << body["command_id"].get<std::string>() << "\n";
    return static_cast<int>(exit_code::unreachable);
  }
  constexpr int status_ok = 200;
  if (result->status != status_ok) {
    std::cerr << result->body << "\n";
    return static_cast<int>(exit_code::wrong_input);
  }
  const core::operators::report report = core::operators::parse_report(result->body);
  std::cout << (options.json ? result->body + "\n" : core::operators::to_text(report));
  return static_cast<int>(report.code);
}

} // namespace

int run_ctl(int argc, char** argv) {
  try {
    const ctl_options options = parse_options(argc, argv);
    if (options.help || options.text.empty()) {
      std::cout << usage;
      return options.help ? 0 : static_cast<int>(exit_code::wrong_input);
    }
    return send_command(options);
  } catch (const core::findings_error& error) {
    std::cerr << error.what() << "\n";
    return static_cast<int>(exit_code::wrong_input);
  }
}

} // namespace arbutuslb::main
