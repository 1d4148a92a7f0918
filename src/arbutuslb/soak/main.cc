// Binary of the soak test; it is not part of the product.
//   arbutuslb_soak --program FILE --directory DIR --seed N
//                  [--seconds N] [--instances N] [--times 0|1] [--planned 0|1]

#include "arbutuslb/fakes/options.h"
#include "arbutuslb/soak/soak.h"

#include <iostream>

int main(int argc, char** argv) {
  try {
    const arbutuslb::fakes::options arguments(argc - 1, argv + 1);
    arbutuslb::soak::soak_options options;
    options.program = arguments.text("program", "build/arbutuslb");
    options.directory = arguments.text("directory", "/tmp");
    options.seed = std::stoull(arguments.text("seed", "1"));
    options.fault_time = std::chrono::seconds{arguments.integer("seconds", 20)};
    options.instances = static_cast<std::size_t>(arguments.integer("instances", 8));
    options.is_planned = arguments.integer("planned", 0) != 0;
    options.checks_times = arguments.integer("times", 1) != 0;
    return arbutuslb::soak::run_soak(options) == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
