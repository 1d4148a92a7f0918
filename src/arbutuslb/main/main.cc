// The binary of the product, with the subcommands `daemon`, `gateway` and `ctl`.

#include "arbutuslb/main/ctl.h"
#include "arbutuslb/runtime/daemon_host.h"
#include "arbutuslb/runtime/deferred_signals.h"
#include "arbutuslb/runtime/gateway_host.h"
#include "arbutuslb/runtime/logging.h"
#include "arbutuslb/runtime/process_start.h"

#include <cstring>
#include <getopt.h>
#include <iostream>
#include <optional>

namespace arbutuslb::main {
namespace {

constexpr const char* version = "0.1.0";
constexpr int exit_failure = 1;
constexpr int exit_wrong_input = 2;

constexpr const char* usage = "usage: arbutuslb daemon [--check] SETTINGS\n"
                              "       arbutuslb gateway [--check] SETTINGS\n"
                              "       arbutuslb ctl [options] COMMAND...\n"
                              "       arbutuslb --version | --help\n";

constexpr const char* daemon_usage = "usage: arbutuslb daemon [--check] SETTINGS\n"
                                     "  SETTINGS     JSON with comments; see docs/OPERATORS.md\n"
                                     "  -c, --check  check the settings and exit with code 0 or 2\n"
                                     "  -h, --help   print this help\n";

constexpr const char* gateway_usage =
    "usage: arbutuslb gateway [--check] SETTINGS\n"
    "  SETTINGS     JSON with comments; see deploy/daemon.json\n"
    "  -c, --check  check the settings and exit with code 0 or 2\n"
    "  -h, --help   print this help\n";

struct settings_arguments {
  bool checks_only = false;
  std::string path;
};

// Parses the arguments of a subcommand that takes a settings file. If the process should exit,
// sets `exit_code` and returns an empty value.
std::optional<settings_arguments> read_arguments(int argc, char** argv, const char* help,
                                                 int& exit_code) {
  const option long_options[] = {{"check", no_argument, nullptr, 'c'},
                                 {"help", no_argument, nullptr, 'h'},
                                 {nullptr, 0, nullptr, 0}};
  settings_arguments arguments;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "ch", long_options, nullptr)) != -1) {
    if (choice == 'h') {
      std::cout << help;
      exit_code = 0;
      return std::nullopt;
    }
    if (choice != 'c') {
      std::cerr << help;
      exit_code = exit_wrong_input;
      return std::nullopt;
    }
    arguments.checks_only = true;
  }
  if (optind + 1 != argc) {
    std::cerr << help;
    exit_code = exit_wrong_input;
    return std::nullopt;
  }
  arguments.path = argv[optind];
  return arguments;
}

// Parses the settings file with `parse` and, unless the settings are only checked, calls `run`,
// which returns when the daemon has stopped. Returns the process's exit code.
template <typename Parse, typename Run>
int run_with_settings(const settings_arguments& arguments, Parse parse, Run run) {
  try {
    const auto settings =
        parse(arguments.checks_only ? runtime::read_file(arguments.path)
                                    : runtime::read_settings_text(arguments.path));
    if (arguments.checks_only) {
      std::cout << "settings=ok\n";
      return 0;
    }
    runtime::return_large_buffers_when_freed();
    run(settings);
  } catch (const core::findings_error& error) {
    std::cerr << error.what() << "\n";
    return exit_wrong_input;
  } catch (const std::exception& error) {
    std::cerr << "event=daemon_failed reason=\"" << error.what() << "\"\n";
    return exit_failure;
  }
  return 0;
}

int run_daemon(int argc, char** argv) {
  int exit_code = 0;
  const std::optional<settings_arguments> arguments =
      read_arguments(argc, argv, daemon_usage, exit_code);
  if (!arguments) {
    return exit_code;
  }
  return run_with_settings(*arguments, runtime::parse_settings,
                           [](const runtime::daemon_settings& settings) {
                             runtime::start_logging("arbutuslb");
                             runtime::daemon_host host(settings);
                             host.run();
                           });
}

int run_gateway(int argc, char** argv) {
  runtime::deferred_signals signals;
  int exit_code = 0;
  const std::optional<settings_arguments> arguments =
      read_arguments(argc, argv, gateway_usage, exit_code);
  if (!arguments) {
    return exit_code;
  }
  return run_with_settings(*arguments, runtime::parse_gateway_settings,
                           [&](const runtime::gateway_host_settings& settings) {
                             std::optional<runtime::gateway_host> host;
                             runtime::retry_while_address_is_unavailable(
                                 [&] { host.emplace(settings, arguments->path); },
                                 runtime::deferred_signals::is_stop_pending);
                             signals.release();
                             host->run();
                           });
}

int run(int argc, char** argv) {
  runtime::protect_standard_streams();
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "daemon") {
    return run_daemon(argc - 1, argv + 1);
  }
  if (command == "gateway") {
    return run_gateway(argc - 1, argv + 1);
  }
  if (command == "ctl") {
    return run_ctl(argc - 1, argv + 1);
  }
  if (command == "--version") {
    std::cout << "arbutuslb " << version << "\n";
    return 0;
  }
  const bool is_help = command == "--help" || command == "-h";
  (is_help ? std::cout : std::cerr) << usage;
  return is_help ? 0 : exit_wrong_input;
}

} // namespace
} // namespace arbutuslb::main

int main(int argc, char** argv) {
  return arbutuslb::main::run(argc, argv);
}
