/** @file history_type.h The history of a simulated run: the events at callers,
 * balancers and backend servers, in order of time. */

#ifndef CUMINVANE_TESTS_HISTORY_TYPE_H_
#define CUMINVANE_TESTS_HISTORY_TYPE_H_

#include <string>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace cuminvane {

/** One event of a history. */
struct HistoryEvent {
  enum class Kind : uint8_t {
    kInvoke,    ///< A caller sent a request.
    kAnswered,  ///< A caller got an answer; `answer_complete` says whether it
                ///< is complete and correct.
    kNotRun,    ///< A caller was told that its request was not run.
    kOutcomeUnknown,   ///< A caller was told that the outcome of its request is
                       ///< unknown. A request without any end has no event.
    kStarted,          ///< A backend server started a run of the request.
    kAccepted,         ///< A backend server accepted a run of the request.
    kWrongService,     ///< A backend server got a request of another service.
    kConfigActive,     ///< The configuration `version` became active at a
                       ///< balancer.
    kConfigPublished,  ///< The configuration `version` was published where at
                       ///< least one balancer could read it.
    kDrainStarted,     ///< A backend server was declared as leaving.
    kFaultsEnded,      ///< From here on every process is up and connected.
    kFlowAnswered,  ///< After all faults, a request on the flow was answered.
    kFlowBroken,    ///< After all faults, no request on the flow was answered.
    kPlannedChangesOnly,  ///< The run has planned changes only and no failures.
  };

  Kind kind = Kind::kInvoke;
  TimePoint at;
  std::string
      tag;  ///< Tag of the request, or the name of the flow for kFlowAnswered
            ///< and kFlowBroken; empty if neither applies.
  bool idempotent = false;  ///< For kInvoke: whether the request is idempotent.
  bool answer_complete =
      false;  ///< For kAnswered: whether the answer is complete and correct.
  uint32_t vm =
      0;  ///< VM of the balancer or backend server; 0 for events of callers.
  uint64_t version = 0;  ///< For kConfigActive and kConfigPublished: version of
                         ///< the configuration.

  bool operator==(const HistoryEvent&) const = default;
};

using History = std::vector<HistoryEvent>;

/** A guarantee that a history violates. */
struct Violation {
  std::string guarantee;    ///< Name of the guarantee.
  std::string description;  ///< The request, flow, or balancer concerned and
                            ///< what was found.

  bool operator==(const Violation&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_TESTS_HISTORY_TYPE_H_
