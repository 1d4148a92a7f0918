// Binary with the stand-ins for tests and demos; it is not part of the product.
//   arbutuslb_fakes log|upstream|load|broken [--name value]...

#include "arbutuslb/fakes/commands.h"

#include <iostream>

int main(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  try {
    const arbutuslb::fakes::options arguments(argc - 2, argv + 2);
    if (command == "log") {
      return arbutuslb::fakes::run_log(arguments);
    }
    if (command == "upstream") {
      return arbutuslb::fakes::run_upstream(arguments);
    }
    if (command == "load") {
      return arbutuslb::fakes::run_load(arguments);
    }
    if (command == "broken") {
      return arbutuslb::fakes::run_broken(arguments);
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  }
  std::cerr << "usage: arbutuslb_fakes log|upstream|load|broken [--name value]...\n";
  return 2;
}
