/** @file pace_type.h State of the adaptive slow start of a backend server: its
 * capacity weight and how it changes. */

#ifndef CUMINVANE_PACKET_PACE_TYPE_H_
#define CUMINVANE_PACKET_PACE_TYPE_H_

#include <cstdint>

#include "base/time_type.h"

namespace cuminvane {

/** What an answer, or its absence, says about a backend server's capacity. */
enum class AnswerSpeed : uint8_t {
  kNormal,   ///< About as fast as the mean of its service.
  kUnclear,  ///< Slower, but not by enough to reduce its load.
  kSlow,     ///< Much slower, or overdue.
};

/** Why the capacity weight of a backend server has reached 1. */
enum class PaceEnd : uint8_t {
  kTime,      ///< The time after which it rises without answers is over.
  kAnswered,  ///< Its answers were as fast as the mean of its service.
  kLimit,     ///< It stayed slow until the longest slow start was over.
};

/**
 * Adaptive slow start of one backend server, as one balancer knows it. Between
 * two changes the capacity weight rises with time, from `weight` at
 * `changed_at` to 1 at `full_at`.
 */
struct Pace {
  /** When the slow start began; TimePoint{} if none is in progress. */
  TimePoint began_at;
  double weight = 1;        ///< Capacity weight at `changed_at`, from 0 to 1.
  TimePoint changed_at;     ///< Last change by an answer.
  TimePoint full_at;        ///< The weight is 1 from then on.
  TimePoint limited_until;  ///< The weight is 1 from then on, even if answers
                            ///< are slow.
  TimePoint reduced_at;     ///< When the weight was last reduced.
  TimePoint drawn_at;       ///< When a new flow was last drawn for it.
  bool logged = false;      ///< Its begin has been logged.
  /** PoolMember::warm_up_ends_at of the last start. */
  TimePoint warm_up_seen;
  /** Liveness::last_loss_at of the last recovery. */
  TimePoint loss_seen;

  bool operator==(const Pace&) const = default;
};

/** What one balancer may take of the capacity of a backend server in slow
 * start. */
struct PaceShare {
  double slots = 1;  ///< Slots of the backend server.
  /** Balancers among which the backend server's capacity is divided. */
  double balancers = 1;
  /** Share of the capacity that these balancers may take together. */
  double utilisation = 1;
  Microseconds answer_time{1};  ///< Time that an answer is expected to take.

  bool operator==(const PaceShare&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_PACE_TYPE_H_
