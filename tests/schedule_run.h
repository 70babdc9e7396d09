/** @file schedule_run.h Runs a schedule of faults and planned changes against a
 * fake fleet under load and records the history. */

#ifndef CUMINVANE_TESTS_SCHEDULE_RUN_H_
#define CUMINVANE_TESTS_SCHEDULE_RUN_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "tests/history_type.h"

namespace cuminvane {

/** A fault or a planned change. */
struct Fault {
  enum class Kind : uint8_t {
    kKillBalancer,     ///< Ends a balancer without shutdown.
    kRestartBalancer,  ///< Starts a balancer that is down.
    kPauseBalancer,    ///< Stalls a balancer.
    kResumeBalancer,   ///< Ends the stall of a balancer.
    kStopBalancer,     ///< Starts the graceful shutdown of a balancer.
    kCutLink,          ///< Cuts the link between two balancers.
    kHealAllLinks,     ///< Restores all links.
    kRestartBackend,   ///< Replaces a backend server by its next incarnation.
    kDrainBackend,     ///< Publishes the drain of a backend server.
    kListBackendLeaving,  ///< One balancer only reads a list of VMs with a
                          ///< leaving backend server.
    kPublishConfig,       ///< One balancer only reads a new configuration.
    kPublishTokenKey,  ///< One balancer only reads a new configuration with one
                       ///< more token key.
  };
  static constexpr int kKindCount = 12;  ///< Number of values of Kind.

  Kind kind = Kind::kKillBalancer;
  int delay_ms = 0;  ///< Time since the previous fault, in milliseconds.
  int target_selector =
      0;  ///< Selects the balancer or backend server, modulo their number.

  bool operator==(const Fault&) const = default;
};

/** The parameters of one simulated run. */
struct Schedule {
  uint64_t seed = 1;          ///< Seed of the fake fleet.
  int loss_percent = 0;       ///< Share of datagrams that are lost.
  int duplicate_percent = 0;  ///< Share of datagrams that are delivered twice.
  int jitter_ms =
      1;  ///< Maximum random extra delay of a datagram, in milliseconds.
  std::vector<Fault> faults;  ///< Faults in order of time.

  bool operator==(const Schedule&) const = default;
};

/** @return The schedule as text, in the form that ParseSchedule reads. */
std::string FormatSchedule(const Schedule& schedule);
/** @return The schedule; text from the first unreadable number on is ignored.
 */
Schedule ParseSchedule(const std::string& text);
/** Prints the command that repeats the schedule, for failures found by
 * rapidcheck. */
std::ostream& operator<<(std::ostream& out, const Schedule& schedule);

/** @return The events of the run, in order of time. */
History RunSchedule(const Schedule& schedule);

}  // namespace cuminvane

#endif  // CUMINVANE_TESTS_SCHEDULE_RUN_H_
