// The one binary of the product: `arbutuslb daemon` and `arbutuslb ctl`.

#include "arbutuslb/main/ctl.h"
#include "arbutuslb/runtime/daemon_host.h"
#include "arbutuslb/runtime/logging.h"

#include <cstring>
#include <getopt.h>
#include <iostream>

namespace arbutuslb::main {
namespace {

constexpr const char* version = "0.1.0";
constexpr int exit_failure = 1;
constexpr int exit_wrong_input = 2;

constexpr const char* usage = "usage: arbutuslb daemon [--check] SETTINGS\n"
                              "       arbutuslb ctl [options] COMMAND...\n"
                              "       arbutuslb --version | --help\n";

constexpr const char* daemon_usage =
    "usage: arbutuslb daemon [--check] SETTINGS\n"
    "  SETTINGS     JSON with comments; see docs/OPERATORS.md\n"
    "  -c, --check  check the settings and stop: exit code 0 or 2\n"
    "  -h, --help   print this\n";

int run_daemon(int argc, char** argv) {
  const option long_options[] = {{"check", no_argument, nullptr, 'c'},
                                 {"help", no_argument, nullptr, 'h'},
                                 {nullptr, 0, nullptr, 0}};
  bool check = false;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "ch", long_options, nullptr)) != -1) {
    if (choice == 'h') {
      std::cout << daemon_usage;
      return 0;
    }
    if (choice != 'c') {
      std::cerr << daemon_usage;
      return exit_wrong_input;
    }
    check = true;
  }
  if (optind + 1 != argc) {
    std::cerr << daemon_usage;
    return exit_wrong_input;
  }
  runtime::daemon_settings settings;
  try {
    settings = runtime::read_settings(argv[optind]);
  } catch (const core::findings_error& error) {
    std::cerr << error.what() << "\n";
    return exit_wrong_input;
  }
  if (check) {
    std::cout << "settings=ok\n";
    return 0;
  }
  runtime::start_logging("arbutuslb");
  try {
    runtime::daemon_host host(settings);
    host.run();
  } catch (const std::exception& error) {
    std::cerr << "event=daemon_failed reason=\"" << error.what() << "\"\n";
    return exit_failure;
  }
  return 0;
}

int run(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "daemon") {
    return run_daemon(argc - 1, argv + 1);
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
