/** @file test_text.h Lets checks compare the project's values and print them.
 */

#ifndef CUMINVANE_TESTS_TEST_TEXT_H_
#define CUMINVANE_TESTS_TEST_TEXT_H_

#include <string>

#include "base/result_type.h"

#include <CppUTest/TestHarness.h>

/** Checks that two result codes are the same, and names both where they are
 * not. */
#define CHECK_CODE(expected, actual) \
  STRCMP_EQUAL(cuminvane::ToString(expected), cuminvane::ToString(actual))

/** Checks that a text contains another. */
#define CHECK_CONTAINS(part, text) \
  CHECK_TEXT((text).find(part) != std::string::npos, (text).c_str())

#endif  // CUMINVANE_TESTS_TEST_TEXT_H_
