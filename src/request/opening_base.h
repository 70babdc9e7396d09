/** @file opening_base.h Flows with tokens are opened, kept and reopened. */

#ifndef CUMINVANE_REQUEST_OPENING_BASE_H_
#define CUMINVANE_REQUEST_OPENING_BASE_H_

#include <algorithm>
#include <string>
#include <utility>

#include "decision/drop_func.h"
#include "document/config_func.h"
#include "request/arrival_func.h"
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
  void OnOpen(const ShardCall& call, const Arrival& arrival) {
    const Result<Open> open = Decode<Open>(arrival.bytes, arrival.header);
    if (!open) {
      NoteDrop(open.error().code, "open", call.out);
      return;
    }
    const Service* const service =
        FindService(*call.board.config.value, arrival.path.service);
    if (service == nullptr) {
      NoteDrop(ResultCode::kUnknownService, "open", call.out);
      return;
    }
    const Result<Target> target =
        this->placement.ForFlow(service->id, call.now, call.random);
    if (!target) {
      this->AnswerOpen(call, arrival, open.value().nonce, FlowToken{},
                       target.error().code);
      return;
    }
    FlowToken token;
    token.flow = FlowId{DrawId(call.random)};
    token.service = service->id;
    token.backend = target.value().vm;
    token.backend_incarnation = target.value().incarnation;
    token = AssignOwner(call.board, token, this->Wish());
    Decision decision;
    decision.topic = Topic::kPlacement;
    decision.event = "open";
    decision.reason = target.value().reason;
    decision.flow = token.flow;
    decision.vm = token.backend;
    call.out.decisions.push_back(decision);
    this->AnswerOpen(call, arrival, open.value().nonce, token, ResultCode::kOk);
  }

  /** Handles a caller that keeps its flow, or lost its owner. */
  void OnReopen(const ShardCall& call, const Arrival& arrival) {
    const Result<Reopen> reopen = Decode<Reopen>(arrival.bytes, arrival.header);
    if (!reopen) {
      NoteDrop(reopen.error().code, "reopen", call.out);
      return;
    }
    const Result<FlowToken> known =
        VerifyToken(call, arrival, reopen.value().flow, RequestNumber{},
                    reopen.value().token);
    if (!known)
      return;
    if (reopen.value().keepalive && CanStay(call.board, known.value())) {
      const Opened stays{
          reopen.value().nonce, known.value().flow, {}, ToWire(call.now), 0,
          known.value().fence};
      SendToCaller(arrival.path, Encode(stays), call.out);
      return;
    }
    FlowToken token = known.value();
    token = AssignOwner(call.board, token, this->Wish());
    token.fence = std::max(token.fence, reopen.value().highest);
    LogRoute("reopen", token.flow, token.fence,
             {RouteKind::kLocal,
              ResultCode::kOk,
              token.owner.vm,
              {},
              reopen.value().keepalive ? "keepalive" : "owner_lost"},
             call.out);
    this->AnswerOpen(call, arrival, reopen.value().nonce, token,
                     ResultCode::kOk);
  }

 private:
  HandoverWish Wish() const { return {this->witnessed, VmId{}}; }

  void AnswerOpen(const ShardCall& call,
                  const Arrival& arrival,
                  uint64_t nonce,
                  const FlowToken& token,
                  ResultCode code) {
    std::string sealed;
    if (code == ResultCode::kOk) {
      Result<std::string> sealing =
          SealToken(token, call.board.config.value->keys);
      if (!sealing) {
        NoteDrop(sealing.error().code, "open", call.out);
        return;
      }
      sealed = std::move(sealing).value();
    }
    const Opened opened{nonce,
                        token.flow,
                        MakeBlob(sealed),
                        ToWire(call.now),
                        static_cast<uint16_t>(code),
                        token.fence};
    const std::string reply = Encode(opened);
    // The sender is not verified, so it never gets back more than it sent.
    if (reply.size() > arrival.bytes.size()) {
      NoteDrop(ResultCode::kReplyTooLarge, "open", call.out);
      return;
    }
    SendToCaller(arrival.path, reply, call.out);
  }

  bool witnessed;
  Placement& placement;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_OPENING_BASE_H_
