/** @file route_type.h Where a caller's packet goes from the balancer that
 * received it. */

#ifndef CUMINVANE_REQUEST_ROUTE_TYPE_H_
#define CUMINVANE_REQUEST_ROUTE_TYPE_H_

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/result_type.h"
#include "message/message_type.h"

namespace cuminvane {

enum class RouteKind : uint8_t {
  kLocal,      ///< This balancer handles it.
  kRelay,      ///< Another balancer handles it.
  kTakeOver,   ///< The owner is out of reach, and this balancer is its witness.
  kOwnerLeft,  ///< The owner has left and owes nothing; anyone may go on.
  kRefuse,     ///< The caller gets a verdict.
};

/** A routing decision. */
struct Route {
  RouteKind kind = RouteKind::kRefuse;
  ResultCode code = ResultCode::kOk;  ///< For kRefuse.
  VmId peer;                          ///< For kRelay.
  Endpoint peer_address;              ///< For kRelay.
  const char* reason = "";

  bool operator==(const Route&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_ROUTE_TYPE_H_
