// The subcommands of the stand-ins' binary. Each returns the exit code.
#pragma once

#include "arbutuslb/fakes/options.h"

namespace arbutuslb::fakes {

int run_log(const options& given);
int run_upstream(const options& given);
int run_load(const options& given);

} // namespace arbutuslb::fakes
