/** @file arrival_func.cc A caller's packet on its way through a balancer. */

#include "request/arrival_func.h"

#include <string>

#include "decision/drop_func.h"
#include "request/reply_func.h"
#include "request/token_func.h"

namespace cuminvane {

Result<FlowToken> VerifyToken(const ShardCall& call,
                              const Arrival& arrival,
                              FlowId flow,
                              RequestNumber number,
                              const Blob& token) {
  Result<FlowToken> checked =
      CheckToken(call.board, arrival.path.service, flow, token);
  if (checked)
    return checked;
  const ResultCode code = checked.error().code;
  NoteDrop(code, "token", call.out);
  const std::string reply =
      Encode(Verdict{flow, number, static_cast<uint16_t>(code), {}, {}});
  if (reply.size() <= arrival.bytes.size())
    SendToCaller(arrival.path, reply, call.out);
  return checked;
}

void LogRoute(const char* event,
              FlowId flow,
              RequestNumber number,
              const Route& route,
              Output& out) {
  Decision decision;
  decision.topic = Topic::kRouting;
  decision.event = event;
  decision.reason = route.reason;
  decision.flow = flow;
  decision.number = number;
  decision.vm = route.peer;
  decision.code = route.code;
  out.decisions.push_back(decision);
}

void FollowRoute(const Route& route,
                 const Arrival& arrival,
                 FlowId flow,
                 RequestNumber number,
                 Output& out) {
  if (route.kind == RouteKind::kRefuse) {
    SendVerdict(arrival.path, flow, number, route.code, out);
    return;
  }
  const Relay relay{arrival.path.caller, arrival.path.service,
                    arrival.path.fabric, MakeBlob(arrival.bytes),
                    static_cast<uint8_t>(arrival.hops + 1)};
  out.datagrams.push_back({Lane::kPeer, route.peer_address, Encode(relay)});
}

}  // namespace cuminvane
