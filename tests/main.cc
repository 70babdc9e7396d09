/** @file main.cc Runs all tests. */

#include <sodium.h>

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv) {
  if (sodium_init() < 0)
    return 1;
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
