/** @file opening_base.h Opens flows with tokens, keeps them alive and reopens
 * them. */

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
 * Issues the tokens of flows.
 *
 * @tparam Placement Chooses backend servers for flows.
 */
template <class Placement>
class FlowOpener {
 public:
  /**
   * @param witnessed Whether flows get a witness, which costs control traffic.
   * @param placement Chooses backend servers; must outlive this object.
   */
  FlowOpener(bool witnessed, Placement& placement)
      : witnessed(witnessed), placement(placement) {}

  /** Handles a caller's request to open a flow: chooses a backend server, an
   * owner and a witness, and sends the caller the token. */
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

  /** Handles a caller's keepalive of a flow or its report that the flow's owner
   * is unreachable: confirms the token, or sends a token with a new owner. */
  void OnFlowReopen(const HandlerContext& context, const CallerPacket& packet) {
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
  /** @return Options for choosing the owner and the witness of a flow. */
  HandoverOptions OwnerOptions() const { return {this->witnessed, VmId{}}; }

  /**
   * Sends a caller the token of its flow, or the result code if no token is
   * issued.
   * @param nonce Nonce of the caller's message, copied into the reply.
   * @param token Content of the token; sent only if `code` is kOk.
   */
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
    // The sender's address is not verified. A reply larger than its packet
    // could be used for an amplification attack on another host.
    if (reply.size() > packet.bytes.size()) {
      ReportDrop(ResultCode::kReplyTooLarge, "open", context.out);
      return;
    }
    SendToCaller(packet.path, reply, context.out);
  }

  bool witnessed;        ///< Whether flows get a witness.
  Placement& placement;  ///< Chooses backend servers.
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_OPENING_BASE_H_
