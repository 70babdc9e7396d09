/** @file handover_func.cc Assignment of owners and witnesses to flows. */

#include "request/handover_func.h"

#include "request/reply_func.h"
#include "request/token_func.h"

namespace cuminvane {

FlowToken AssignOwner(const BlackboardView& blackboard,
                      FlowToken token,
                      const HandoverOptions& options) {
  const SelfState& self = *blackboard.self.value;
  const MemberView& members = *blackboard.members.value;
  const VmInstance successor =
      self.stopping ? ChooseSuccessor(members, token.flow) : VmInstance{};
  token.owner = successor == VmInstance{} ? self.id : successor;
  token.key = self.issue_key;
  const VmId excluded =
      successor == VmInstance{} ? options.excluded_witness : successor.vm;
  token.witness = options.witnessed
                      ? ChooseSuccessor(members, token.flow, excluded)
                      : VmInstance{};
  return token;
}

void SendNextToken(const BlackboardView& blackboard,
                   const CallerPath& path,
                   RequestNumber number,
                   ResultCode code,
                   const FlowToken& next,
                   Output& out) {
  const Result<std::string> sealed =
      SealToken(next, blackboard.config.value->keys);
  if (!sealed) {
    SendOutcome(path, next.flow, number, ResultCode::kOwnerLost, out);
    return;
  }
  const RequestOutcome outcome{next.flow, number, static_cast<uint16_t>(code),
                               MakeBlob(sealed.value()), next.fence};
  SendToCaller(path, Encode(outcome), out);
}

}  // namespace cuminvane
