/** @file test_text.h Macros that compare the project's values in tests and
 * print them on failure. */

#ifndef CUMINVANE_TESTS_TEST_TEXT_H_
#define CUMINVANE_TESTS_TEST_TEXT_H_

#include <string>

#include "base/result_type.h"

#include <CppUTest/TestHarness.h>

/** Checks that two result codes are equal; a failure prints both names. */
#define CHECK_CODE(expected, actual) \
  STRCMP_EQUAL(cuminvane::ToString(expected), cuminvane::ToString(actual))

/** Checks that `text` contains `part`; a failure prints `text`. */
#define CHECK_CONTAINS(part, text) \
  CHECK_TEXT((text).find(part) != std::string::npos, (text).c_str())

#endif  // CUMINVANE_TESTS_TEST_TEXT_H_
