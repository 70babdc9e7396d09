/** @file history_type.h One history of a run: what callers, balancers and
 * backend servers did, in order of time. */

#ifndef CUMINVANE_TESTS_HISTORY_TYPE_H_
#define CUMINVANE_TESTS_HISTORY_TYPE_H_

#include <string>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace cuminvane {

/** One thing that happened. */
struct HistoryEvent {
  enum class Kind : uint8_t {
    kInvoke,    ///< A caller sent a request.
    kAnswered,  ///< It got an answer; `whole` tells whether it is the right
                ///< one.
    kNotRun,    ///< It was told that the request was not run.
    kOutcomeUnknown,   ///< It was told that the outcome is unknown, or nothing.
    kStarted,          ///< A backend server started to run it.
    kAccepted,         ///< A backend server took it.
    kWrongService,     ///< A backend server got a request that was meant for
                       ///< another service.
    kConfigActive,     ///< A balancer has this configuration in force.
    kConfigPublished,  ///< A configuration was published where a balancer could
                       ///< read it.
    kDrainStarted,     ///< A backend server was declared as leaving.
    kFaultsEnded,      ///< From here on everything is up and connected.
    kFlowAnswered,     ///< After all faults a flow answered again.
    kFlowBroken,       ///< After all faults a flow did not answer any more.
    kPlannedChangesOnly,  ///< Nothing fails in this run; all changes are
                          ///< planned.
  };

  Kind kind = Kind::kInvoke;
  TimePoint at;
  std::string tag;          ///< Of the request.
  bool idempotent = false;  ///< For kInvoke.
  bool whole = false;       ///< For kAnswered.
  uint32_t vm = 0;          ///< Balancer or backend server.
  uint64_t version = 0;     ///< Of a configuration.

  bool operator==(const HistoryEvent&) const = default;
};

using History = std::vector<HistoryEvent>;

/** One way in which a history breaks a promise. */
struct Violation {
  std::string promise;
  std::string what;

  bool operator==(const Violation&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_TESTS_HISTORY_TYPE_H_
