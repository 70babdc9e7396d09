/** @file route_table_base.cc Selects the service for the opaque flows of an
 * address. */

#include "packet/route_table_base.h"

#include <algorithm>

namespace cuminvane {
namespace {

/** An answer is late after its class's target time divided by this, so that
 * half of the target remains to try another backend server. */
constexpr int64_t kLateTargetDivisor = 2;
/** Minimum time after which an answer is late. */
constexpr Milliseconds kMinLateAnswerAfter{50};

}  // namespace

ServiceId OpaqueRoute::ServiceOf(FlowId flow) const {
  auto offset = static_cast<int64_t>(flow.value %
                                     static_cast<uint64_t>(this->total_weight));
  for (const SplitShare& part : this->split) {
    if (offset < part.weight)
      return part.service;
    offset -= part.weight;
  }
  return this->split.back().service;
}

RouteTable::RouteTable(const Config& config) {
  for (const WorkClass& work : config.classes) {
    OpaqueRoute route;
    route.work_class = work.id;
    route.split = work.split;
    if (route.split.empty())
      route.split.push_back({work.service, 1});
    route.total_weight = 0;
    for (const SplitShare& part : route.split)
      route.total_weight += part.weight;
    route.late_answer_after = std::max(
        kMinLateAnswerAfter,
        Milliseconds(work.target.answered_within_ms / kLateTargetDivisor));
    for (const Endpoint& address : work.addresses)
      this->routes.emplace(address, route);
  }
}

const OpaqueRoute* RouteTable::Find(const Endpoint& address) const {
  const auto route = this->routes.find(address);
  return route == this->routes.end() ? nullptr : &route->second;
}

}  // namespace cuminvane
