#include "arbutuslb/soak/child_process.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace arbutuslb::soak {
namespace {

constexpr int log_mode = 0644;

} // namespace

child_process::child_process(const std::vector<std::string>& command, const std::string& log_path) {
  std::vector<char*> arguments;
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, log_mode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A socket that the child inherited would stay open after it is closed here.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error =
      posix_spawn(&pid_, arguments.front(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), command.front());
  }
}

child_process::~child_process() {
  if (!poll()) {
    signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void child_process::signal(int signal_number) const {
  if (!exit_status_) {
    ::kill(pid_, signal_number);
  }
}

std::optional<int> child_process::poll() {
  int status = 0;
  if (!exit_status_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    exit_status_ = status;
  }
  return exit_status_;
}

} // namespace arbutuslb::soak
