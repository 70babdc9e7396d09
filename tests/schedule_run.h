/** @file schedule_run.h Runs a schedule of faults against a fake fleet under
 * load and keeps the history. */

#ifndef CUMINVANE_TESTS_SCHEDULE_RUN_H_
#define CUMINVANE_TESTS_SCHEDULE_RUN_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "tests/history_type.h"

namespace cuminvane {

/** Something that goes wrong, or is planned. */
struct Fault {
  enum class Kind : uint8_t {
    kKill,
    kRestart,
    kPause,
    kResume,
    kStop,
    kCut,
    kHeal,
    kRestartBackend,
    kDrainBackend,
    kListLeaving,  ///< One balancer alone sees a backend server as leaving.
    kPublish,      ///< One balancer alone reads a new configuration.
    kRotateKey,    ///< As kPublish, with a new token key.
  };
  static constexpr int kKinds = 12;

  Kind kind = Kind::kKill;
  int after_ms = 0;  ///< After the fault before.
  int who = 0;       ///< Chooses the VM.

  bool operator==(const Fault&) const = default;
};

/** A whole run. */
struct Schedule {
  uint64_t seed = 1;
  int loss_percent = 0;
  int duplicate_percent = 0;
  int jitter_ms = 1;
  std::vector<Fault> faults;

  bool operator==(const Schedule&) const = default;
};

/** @return The schedule in the form that ParseSchedule reads. */
std::string FormatSchedule(const Schedule& schedule);
/** @return The schedule; what can't be read is left out. */
Schedule ParseSchedule(const std::string& text);
/** Prints a schedule, for shrunk failures. */
std::ostream& operator<<(std::ostream& out, const Schedule& schedule);

/** @return What happened. */
History RunSchedule(const Schedule& schedule);

}  // namespace cuminvane

#endif  // CUMINVANE_TESTS_SCHEDULE_RUN_H_
