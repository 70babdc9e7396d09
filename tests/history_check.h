/** @file history_check.h A checker for each of the eight promises; each reads
 * the history alone. */

#ifndef CUMINVANE_TESTS_HISTORY_CHECK_H_
#define CUMINVANE_TESTS_HISTORY_CHECK_H_

#include "tests/history_type.h"

namespace cuminvane {

/** @return Every violation of every promise. */
std::vector<Violation> CheckHistory(const History& history);

}  // namespace cuminvane

#endif  // CUMINVANE_TESTS_HISTORY_CHECK_H_
