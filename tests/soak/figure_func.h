/** @file figure_func.h Prints the figures of a demo of the soak test. */

#ifndef CUMINVANE_TESTS_SOAK_FIGURE_FUNC_H_
#define CUMINVANE_TESTS_SOAK_FIGURE_FUNC_H_

#include <deque>
#include <vector>

#include "emulate/caller_model.h"

namespace cuminvane::soak {

/**
 * Prints the numbers of broken guarantees and of flows reset, and how many
 * requests of each kind were answered and how fast.
 * @param kinds Kinds of request, in the order of the callers' records.
 * @param issued_until Later requests are not counted.
 * @param violations Number of broken guarantees.
 */
void PrintFigures(const std::vector<emulate::RequestKind>& kinds,
                  const std::deque<emulate::CallerModel>& callers,
                  TimePoint issued_until,
                  size_t violations);

}  // namespace cuminvane::soak

#endif  // CUMINVANE_TESTS_SOAK_FIGURE_FUNC_H_
