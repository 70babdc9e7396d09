/** @file route_table_base.h Which service takes the opaque flows of an address.
 */

#ifndef CUMINVANE_PACKET_ROUTE_TABLE_BASE_H_
#define CUMINVANE_PACKET_ROUTE_TABLE_BASE_H_

#include <unordered_map>
#include <vector>

#include "document/config_type.h"

namespace cuminvane {

/** Where the opaque flows of one address go. */
struct OpaqueRoute {
  ClassId work_class;
  std::vector<SplitShare> split;  ///< At least one, weights above 0 in sum.
  int64_t total_weight = 1;
  Milliseconds late_answer_after{
      0};  ///< An answer that takes longer is suspicious.

  bool operator==(const OpaqueRoute&) const = default;

  /** @return The service of a new flow; the same at every balancer. */
  ServiceId ServiceOf(FlowId flow) const;
};

/** The routes of one configuration. */
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(const Config& config);

  /** @return The route, null where no class has the address. */
  const OpaqueRoute* Find(const Endpoint& address) const;
  /** @return Number of routes. */
  size_t Size() const { return this->routes.size(); }

 private:
  std::unordered_map<Endpoint, OpaqueRoute> routes;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_ROUTE_TABLE_BASE_H_
