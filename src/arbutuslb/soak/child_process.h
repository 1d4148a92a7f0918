// A child process. Signals are sent only to this process, by its id.
//
//   child_process daemon({"build/arbutuslb", "gateway", "d1.json"}, "d1.log");
//   daemon.signal(SIGTERM);
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace arbutuslb::soak {

// The destructor kills the process, if it is still running, and waits for its exit.
class child_process {
public:
  // Starts `command`; its first word is the path of the program. Appends its standard output and
  // error to the file `log_path`. Throws `std::system_error` if the process cannot be started.
  child_process(const std::vector<std::string>& command, const std::string& log_path);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  int id() const noexcept { return pid_; }
  // Does nothing if `poll` has reported the exit.
  void signal(int signal_number) const;
  // Returns the status of `waitpid` if the process has exited; empty while it is running.
  std::optional<int> poll();

private:
  int pid_ = 0;
  std::optional<int> exit_status_;
};

} // namespace arbutuslb::soak
