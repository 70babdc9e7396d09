/** @file bound_func.h A bound that no placement can exceed: a single queue for
 * all slots of a service. */

#ifndef CUMINVANE_EMULATE_BOUND_FUNC_H_
#define CUMINVANE_EMULATE_BOUND_FUNC_H_

#include <vector>

#include "emulate/world_base.h"

namespace cuminvane::emulate {

/**
 * Simulates the requests of a run with a single first-come, first-served queue
 * for all slots of each service. All backend servers are warm and reachable,
 * and nothing is lost.
 * @return The requests with the ends that the simulation gives them.
 */
std::vector<RequestRecord> SimulateSingleQueue(const Experiment& experiment,
                                               const WorldResult& result);

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_BOUND_FUNC_H_
