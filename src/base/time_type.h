/** @file time_type.h Types for points in time and durations. The protocol code
 * never reads a clock; the time is always a parameter. */

#ifndef CUMINVANE_BASE_TIME_TYPE_H_
#define CUMINVANE_BASE_TIME_TYPE_H_

#include <chrono>
#include <cstdint>

namespace cuminvane {

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/** A point in time, UTC, in microseconds since the Unix epoch. */
using TimePoint = std::chrono::sys_time<Microseconds>;

/** A point in time that is never reached, for timers and deadlines that aren't
 * set. */
inline constexpr TimePoint kNever = TimePoint::max();

/**
 * @param at A point in time.
 * @return Microseconds since the Unix epoch, the time format of datagrams.
 */
constexpr int64_t ToUnixMicroseconds(TimePoint at) {
  return at.time_since_epoch().count();
}

/**
 * @param since_epoch Microseconds since the Unix epoch.
 * @return The point in time.
 */
constexpr TimePoint FromUnixMicroseconds(int64_t since_epoch) {
  return TimePoint(Microseconds(since_epoch));
}

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_TIME_TYPE_H_
