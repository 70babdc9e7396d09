/** @file bound_func.cc One queue before all slots of a service. */

#include "emulate/bound_func.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <string>

namespace cuminvane::emulate {
namespace {

/** When each slot of a service is free again. */
using SlotFreeTimes = std::
    priority_queue<TimePoint, std::vector<TimePoint>, std::greater<TimePoint>>;

std::map<std::string, SlotFreeTimes> MakeSlotFreeTimes(
    const Experiment& experiment,
    TimePoint begin) {
  std::map<std::string, SlotFreeTimes> slots;
  for (const ServicePlan& service : experiment.services) {
    const size_t count = experiment.data_centres.size() *
                         static_cast<size_t>(service.backends * service.slots);
    slots[service.name] =
        SlotFreeTimes({}, std::vector<TimePoint>(count, begin));
  }
  return slots;
}

/** @return Time a request and its answer are on their way. */
Microseconds TravelTime(const Experiment& experiment, const RequestKind& kind) {
  const Microseconds round =
      2 * experiment.caller_delay + experiment.local_delay;
  // A new flow takes another round for its opening.
  return kind.flow_per_request ? 2 * round : round;
}

}  // namespace

std::vector<RequestRecord> SimulateSingleQueue(const Experiment& experiment,
                                               const WorldResult& result) {
  std::vector<RequestRecord> requests = result.requests;
  std::ranges::stable_sort(requests, {}, &RequestRecord::issued_at);
  std::map<std::string, SlotFreeTimes> all =
      MakeSlotFreeTimes(experiment, result.load_started_at);
  for (RequestRecord& request : requests) {
    const RequestPlan& plan = experiment.work[request.kind];
    SlotFreeTimes& slots = all.at(plan.service);
    const Microseconds work =
        request.work == Microseconds(0) ? plan.kind.work : request.work;
    const TimePoint starts = std::max(request.issued_at, slots.top());
    if (starts > request.issued_at + plan.kind.deadline) {
      request.end = RequestEnd::kDeadline;
      continue;
    }
    slots.pop();
    slots.push(starts + work);
    request.end = RequestEnd::kDone;
    request.ended_at = starts + work + TravelTime(experiment, plan.kind);
  }
  return requests;
}

}  // namespace cuminvane::emulate
