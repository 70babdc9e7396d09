/** @file schedule_gen.h Generates random fault schedules. */

#ifndef CUMINVANE_TESTS_SCHEDULE_GEN_H_
#define CUMINVANE_TESTS_SCHEDULE_GEN_H_

#include <array>
#include <random>

#include "tests/schedule_run.h"

namespace cuminvane {

/** @return A random schedule; equal states of the engine give equal schedules.
 */
inline Schedule DrawSchedule(std::mt19937_64& random) {
  const auto draw = [&random](int max) {
    return std::uniform_int_distribution<int>(0, max)(random);
  };
  Schedule schedule;
  schedule.seed = random();
  schedule.loss_percent = draw(1) == 0 ? 0 : draw(8);
  schedule.duplicate_percent = draw(1) == 0 ? 0 : draw(20);
  schedule.jitter_ms = 1 + draw(30);
  const int faults = 1 + draw(9);
  const bool only_planned = draw(3) == 0;
  constexpr std::array kPlannedKinds = {
      Fault::Kind::kStopBalancer,  Fault::Kind::kRestartBalancer,
      Fault::Kind::kDrainBackend,  Fault::Kind::kListBackendLeaving,
      Fault::Kind::kPublishConfig, Fault::Kind::kPublishTokenKey};
  if (only_planned)
    schedule.loss_percent = 0;
  for (int fault = 0; fault < faults; ++fault) {
    const Fault::Kind any =
        static_cast<Fault::Kind>(draw(Fault::kKindCount - 1));
    const Fault::Kind planned =
        kPlannedKinds.at(static_cast<size_t>(draw(kPlannedKinds.size() - 1)));
    schedule.faults.push_back(
        {only_planned ? planned : any, draw(1500), draw(1000)});
  }
  return schedule;
}

}  // namespace cuminvane

#endif  // CUMINVANE_TESTS_SCHEDULE_GEN_H_
