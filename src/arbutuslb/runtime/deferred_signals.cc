#include "arbutuslb/runtime/deferred_signals.h"

#include <cerrno>
#include <csignal>
#include <system_error>

namespace arbutuslb::runtime {
namespace {

void change_mask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGHUP, SIGINT, SIGTERM}) {
    sigaddset(&signals, number);
  }
  if (sigprocmask(how, &signals, nullptr) != 0) {
    throw std::system_error(errno, std::generic_category(), "cannot change the signal mask");
  }
}

} // namespace

deferred_signals::deferred_signals() {
  change_mask(SIG_BLOCK);
}

void deferred_signals::release() {
  change_mask(SIG_UNBLOCK);
}

bool deferred_signals::is_stop_pending() {
  sigset_t pending;
  sigemptyset(&pending);
  sigpending(&pending);
  return sigismember(&pending, SIGINT) == 1 || sigismember(&pending, SIGTERM) == 1;
}

} // namespace arbutuslb::runtime
