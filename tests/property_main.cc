/** @file property_main.cc rapidcheck draws fault schedules, checks every
 * promise, and shrinks a failure. */

#include <rapidcheck.h>
#include <sodium.h>

#include <cstdlib>

#include "tests/history_check.h"
#include "tests/schedule_run.h"

using cuminvane::Fault;
using cuminvane::Schedule;

namespace rc {

template <>
struct Arbitrary<Fault> {
  static Gen<Fault> arbitrary() {
    return gen::build<Fault>(
        gen::set(&Fault::kind, gen::map(gen::inRange(0, Fault::kKinds),
                                        [](int kind) {
                                          return static_cast<Fault::Kind>(kind);
                                        })),
        gen::set(&Fault::after_ms, gen::inRange(0, 1500)),
        gen::set(&Fault::who, gen::inRange(0, 1000)));
  }
};

template <>
struct Arbitrary<Schedule> {
  static Gen<Schedule> arbitrary() {
    return gen::build<Schedule>(
        gen::set(&Schedule::seed),
        gen::set(&Schedule::loss_percent, gen::inRange(0, 8)),
        gen::set(&Schedule::duplicate_percent, gen::inRange(0, 20)),
        gen::set(&Schedule::jitter_ms, gen::inRange(1, 30)),
        gen::set(&Schedule::faults));
  }
};

}  // namespace rc

int main() {
  if (sodium_init() < 0)
    return EXIT_FAILURE;
  // The same schedules in every run; the environment may ask for others.
  constexpr int kKeepOther = 0;
  setenv("RC_PARAMS", "seed=1 max_success=60", kKeepOther);
  const bool held =
      rc::check("every promise holds", [](const Schedule& schedule) {
        const std::vector<cuminvane::Violation> violations =
            cuminvane::CheckHistory(cuminvane::RunSchedule(schedule));
        if (!violations.empty())
          RC_FAIL(violations.front().guarantee + " " + violations.front().what);
      });
  return held ? EXIT_SUCCESS : EXIT_FAILURE;
}
