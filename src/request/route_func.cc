/** @file route_func.cc Routing of packets from callers. */

#include "request/route_func.h"

#include "document/config_func.h"
#include "document/vmlist_func.h"
#include "request/token_func.h"

namespace cuminvane {
namespace {

/** @return A route that relays the packet to a balancer. */
Route MakeRelay(VmId peer, const Endpoint& address, const char* reason) {
  return {RouteKind::kRelay, ResultCode::kOk, peer, address, reason};
}

/** @return A route on which this balancer handles the packet. */
Route MakeLocal(const char* reason) {
  return {RouteKind::kLocal, ResultCode::kOk, VmId{}, Endpoint{}, reason};
}

/** @return A refusal with kOwnerLost. */
Route MakeOwnerLost(const char* reason) {
  return {RouteKind::kRefuse, ResultCode::kOwnerLost, VmId{}, Endpoint{},
          reason};
}

/** @return Whether the balancer instance has stopped without unfinished
 * requests. */
bool HasLeftCleanly(const BlackboardView& blackboard,
                    const VmInstance& holder) {
  const SelfState& self = *blackboard.self.value;
  if (holder.vm == self.id.vm)
    return holder.incarnation <= self.last_clean_exit;
  const MemberInfo* const member =
      FindMember(*blackboard.members.value, holder.vm);
  if (member == nullptr)
    return false;
  const bool left = member->State() == MemberState::kLeft &&
                    member->id.incarnation == holder.incarnation;
  return left || holder.incarnation <= member->last_clean_exit;
}

}  // namespace

Result<FlowToken> CheckToken(const BlackboardView& blackboard,
                             const Endpoint& service,
                             FlowId flow,
                             const Blob& token_bytes) {
  const Service* const addressed_service =
      FindService(*blackboard.config.value, service);
  if (addressed_service == nullptr)
    return Error{ResultCode::kUnknownService, ToString(service)};
  BOOST_OUTCOME_TRY(token, OpenToken(AsStringView(token_bytes),
                                     blackboard.config.value->keys));
  if (token.service != addressed_service->id)
    return Error{ResultCode::kWrongService, addressed_service->name};
  if (token.flow != flow)
    return Error{ResultCode::kWrongFlow, ToString(flow)};
  return token;
}

Route RouteToHolder(const BlackboardView& blackboard,
                    const VmInstance& holder,
                    int hops) {
  const VmInstance& self = blackboard.self.value->id;
  if (holder == self)
    return MakeLocal("holder");
  if (holder.vm == self.vm)
    return MakeOwnerLost("earlier_incarnation");
  if (hops >= kMaxHops)
    return MakeOwnerLost("hops");
  const MemberInfo* const member =
      FindMember(*blackboard.members.value, holder.vm);
  if (member == nullptr) {
    // This balancer may have started recently and not know all members yet.
    // It uses the address in the VM list; the receiver checks the incarnation.
    const Vm* const vm = FindVm(*blackboard.vms.value, holder.vm);
    const bool listed = vm != nullptr && vm->role == VmRole::kBalancer;
    return listed ? MakeRelay(vm->id, vm->peer_address, "listed")
                  : MakeOwnerLost("unknown_member");
  }
  if (member->id.incarnation > holder.incarnation)
    return MakeOwnerLost("restarted");
  const MemberState state = member->State();
  if (state == MemberState::kDead)
    return MakeOwnerLost("dead");
  if (state == MemberState::kLeft)
    return MakeOwnerLost("left");
  return MakeRelay(member->id.vm, member->peer, "holder");
}

bool CanKeepOwner(const BlackboardView& blackboard, const FlowToken& token) {
  const SelfState& self = *blackboard.self.value;
  const auto is_available = [&](const VmInstance& holder) {
    if (holder == self.id)
      return !self.stopping;
    const MemberInfo* const member =
        FindMember(*blackboard.members.value, holder.vm);
    return member != nullptr && member->id == holder &&
           member->State() != MemberState::kLeaving &&
           member->State() <= MemberState::kSuspect;
  };
  return is_available(token.owner) &&
         (token.witness == VmInstance{} || is_available(token.witness));
}

Route RouteRequest(const BlackboardView& blackboard,
                   const FlowToken& token,
                   ClassId work_class,
                   int hops) {
  const WorkClass* const work = FindClass(*blackboard.config.value, work_class);
  if (work != nullptr && work->idempotent)
    return MakeLocal("idempotent");
  if (HasLeftCleanly(blackboard, token.owner)) {
    Route take_over = MakeLocal("left_clean");
    take_over.kind = RouteKind::kOwnerLeft;
    return take_over;
  }
  const Route to_owner = RouteToHolder(blackboard, token.owner, hops);
  if (to_owner.kind != RouteKind::kRefuse || token.witness == VmInstance{})
    return to_owner;
  Route to_witness = RouteToHolder(blackboard, token.witness, hops);
  if (to_witness.kind == RouteKind::kLocal)
    to_witness.kind = RouteKind::kTakeOver;
  to_witness.reason = to_owner.reason;
  return to_witness;
}

}  // namespace cuminvane
