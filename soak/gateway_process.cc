#include "soak/gateway_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>

namespace cranberryhill::soak {

GatewayProcess::~GatewayProcess() {
  if (this->pid <= 0)
    return;
  kill(this->pid, SIGKILL);
  waitpid(this->pid, nullptr, 0);
}

bool GatewayProcess::Start() {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A child that holds the sockets of the soak keeps their connections open.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::string flag = "--settings=" + this->settings;
  std::string name = this->binary;
  std::array<char*, 3> arguments{name.data(), flag.data(), nullptr};
  pid_t started = 0;
  int error = posix_spawn(&started, this->binary.c_str(), &actions, nullptr,
                          arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  this->pid = error == 0 ? started : 0;
  return error == 0;
}

void GatewayProcess::Signal(int signal) {
  if (this->pid > 0)
    kill(this->pid, signal);
}

std::optional<int> GatewayProcess::TakeEnd() {
  int status = 0;
  if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid)
    return std::nullopt;
  this->pid = 0;
  return status;
}

}  // namespace cranberryhill::soak
