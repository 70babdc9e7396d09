/** @file history_check.h Checks the eight guarantees on a history; no other
 * data is used. */

#ifndef CUMINVANE_TESTS_HISTORY_CHECK_H_
#define CUMINVANE_TESTS_HISTORY_CHECK_H_

#include "tests/history_type.h"

namespace cuminvane {

/** @return Every violation of every guarantee; empty if all are kept. */
std::vector<Violation> CheckHistory(const History& history);

}  // namespace cuminvane

#endif  // CUMINVANE_TESTS_HISTORY_CHECK_H_
