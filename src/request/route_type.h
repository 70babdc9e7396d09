/** @file route_type.h Routing decision of a balancer for a packet from a
 * caller. */

#ifndef CUMINVANE_REQUEST_ROUTE_TYPE_H_
#define CUMINVANE_REQUEST_ROUTE_TYPE_H_

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/result_type.h"
#include "message/message_type.h"

namespace cuminvane {

/** What a balancer does with a packet from a caller. */
enum class RouteKind : uint8_t {
  kLocal,     ///< This balancer handles the packet.
  kRelay,     ///< Relays the packet to another balancer.
  kTakeOver,  ///< Takes over the flow as its witness; the owner is unreachable.
  kOwnerLeft,  ///< Assigns a new owner, which any balancer may do; the owner
               ///< has stopped without unfinished requests.
  kRefuse,     ///< Refuses the packet and sends the caller a result code.
};

/** A routing decision. */
struct Route {
  RouteKind kind = RouteKind::kRefuse;
  ResultCode code = ResultCode::kOk;  ///< Result code if `kind` is kRefuse.
  /** Balancer to relay to if `kind` is kRelay. In log lines about a route also
   * the previous or next owner, or the backend server, of the flow. */
  VmId peer;
  Endpoint peer_address;    ///< Peer address of `peer` if `kind` is kRelay.
  const char* reason = "";  ///< Reason of the decision, for the log.

  bool operator==(const Route&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_ROUTE_TYPE_H_
