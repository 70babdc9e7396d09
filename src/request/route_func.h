/** @file route_func.h Decides where a caller's packet goes. */

#ifndef CUMINVANE_REQUEST_ROUTE_FUNC_H_
#define CUMINVANE_REQUEST_ROUTE_FUNC_H_

#include "member/blackboard_base.h"
#include "request/route_type.h"
#include "request/token_type.h"

namespace cuminvane {

/**
 * Checks a caller's token for a packet.
 * @param board Present beliefs.
 * @param service Address the packet came in by.
 * @param flow Flow that the packet names.
 * @param token_bytes The token as sent.
 * @return The token; kUnknownService, kTruncated, kGarbage, kUnknownKey,
 * kBadMac, kWrongService or kWrongFlow.
 */
Result<FlowToken> CheckToken(const BlackboardView& blackboard,
                             const Endpoint& service,
                             FlowId flow,
                             const Blob& token_bytes);

/** Relays that one packet may take: to the owner, or to the witness and from
 * there to the owner. */
inline constexpr int kMaxHops = 2;

/**
 * Routes work to the one balancer that may handle it.
 * @param board Present beliefs.
 * @param holder The balancer that must handle it.
 * @param hops Relays that the packet has taken.
 * @return Local, relay, or a refusal with kOwnerLost.
 */
Route RouteToHolder(const BlackboardView& blackboard,
                    const VmInstance& holder,
                    int hops);

/**
 * Routes a request: idempotent work stays here, other work goes to the flow's
 * owner, or to its witness where the owner is out of reach.
 * @param board Present beliefs.
 * @param token The flow's token.
 * @param work_class Class that the request names.
 * @param hops As for RouteToHolder.
 * @return Local, relay, take-over, or a refusal with kOwnerLost.
 */
Route RouteRequest(const BlackboardView& blackboard,
                   const FlowToken& token,
                   ClassId work_class,
                   int hops);

/**
 * @param board Present beliefs.
 * @param token A flow's token.
 * @return Whether the flow can stay with its owner and witness: both are there,
 * and the owner is not leaving.
 */
bool CanKeepOwner(const BlackboardView& blackboard, const FlowToken& token);

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_ROUTE_FUNC_H_
