/** @file caller_packet_func.cc Handling common to all packets from callers. */

#include "request/caller_packet_func.h"

#include <string>

#include "decision/drop_func.h"
#include "request/reply_func.h"
#include "request/token_func.h"

namespace cuminvane {

Result<FlowToken> VerifyToken(const HandlerContext& context,
                              const CallerPacket& packet,
                              FlowId flow,
                              RequestNumber number,
                              const Blob& token) {
  Result<FlowToken> checked =
      CheckToken(context.blackboard, packet.path.service, flow, token);
  if (checked)
    return checked;
  const ResultCode code = checked.error().code;
  ReportDrop(code, "token", context.out);
  const std::string reply =
      Encode(RequestOutcome{flow, number, static_cast<uint16_t>(code), {}, {}});
  if (reply.size() <= packet.bytes.size())
    SendToCaller(packet.path, reply, context.out);
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

void RefuseOrRelay(const Route& route,
                   const CallerPacket& packet,
                   FlowId flow,
                   RequestNumber number,
                   Output& out) {
  if (route.kind == RouteKind::kRefuse) {
    SendOutcome(packet.path, flow, number, route.code, out);
    return;
  }
  const RelayedPacket relay{packet.path.caller, packet.path.service,
                            packet.path.fabric, MakeBlob(packet.bytes),
                            static_cast<uint8_t>(packet.hops + 1)};
  out.datagrams.push_back({Channel::kPeer, route.peer_address, Encode(relay)});
}

}  // namespace cuminvane
