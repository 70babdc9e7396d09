/** @file main.cc Runs all tests. */

#include <sodium.h>

#include <cstdlib>

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv) {
  if (sodium_init() < 0)
    return 1;
  // The same schedules in every run; another environment may ask for others.
  constexpr int kKeepOther = 0;
  setenv("RC_PARAMS", "seed=1 max_success=60", kKeepOther);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
