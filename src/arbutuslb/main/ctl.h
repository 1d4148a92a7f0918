// The subcommand `arbutuslb ctl`: sends an operator's command to a daemon and prints the answer.
#pragma once

namespace arbutuslb::main {

// Returns the exit code; see `core::operators::exit_code`.
int run_ctl(int argc, char** argv);

} // namespace arbutuslb::main
