/** @file route_table_base.cc Routes of opaque flows. */

#include "packet/route_table_base.h"

#include <algorithm>

namespace cuminvane {
namespace {

/** An answer is late when half of its target has passed; what is left is
 * enough to try elsewhere. */
constexpr int64_t kLateTargetDivisor = 2;
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
