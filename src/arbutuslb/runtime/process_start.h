// What a daemon does while it starts, so that a passing condition of its surroundings does not end
// it: a settings file that is being written, an address that is still in use, a standard stream
// that is closed or whose reader exits.
//
//   protect_standard_streams();
#pragma once

namespace arbutuslb::runtime {

// Opens /dev/null in place of each standard stream that is closed, so that no socket takes its
// number, and makes a write to a pipe without a reader fail instead of ending the process.
void protect_standard_streams();

} // namespace arbutuslb::runtime
