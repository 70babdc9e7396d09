/** @file bound_func.h What no placement can do better than: one queue before
 * all slots of a service. */

#ifndef CUMINVANE_EMULATE_BOUND_FUNC_H_
#define CUMINVANE_EMULATE_BOUND_FUNC_H_

#include <vector>

#include "emulate/world_base.h"

namespace cuminvane::emulate {

/**
 * Plays a run's requests once more, each service with one queue before all its
 * slots, all of them warm and within reach, and nothing lost on the way.
 * @return The requests as they end there.
 */
std::vector<RequestRecord> SimulateSingleQueue(const Experiment& experiment,
                                               const WorldResult& result);

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_BOUND_FUNC_H_
