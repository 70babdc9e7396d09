/** @file process_base.cc Child processes of the soak test. */

#include "tests/soak/process_base.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>

extern char** environ;

namespace cuminvane::soak {

Process::Process(std::vector<std::string> command, std::string log)
    : command(std::move(command)), log(std::move(log)) {}

Process::Process(Process&& other) noexcept
    : command(std::move(other.command)),
      log(std::move(other.log)),
      pid(std::exchange(other.pid, 0)),
      unexpected_exits(other.unexpected_exits),
      exit_expected(other.exit_expected) {}

Process::~Process() {
  if (this->pid == 0)
    return;
  kill(this->pid, SIGCONT);
  kill(this->pid, SIGKILL);
  waitpid(this->pid, nullptr, 0);
}

void Process::Start() {
  if (this->IsRunning())
    return;
  this->exit_expected = false;
  std::vector<char*> arguments;
  arguments.reserve(this->command.size() + 1);
  for (std::string& argument : this->command)
    arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&this->pid, arguments.front(), &actions, nullptr,
                  arguments.data(), environ) != 0) {
    this->pid = 0;
    ++this->unexpected_exits;
  }
  posix_spawn_file_actions_destroy(&actions);
}

void Process::Signal(int signal) const {
  if (this->pid != 0)
    kill(this->pid, signal);
}

bool Process::IsRunning() {
  if (this->pid == 0)
    return false;
  if (waitpid(this->pid, nullptr, WNOHANG) != this->pid)
    return true;
  this->pid = 0;
  this->unexpected_exits += this->exit_expected ? 0 : 1;
  return false;
}

}  // namespace cuminvane::soak
