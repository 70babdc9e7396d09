/** @file opening_base.h Flows with tokens are opened, kept and reopened. */

#ifndef CUMINVANE_REQUEST_OPENING_BASE_H_
#define CUMINVANE_REQUEST_OPENING_BASE_H_

#include <algorithm>
#include <string>
#include <utility>

#include "decision/drop_func.h"
#include "document/config_func.h"
#include "request/caller_packet_func.h"
#include "request/handover_func.h"
#include "request/reply_func.h"
#include "request/token_func.h"

namespace cuminvane {

/**
 * Gives flows their tokens.
 *
 * @tparam Placement Chooses backend servers for flows.
 */
template <class Placement>
class FlowOpener {
 public:
  /**
   * @param witnessed Whether new flows get a witness; witnesses cost control
   * traffic.
   * @param placement Must outlive this.
   */
  FlowOpener(bool witnessed, Placement& placement)
      : witnessed(witnessed), placement(placement) {}

  /** Handles a caller that asks for a new flow. */
  void OnOpen(const HandlerContext& context, const CallerPacket& packet) {
    const Result<FlowOpen> open = Decode<FlowOpen>(packet.bytes, packet.header);
    if (!open) {
      ReportDrop(open.error().code, "open", context.out);
      return;
    }
    const Service* const service =
        FindService(*context.blackboard.config.value, packet.path.service);
    if (service == nullptr) {
      ReportDrop(ResultCode::kUnknownService, "open", context.out);
      return;
    }
    const Result<BackendChoice> target =
        this->placement.ChooseForFlow(service->id, context.now, context.random);
    if (!target) {
      this->SendOpened(context, packet, open.value().nonce, FlowToken{},
                       target.error().code);
      return;
    }
    FlowToken token;
    token.flow = FlowId{DrawId(context.random)};
    token.service = service->id;
    token.backend = target.value().vm;
    token.backend_incarnation = target.value().incarnation;
    token = AssignOwner(context.blackboard, token, this->OwnerOptions());
    Decision decision;
    decision.topic = Topic::kPlacement;
    decision.event = "open";
    decision.reason = target.value().reason;
    decision.flow = token.flow;
    decision.vm = token.backend;
    context.out.decisions.push_back(decision);
    this->SendOpened(context, packet, open.value().nonce, token,
                     ResultCode::kOk);
  }

  /** Handles a caller that keeps its flow, or lost its owner. */
  void OnReopen(const HandlerContext& context, const CallerPacket& packet) {
    const Result<FlowReopen> reopen =
        Decode<FlowReopen>(packet.bytes, packet.header);
    if (!reopen) {
      ReportDrop(reopen.error().code, "reopen", context.out);
      return;
    }
    const Result<FlowToken> current_token =
        VerifyToken(context, packet, reopen.value().flow, RequestNumber{},
                    reopen.value().token);
    if (!current_token)
      return;
    if (reopen.value().keepalive &&
        CanKeepOwner(context.blackboard, current_token.value())) {
      const FlowOpened unchanged{reopen.value().nonce,
                                 current_token.value().flow,
                                 {},
                                 ToUnixMicroseconds(context.now),
                                 0,
                                 current_token.value().fence};
      SendToCaller(packet.path, Encode(unchanged), context.out);
      return;
    }
    FlowToken token = current_token.value();
    token = AssignOwner(context.blackboard, token, this->OwnerOptions());
    token.fence = std::max(token.fence, reopen.value().highest_number);
    LogRoute("reopen", token.flow, token.fence,
             {RouteKind::kLocal,
              ResultCode::kOk,
              token.owner.vm,
              {},
              reopen.value().keepalive ? "keepalive" : "owner_lost"},
             context.out);
    this->SendOpened(context, packet, reopen.value().nonce, token,
                     ResultCode::kOk);
  }

 private:
  HandoverOptions OwnerOptions() const { return {this->witnessed, VmId{}}; }

  void SendOpened(const HandlerContext& context,
                  const CallerPacket& packet,
                  uint64_t nonce,
                  const FlowToken& token,
                  ResultCode code) {
    std::string sealed;
    if (code == ResultCode::kOk) {
      Result<std::string> seal_result =
          SealToken(token, context.blackboard.config.value->keys);
      if (!seal_result) {
        ReportDrop(seal_result.error().code, "open", context.out);
        return;
      }
      sealed = std::move(seal_result).value();
    }
    const FlowOpened opened{nonce,
                            token.flow,
                            MakeBlob(sealed),
                            ToUnixMicroseconds(context.now),
                            static_cast<uint16_t>(code),
                            token.fence};
    const std::string reply = Encode(opened);
    // The sender is not verified, so it never gets back more than it sent.
    if (reply.size() > packet.bytes.size()) {
      ReportDrop(ResultCode::kReplyTooLarge, "open", context.out);
      return;
    }
    SendToCaller(packet.path, reply, context.out);
  }

  bool witnessed;
  Placement& placement;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_OPENING_BASE_H_
