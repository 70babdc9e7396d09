/** @file pace_func.h Rules of the adaptive slow start of a backend server. */

#ifndef CUMINVANE_PACKET_PACE_FUNC_H_
#define CUMINVANE_PACKET_PACE_FUNC_H_

#include "packet/pace_type.h"

namespace cuminvane {

/** @return Whether a slow start is in progress. */
inline bool IsPaced(const Pace& pace) {
  return pace.began_at != TimePoint{};
}

/** @return The capacity weight, from 0 to 1; 1 without a slow start. */
double WeightAt(const Pace& pace, TimePoint now);

/**
 * @param before State before, of which the causes seen are kept.
 * @param full_at When the weight reaches 1 if there are no answers.
 * @return State at the begin of a slow start.
 */
Pace BeginPace(const Pace& before, TimePoint now, TimePoint full_at);

/**
 * @param time Time that the answer took, or for which it is overdue.
 * @param mean_answer_ms Mean answer time of the service; 0 means unknown.
 * @return What that says about the backend server's capacity.
 */
AnswerSpeed SpeedOf(Microseconds time, double mean_answer_ms);

/** @return State after an answer, or after its absence. */
Pace AfterAnswer(const Pace& pace,
                 AnswerSpeed speed,
                 const PaceShare& share,
                 TimePoint now);

/**
 * The aggregate of all balancers is bounded without messages between them: the
 * chances add up to the rate at which the backend server can process the
 * weighted share of its slots, however the new flows are distributed over the
 * balancers.
 * @return Chance that a new flow goes to the backend server.
 */
double PlacementChance(const Pace& pace, const PaceShare& share, TimePoint now);

/** @return Maximum number of unanswered flows of this balancer. */
int UnansweredLimit(const Pace& pace, const PaceShare& share, TimePoint now);

/** @return Why the weight is 1; only valid if it is. */
PaceEnd EndOf(const Pace& pace, TimePoint now);

/** @return The name of the reason in logs. */
const char* ToString(PaceEnd end);

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_PACE_FUNC_H_
