/** @file route_func.cc Routing of callers' packets. */

#include "core/route_func.h"

#include "core/config_func.h"
#include "core/token_func.h"
#include "core/vmlist_func.h"

namespace cuminvane {
namespace {

Route MakeRelay(VmId peer, const Endpoint& address, const char* reason) {
  return {RouteKind::kRelay, ResultCode::kOk, peer, address, reason};
}

Route MakeLost(const char* reason) {
  return {RouteKind::kRefuse, ResultCode::kOwnerLost, VmId{}, Endpoint{},
          reason};
}

}  // namespace

Result<FlowToken> CheckToken(const BoardView& board,
                             const Endpoint& service,
                             FlowId flow,
                             const Blob& token_bytes) {
  const Service* const reached = FindService(*board.config.value, service);
  if (reached == nullptr)
    return Error{ResultCode::kUnknownService, ToString(service)};
  BOOST_OUTCOME_TRY(token,
                    OpenToken(View(token_bytes), board.config.value->keys));
  if (token.service != reached->id)
    return Error{ResultCode::kWrongService, reached->name};
  if (token.flow != flow)
    return Error{ResultCode::kWrongFlow, ToString(flow)};
  return token;
}

Route RouteToHolder(const BoardView& board,
                    const Holder& holder,
                    bool relayed) {
  const Holder& self = board.self.value->id;
  if (holder == self)
    return {RouteKind::kLocal, ResultCode::kOk, VmId{}, Endpoint{}, "holder"};
  if (holder.vm == self.vm)
    return MakeLost("earlier_incarnation");
  if (relayed)
    return MakeLost("not_the_holder");
  const MemberInfo* const member = FindMember(*board.members.value, holder.vm);
  if (member == nullptr) {
    // Not heard of yet, perhaps because this balancer has just started: the
    // list's address is tried, and whoever is there checks the incarnation.
    const Vm* const vm = FindVm(*board.vms.value, holder.vm);
    const bool listed = vm != nullptr && vm->role == VmRole::kBalancer;
    return listed ? MakeRelay(vm->id, vm->peer_address, "listed")
                  : MakeLost("unknown_member");
  }
  if (member->id.incarnation > holder.incarnation)
    return MakeLost("restarted");
  const MemberState state = member->State();
  if (state == MemberState::kDead)
    return MakeLost("dead");
  if (state == MemberState::kLeft)
    return MakeLost("left");
  return MakeRelay(member->id.vm, member->peer, "holder");
}

Route RouteRequest(const BoardView& board,
                   const FlowToken& token,
                   ClassId work_class,
                   bool relayed) {
  const WorkClass* const work = FindClass(*board.config.value, work_class);
  if (work != nullptr && work->idempotent)
    return {RouteKind::kLocal, ResultCode::kOk, VmId{}, Endpoint{},
            "idempotent"};
  return RouteToHolder(board, token.owner, relayed);
}

}  // namespace cuminvane
