/** @file guard_func.h Keeps an unexpected error in one handler from ending the
 * process. */

#ifndef CUMINVANE_SHELL_GUARD_FUNC_H_
#define CUMINVANE_SHELL_GUARD_FUNC_H_

#include <exception>
#include <string>
#include <utility>

namespace cuminvane {

/** Logs an exception that a handler let through, at most one line a second, and
 * counts it. @param handler Name of the handler, as logged. */
void ReportUnexpectedError(const char* handler, const std::string& what);

/** @return Number of exceptions reported since the start. */
uint64_t UnexpectedErrors();

/**
 * Calls `function`. An exception is reported and goes no further: the datagram,
 * call or timer that caused it is given up, everything else goes on.
 * @param handler Name of the handler, as logged.
 * @return Whether the function returned without an exception.
 */
template <class Function>
bool RunGuarded(const char* handler, Function&& function) {
  try {
    std::forward<Function>(function)();
    return true;
  } catch (const std::exception& error) {
    ReportUnexpectedError(handler, error.what());
  } catch (...) {
    ReportUnexpectedError(handler, "unknown exception");
  }
  return false;
}

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_GUARD_FUNC_H_
