/** @file route_table_base.cc Routes of opaque flows. */

#include "packet/route_table_base.h"

#include <algorithm>

namespace cuminvane {
namespace {

/** An answer is late when half of its target has passed; what is left is
 * enough to try elsewhere. */
constexpr int64_t kLateShare = 2;
constexpr Milliseconds kLeastLate{50};

}  // namespace

ServiceId OpaqueRoute::ServiceOf(FlowId flow) const {
  auto place = static_cast<int64_t>(flow.value %
                                    static_cast<uint64_t>(this->total_weight));
  for (const SplitPart& part : this->parts) {
    if (place < part.weight)
      return part.service;
    place -= part.weight;
  }
  return this->parts.back().service;
}

RouteTable::RouteTable(const Config& config) {
  for (const WorkClass& work : config.classes) {
    OpaqueRoute route;
    route.work_class = work.id;
    route.parts = work.split;
    if (route.parts.empty())
      route.parts.push_back({work.service, 1});
    route.total_weight = 0;
    for (const SplitPart& part : route.parts)
      route.total_weight += part.weight;
    route.late_after = std::max(
        kLeastLate, Milliseconds(work.target.answered_within_ms / kLateShare));
    for (const Endpoint& address : work.addresses)
      this->routes.emplace(address, route);
  }
}

const OpaqueRoute* RouteTable::Find(const Endpoint& address) const {
  const auto route = this->routes.find(address);
  return route == this->routes.end() ? nullptr : &route->second;
}

}  // namespace cuminvane
