/** @file route_table_base.h Selects the service for the opaque flows of an
 * address. */

#ifndef CUMINVANE_PACKET_ROUTE_TABLE_BASE_H_
#define CUMINVANE_PACKET_ROUTE_TABLE_BASE_H_

#include <unordered_map>
#include <vector>

#include "document/config_type.h"

namespace cuminvane {

/** Route of the opaque flows of one address. */
struct OpaqueRoute {
  ClassId work_class;             ///< Class of work that has the address.
  std::vector<SplitShare> split;  ///< Services and their weights; never empty.
  int64_t total_weight = 1;       ///< Sum of the weights; above 0.
  Milliseconds late_answer_after{0};  ///< An answer is late after this time,
                                      ///< which is a failure signal.

  bool operator==(const OpaqueRoute&) const = default;

  /** @return The service of a flow, drawn by weight from its hash, so that all
   * balancers select the same one. */
  ServiceId ServiceOf(FlowId flow) const;
};

/** Routes of opaque flows by address, made from one configuration. */
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(const Config& config);

  /** @return The route; null if no class of work has the address. */
  const OpaqueRoute* Find(const Endpoint& address) const;
  /** @return Number of routes. */
  size_t Size() const { return this->routes.size(); }

 private:
  std::unordered_map<Endpoint, OpaqueRoute> routes;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_ROUTE_TABLE_BASE_H_
