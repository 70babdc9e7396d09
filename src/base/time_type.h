/** @file time_type.h Points in time and spans; the core never reads a clock, it
 * is handed these. */

#ifndef CUMINVANE_BASE_TIME_TYPE_H_
#define CUMINVANE_BASE_TIME_TYPE_H_

#include <chrono>
#include <cstdint>

namespace cuminvane {

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/** UTC in microseconds since the Unix epoch; all deadlines are stored as one of
 * these. */
using TimePoint = std::chrono::sys_time<Microseconds>;

/** A deadline that never passes. */
inline constexpr TimePoint kNever = TimePoint::max();

/**
 * @param at A point in time.
 * @return Microseconds since the Unix epoch, as datagrams carry it.
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
