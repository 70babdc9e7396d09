/** @file route_func.h Decides where a caller's packet goes. */

#ifndef CUMINVANE_CORE_ROUTE_FUNC_H_
#define CUMINVANE_CORE_ROUTE_FUNC_H_

#include "core/board_base.h"
#include "core/route_type.h"
#include "core/token_type.h"

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
Result<FlowToken> CheckToken(const BoardView& board,
                             const Endpoint& service,
                             FlowId flow,
                             const Blob& token_bytes);

/**
 * Routes work to the one balancer that may handle it.
 * @param board Present beliefs.
 * @param holder The balancer that must handle it.
 * @param relayed Whether the packet has been relayed already; it is not relayed
 * twice.
 * @return Local, relay, or kOwnerLost.
 */
Route RouteToHolder(const BoardView& board, const Holder& holder, bool relayed);

/**
 * Routes a request: idempotent work stays here, other work goes to the flow's
 * owner.
 * @param board Present beliefs.
 * @param token The flow's token.
 * @param work_class Class that the request names.
 * @param relayed As for RouteToHolder.
 * @return Local, relay, or kOwnerLost.
 */
Route RouteRequest(const BoardView& board,
                   const FlowToken& token,
                   ClassId work_class,
                   bool relayed);

}  // namespace cuminvane

#endif  // CUMINVANE_CORE_ROUTE_FUNC_H_
