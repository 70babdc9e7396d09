/** @file process_base.h A child process of the soak test: it is signalled by
 * its process id only, and killed when the soak ends. */

#ifndef CUMINVANE_TESTS_SOAK_PROCESS_BASE_H_
#define CUMINVANE_TESTS_SOAK_PROCESS_BASE_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace cuminvane::soak {

/** A program that runs as a child process and can be restarted after it has
 * ended. */
class Process {
 public:
  /**
   * @param command Path of the program and its arguments.
   * @param log File that standard output and standard error are appended to.
   */
  Process(std::vector<std::string> command, std::string log);
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&&) = delete;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /** Starts the program unless it is running. */
  void Start();
  /** Sends a signal if the process is running. */
  void Signal(int signal) const;
  /** @return Whether the process is running; reaps it if it has ended. */
  bool IsRunning();
  /** @return Number of exits that the soak did not cause, failed starts
   * included. */
  int UnexpectedExits() const { return this->unexpected_exits; }
  /** Counts no exit as unexpected until the next start. */
  void ExpectExit() { this->exit_expected = true; }

 private:
  std::vector<std::string> command;  ///< Path of the program and its arguments.
  std::string log;                   ///< File that the output is appended to.
  pid_t pid = 0;               ///< Process id; 0 if the process is not running.
  int unexpected_exits = 0;    ///< Exits without ExpectExit, and failed starts.
  bool exit_expected = false;  ///< Whether the next exit is not counted.
};

}  // namespace cuminvane::soak

#endif  // CUMINVANE_TESTS_SOAK_PROCESS_BASE_H_
