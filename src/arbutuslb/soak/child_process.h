// A process that this program started; only such are signalled, by their ids.
//
//   child_process daemon({"build/arbutuslb", "gateway", "d1.json"}, "d1.log");
//   daemon.signal(SIGTERM);
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace arbutuslb::soak {

// Kills the process, if it still runs, and waits for it when destroyed.
class child_process {
public:
  // Standard output and error are appended to `log`. Throws `std::system_error`.
  child_process(const std::vector<std::string>& command, const std::string& log);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void signal(int number) const;
  // Returns how it ended, as `wait` tells it, once it has.
  std::optional<int> poll();

private:
  int id_ = 0;
  std::optional<int> end_;
};

} // namespace arbutuslb::soak
