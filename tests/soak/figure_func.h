/** @file figure_func.h Prints the figures of a demo of the soak test. */

#ifndef CUMINVANE_TESTS_SOAK_FIGURE_FUNC_H_
#define CUMINVANE_TESTS_SOAK_FIGURE_FUNC_H_

#include <deque>

#include "emulate/caller_model.h"

namespace cuminvane::soak {

/**
 * Prints how many requests of a kind were answered, and how fast.
 * @param index Index of the kind in the records of the callers.
 * @param issued_until Later requests are not counted.
 */
void PrintFiguresOf(const emulate::RequestKind& kind,
                    size_t index,
                    const std::deque<emulate::CallerModel>& callers,
                    TimePoint issued_until);

}  // namespace cuminvane::soak

#endif  // CUMINVANE_TESTS_SOAK_FIGURE_FUNC_H_
