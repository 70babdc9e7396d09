/** @file caller_timing.h How long a caller waits before it asks again. */

#ifndef CUMINVANE_CALLER_CALLER_TIMING_H_
#define CUMINVANE_CALLER_CALLER_TIMING_H_

#include <algorithm>

#include "base/time_type.h"

namespace cuminvane {

/** Before the first repeat of what got no answer; doubles up to the most. */
inline constexpr Milliseconds kFirstBackoff{150};
inline constexpr Milliseconds kMostBackoff{1200};
/** Silence after which missing parts are asked for. */
inline constexpr Milliseconds kPartGap{60};
/** Silence after which the balancer that has the request is asked how it
 * stands. */
inline constexpr Milliseconds kStateInterval{600};

/** @return The wait after this one; 0 is before the first. */
inline Milliseconds NextBackoff(Milliseconds backoff) {
  return backoff.count() == 0 ? kFirstBackoff
                              : std::min(backoff * 2, kMostBackoff);
}

}  // namespace cuminvane

#endif  // CUMINVANE_CALLER_CALLER_TIMING_H_
