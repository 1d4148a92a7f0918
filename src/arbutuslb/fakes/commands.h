// The subcommands of the binary with the stand-ins. Each returns the process's exit code.
#pragma once

#include "arbutuslb/fakes/options.h"

namespace arbutuslb::fakes {

int run_log(const options& arguments);
int run_upstream(const options& arguments);
int run_load(const options& arguments);
int run_broken(const options& arguments);

} // namespace arbutuslb::fakes
