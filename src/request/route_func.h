/** @file route_func.h Chooses the balancer that handles a caller's packet. */

#ifndef CUMINVANE_REQUEST_ROUTE_FUNC_H_
#define CUMINVANE_REQUEST_ROUTE_FUNC_H_

#include "member/blackboard_base.h"
#include "request/route_type.h"
#include "request/token_type.h"

namespace cuminvane {

/**
 * Verifies that a token is authentic and valid for a packet.
 * @param blackboard Snapshot of the blackboard.
 * @param service Service address that the caller sent the packet to.
 * @param flow Flow that the packet names.
 * @param token_bytes The token in the packet.
 * @return The content of the token; kUnknownService, kTruncated, kGarbage,
 * kUnknownKey, kBadMac, kWrongService or kWrongFlow.
 */
Result<FlowToken> CheckToken(const BlackboardView& blackboard,
                             const Endpoint& service,
                             FlowId flow,
                             const Blob& token_bytes);

/** Maximum number of times that a packet is relayed between balancers: once to
 * the owner, or to the witness and from the witness to the owner. */
inline constexpr int kMaxHops = 2;

/**
 * Routes a packet to the only balancer that may handle it.
 * @param blackboard Snapshot of the blackboard.
 * @param holder Instance of the balancer that must handle the packet.
 * @param hops Number of relays that the packet has taken so far.
 * @return kLocal, kRelay, or kRefuse with kOwnerLost.
 */
Route RouteToHolder(const BlackboardView& blackboard,
                    const VmInstance& holder,
                    int hops);

/**
 * Routes a request. This balancer handles an idempotent request itself; a
 * non-idempotent one goes to the flow's owner, or to its witness if the owner
 * is unreachable.
 * @param blackboard Snapshot of the blackboard.
 * @param token Content of the flow's token.
 * @param work_class Class of work that the request names.
 * @param hops Number of relays that the packet has taken so far.
 * @return kLocal, kRelay, kTakeOver, kOwnerLeft, or kRefuse with kOwnerLost.
 */
Route RouteRequest(const BlackboardView& blackboard,
                   const FlowToken& token,
                   ClassId work_class,
                   int hops);

/**
 * @param blackboard Snapshot of the blackboard.
 * @param token Content of a flow's token.
 * @return Whether the flow can keep its owner and its witness, if it has one:
 * both are reachable as the instances named in the token, and neither is
 * stopping.
 */
bool CanKeepOwner(const BlackboardView& blackboard, const FlowToken& token);

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_ROUTE_FUNC_H_
