/** @file process_base.h A real process of the soak: started, signalled by its
 * own id, and ended with the soak. */

#ifndef CUMINVANE_TESTS_SOAK_PROCESS_BASE_H_
#define CUMINVANE_TESTS_SOAK_PROCESS_BASE_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace cuminvane::soak {

/** One program, which may be started again after it has ended. */
class Process {
 public:
  /**
   * @param command Program and arguments.
   * @param log File that its output is added to.
   */
  Process(std::vector<std::string> command, std::string log);
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&&) = delete;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /** Starts it where it does not run. */
  void Start();
  /** Sends a signal where it runs. */
  void Signal(int signal) const;
  /** @return Whether it runs; takes note of its end. */
  bool IsUp();
  /** @return Ends that no signal of the soak explains. */
  int BadEnds() const { return this->bad_ends; }
  /** An end is expected from now on, until the next start. */
  void ExpectEnd() { this->end_expected = true; }

 private:
  std::vector<std::string> command;
  std::string log;
  pid_t pid = 0;
  int bad_ends = 0;
  bool end_expected = false;
};

}  // namespace cuminvane::soak

#endif  // CUMINVANE_TESTS_SOAK_PROCESS_BASE_H_
