/** @file clock_func.h The one place where a clock is read. */

#ifndef CUMINVANE_SHELL_CLOCK_FUNC_H_
#define CUMINVANE_SHELL_CLOCK_FUNC_H_

#include "base/time_type.h"

namespace cuminvane {

/**
 * @return UTC as it was when the process started, and what has passed since by
 * a clock that nobody sets and that counts a suspended VM's time too. A jump of
 * the time of day moves no deadline.
 */
TimePoint ReadClock();

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_CLOCK_FUNC_H_
