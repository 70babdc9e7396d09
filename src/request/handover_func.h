/** @file handover_func.h Gives a flow an owner and a witness, at its opening
 * and when an earlier owner is out of reach. */

#ifndef CUMINVANE_REQUEST_HANDOVER_FUNC_H_
#define CUMINVANE_REQUEST_HANDOVER_FUNC_H_

#include "decision/output_type.h"
#include "member/blackboard_base.h"
#include "request/request_type.h"
#include "request/token_type.h"

namespace cuminvane {

/** How a flow's next owner is chosen. */
struct HandoverOptions {
  bool witnessed =
      true;  ///< False: intents would cost more control traffic than there is.
  VmId excluded_witness;  ///< A witness that did not answer.

  bool operator==(const HandoverOptions&) const = default;
};

/**
 * Makes this balancer the owner, or a peer where this one is stopping; the
 * witness is another live peer.
 * @param board Present beliefs.
 * @param token The flow's token so far.
 * @param wish How to choose.
 * @return The token with owner, witness and key set; not sealed.
 */
FlowToken AssignOwner(const BlackboardView& blackboard,
                      FlowToken token,
                      const HandoverOptions& options);

/**
 * Tells a caller how a request ended and gives its flow the next token.
 * @param board Present beliefs; their keys seal the token.
 * @param path The caller.
 * @param number The request.
 * @param code kMoved or kOutcomeUnknown.
 * @param next The next token, its fence set.
 * @param out Receives the message.
 */
void SendNextToken(const BlackboardView& blackboard,
                   const CallerPath& path,
                   RequestNumber number,
                   ResultCode code,
                   const FlowToken& next,
                   Output& out);

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_HANDOVER_FUNC_H_
