#include "arbutuslb/runtime/process_start.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace arbutuslb::runtime {
void protect_standard_streams() {
  for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (fcntl(descriptor, F_GETFD) == -1 && errno == EBADF &&
        open("/dev/null", O_RDWR) == -1) { // takes the lowest free number, which is this one
      throw std::system_error(errno, std::generic_category(), "cannot open /dev/null");
    }
  }
  std::signal(SIGPIPE, SIG_IGN);
}

} // namespace arbutuslb::runtime
