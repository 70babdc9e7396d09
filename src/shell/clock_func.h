/** @file clock_func.h The one place where a clock is read. */

#ifndef CUMINVANE_SHELL_CLOCK_FUNC_H_
#define CUMINVANE_SHELL_CLOCK_FUNC_H_

#include "core/time_type.h"

namespace cuminvane {

/** @return The present UTC time. */
inline TimePoint ReadClock() {
  return std::chrono::time_point_cast<Microseconds>(
      std::chrono::system_clock::now());
}

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_CLOCK_FUNC_H_
