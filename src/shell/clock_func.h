/** @file clock_func.h Reads the clock; no other file of the balancer does. */

#ifndef CUMINVANE_SHELL_CLOCK_FUNC_H_
#define CUMINVANE_SHELL_CLOCK_FUNC_H_

#include "base/time_type.h"

namespace cuminvane {

/**
 * @return Current time: the UTC time at the first call plus the time since then
 * by a monotonic clock that also runs while the VM is suspended. A step of the
 * system clock therefore doesn't move deadlines.
 */
TimePoint ReadClock();

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_CLOCK_FUNC_H_
