/** @file bound_func.cc Simulates a single queue for all slots of a service. */

#include "emulate/bound_func.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <string>

namespace cuminvane::emulate {
namespace {

/** When each slot of a service becomes free, earliest first. */
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

/** @return Time that a request and its answer spend in transit. */
Microseconds TravelTime(const Experiment& experiment, const RequestKind& kind) {
  const Microseconds round_trip =
      2 * experiment.caller_delay + experiment.local_delay;
  // Opening a flow for the request takes another round trip.
  return kind.flow_per_request ? 2 * round_trip : round_trip;
}

}  // namespace

std::vector<RequestRecord> SimulateSingleQueue(const Experiment& experiment,
                                               const WorldResult& result) {
  std::vector<RequestRecord> requests = result.requests;
  std::ranges::stable_sort(requests, {}, &RequestRecord::issued_at);
  std::map<std::string, SlotFreeTimes> slots_by_service =
      MakeSlotFreeTimes(experiment, result.load_started_at);
  for (RequestRecord& request : requests) {
    const RequestPlan& plan = experiment.request_plans[request.kind];
    SlotFreeTimes& slots = slots_by_service.at(plan.service);
    const Microseconds work =
        request.work == Microseconds(0) ? plan.kind.mean_work : request.work;
    const TimePoint start_at = std::max(request.issued_at, slots.top());
    if (start_at > request.issued_at + plan.kind.deadline) {
      request.end = RequestEnd::kDeadline;
      continue;
    }
    slots.pop();
    slots.push(start_at + work);
    request.end = RequestEnd::kDone;
    request.ended_at = start_at + work + TravelTime(experiment, plan.kind);
  }
  return requests;
}

}  // namespace cuminvane::emulate
