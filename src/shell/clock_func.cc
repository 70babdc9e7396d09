/** @file clock_func.cc Implementation of the clock. */

#include "shell/clock_func.h"

#include <ctime>

namespace cuminvane {
namespace {

Microseconds ReadBootTime() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<Microseconds>(
      Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace

TimePoint ReadClock() {
  static const TimePoint boot = std::chrono::time_point_cast<Microseconds>(
                                    std::chrono::system_clock::now()) -
                                ReadBootTime();
  return boot + ReadBootTime();
}

}  // namespace cuminvane
