/** @file caller_timing.h Retransmission and query intervals of a caller. */

#ifndef CUMINVANE_CALLER_CALLER_TIMING_H_
#define CUMINVANE_CALLER_CALLER_TIMING_H_

#include <algorithm>

#include "base/time_type.h"

namespace cuminvane {

/** Time before the first retransmission of an unanswered message. Each further
 * retransmission doubles it, up to kMaxBackoff. */
inline constexpr Milliseconds kInitialBackoff{150};
inline constexpr Milliseconds kMaxBackoff{1200};
/** Time without a new part of an answer, or with a gap in a feed, after which
 * the caller asks for what is missing. */
inline constexpr Milliseconds kGapTimeout{60};
/** Time without a message about a recorded request after which the caller asks
 * its holder for the request's state. */
inline constexpr Milliseconds kStatusQueryInterval{600};

/**
 * @param backoff The previous wait, 0 before the first retransmission.
 * @return The wait until the next retransmission.
 */
inline Milliseconds NextBackoff(Milliseconds backoff) {
  return backoff.count() == 0 ? kInitialBackoff
                              : std::min(backoff * 2, kMaxBackoff);
}

}  // namespace cuminvane

#endif  // CUMINVANE_CALLER_CALLER_TIMING_H_
