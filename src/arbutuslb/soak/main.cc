// The soak's binary, not shipped:
//   arbutuslb_soak --program FILE --directory DIR --seed N [--seconds N] [--instances N] [--times
//   0]

#include "arbutuslb/fakes/options.h"
#include "arbutuslb/soak/soak.h"

#include <iostream>

int main(int argc, char** argv) {
  try {
    const arbutuslb::fakes::options given(argc - 1, argv + 1);
    arbutuslb::soak::soak_options options;
    options.program = given.text("program", "build/arbutuslb");
    options.directory = given.text("directory", "/tmp");
    options.seed = std::stoull(given.text("seed", "1"));
    options.fault_time = std::chrono::seconds{given.whole("seconds", 20)};
    options.instances = static_cast<std::size_t>(given.whole("instances", 8));
    options.checks_times = given.whole("times", 1) != 0;
    return arbutuslb::soak::run_soak(options) == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
