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

child_process::child_process(const std::vector<std::string>& command, const std::string& log) {
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, log_mode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error =
      posix_spawn(&id_, arguments.front(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), command.front());
  }
}

child_process::~child_process() {
  if (!poll()) {
    signal(SIGKILL);
    waitpid(id_, nullptr, 0);
  }
}

void child_process::signal(int number) const {
  if (!end_) {
    ::kill(id_, number);
  }
}

std::optional<int> child_process::poll() {
  int status = 0;
  if (!end_ && waitpid(id_, &status, WNOHANG) == id_) {
    end_ = status;
  }
  return end_;
}

} // namespace arbutuslb::soak
