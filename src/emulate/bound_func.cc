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
using Slots = std::
    priority_queue<TimePoint, std::vector<TimePoint>, std::greater<TimePoint>>;

std::map<std::string, Slots> MakeSlots(const Experiment& experiment,
                                       TimePoint begin) {
  std::map<std::string, Slots> slots;
  for (const ServicePlan& service : experiment.services) {
    const size_t count = experiment.data_centres.size() *
                         static_cast<size_t>(service.backends * service.slots);
    slots[service.name] = Slots({}, std::vector<TimePoint>(count, begin));
  }
  return slots;
}

/** @return Time a request and its answer are on their way. */
Microseconds TravelTime(const Experiment& experiment, const WorkKind& kind) {
  const Microseconds round =
      2 * experiment.caller_delay + experiment.near_delay;
  // A new flow takes another round for its opening.
  return kind.fresh ? 2 * round : round;
}

}  // namespace

std::vector<RequestRecord> PlayOneQueue(const Experiment& experiment,
                                        const WorldResult& result) {
  std::vector<RequestRecord> requests = result.requests;
  std::ranges::stable_sort(requests, {}, &RequestRecord::asked_at);
  std::map<std::string, Slots> all = MakeSlots(experiment, result.begun_at);
  for (RequestRecord& request : requests) {
    const WorkPlan& plan = experiment.work[request.kind];
    Slots& slots = all.at(plan.service);
    const Microseconds work =
        request.work == Microseconds(0) ? plan.kind.work : request.work;
    const TimePoint starts = std::max(request.asked_at, slots.top());
    if (starts > request.asked_at + plan.kind.deadline) {
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
