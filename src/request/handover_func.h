/** @file handover_func.h Assigns owner and witness of a flow when it is opened
 * and when the previous owner or witness is unreachable or stopping. */

#ifndef CUMINVANE_REQUEST_HANDOVER_FUNC_H_
#define CUMINVANE_REQUEST_HANDOVER_FUNC_H_

#include "decision/output_type.h"
#include "member/blackboard_base.h"
#include "request/request_type.h"
#include "request/token_type.h"

namespace cuminvane {

/** Options for the choice of a flow's witness. */
struct HandoverOptions {
  /** Whether the flow gets a witness. False saves the control traffic of the
   * intents if the capacity is too low for it. */
  bool witnessed = true;
  /** Balancer that must not become the witness because it did not reply; 0 if
   * every balancer may become the witness. */
  VmId excluded_witness;

  bool operator==(const HandoverOptions&) const = default;
};

/**
 * Assigns owner and witness of a flow. The owner is this balancer, or a live
 * peer if this balancer is stopping; the witness is another live peer.
 * @param blackboard Snapshot of the blackboard.
 * @param token Previous content of the flow's token.
 * @param options Options for the choice of the witness.
 * @return The token's content with owner, witness and key number set.
 */
FlowToken AssignOwner(const BlackboardView& blackboard,
                      FlowToken token,
                      const HandoverOptions& options);

/**
 * Sends a caller the result of a request together with the next token of its
 * flow; sends kOwnerLost instead if the token can't be sealed.
 * @param blackboard Snapshot of the blackboard, with the keys for the token.
 * @param path Route back to the caller.
 * @param number Number of the request.
 * @param code kMoved if the caller may send the request again with the new
 * token, kOutcomeUnknown if the request may have been run.
 * @param next Content of the next token, including its fence.
 * @param out Receives the datagram.
 */
void SendNextToken(const BlackboardView& blackboard,
                   const CallerPath& path,
                   RequestNumber number,
                   ResultCode code,
                   const FlowToken& next,
                   Output& out);

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_HANDOVER_FUNC_H_
