// Holds back the signals that stop or reload a process until their handlers are installed. A signal
// that arrives earlier would end the process, whatever it asks for.
//
//   deferred_signals signals;      // before anything else
//   gateway_host host(settings);   // installs the handlers
//   signals.release();             // held signals are delivered now
#pragma once

namespace arbutuslb::runtime {

class deferred_signals {
public:
  // Blocks SIGHUP, SIGINT and SIGTERM in the calling thread. Throws `std::system_error`.
  deferred_signals();
  deferred_signals(const deferred_signals&) = delete;
  deferred_signals& operator=(const deferred_signals&) = delete;

  // Unblocks the signals, also if the process was started with them blocked. Throws
  // `std::system_error`.
  void release();
  // Returns true if SIGINT or SIGTERM is being held back.
  static bool is_stop_pending();
};

} // namespace arbutuslb::runtime
