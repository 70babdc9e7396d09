/** @file takeover_base.h What this balancer knows as a witness, and the flows
 * that it takes over from owners that are gone. */

#ifndef CUMINVANE_REQUEST_TAKEOVER_BASE_H_
#define CUMINVANE_REQUEST_TAKEOVER_BASE_H_

#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <string_view>

#include "base/guarded_type.h"
#include "decision/drop_func.h"
#include "request/arrival_func.h"
#include "request/handover_func.h"
#include "request/reply_func.h"
#include "request/witness_base.h"

namespace cuminvane {

/**
 * Witnesses other balancers' requests, and closes owners that are out of reach.
 *
 * @tparam Mutex Lock of each table.
 */
template <Lockable Mutex>
class Takeover {
 public:
  /** @param settings Must outlive this; its incarnation must be set. */
  explicit Takeover(const Settings& settings) : settings(settings) {
    for (int index = 0; index < settings.shards; ++index)
      this->witnesses.emplace_back(settings.requests.records_per_shard);
  }

  /** Handles another balancer's intent to send a request. */
  void OnIntent(TimePoint now,
                const Endpoint& from,
                std::string_view bytes,
                const Header& header,
                Output& out) {
    const Result<Intent> intent = Decode<Intent>(bytes, header);
    if (!intent) {
      NoteDrop(intent.error().code, "peer", out);
      return;
    }
    const Intent& message = intent.value();
    const auto left = std::min(Milliseconds(message.left_ms),
                               this->settings.requests.deadline_limit);
    const TimePoint forget_at = now + left + kClosureMargin;
    const bool granted =
        this->WitnessOf(message.flow).With([&](WitnessTable& witness) {
          return witness.Announce(message.flow, message.owner, message.number,
                                  forget_at);
        });
    const IntentReply reply{message.flow, message.number, granted,
                            this->settings.incarnation};
    out.datagrams.push_back({Lane::kPeer, from, Encode(reply)});
  }

  /** The owner is out of reach: it is closed, and the caller told what is known
   * of the request. */
  void TakeOver(const ShardCall& call,
                const CallerPath& path,
                const FlowToken& token,
                const Request& request) {
    const TimePoint forget_at =
        call.now + this->settings.requests.deadline_limit + kClosureMargin;
    RequestNumber announced;
    Testimony testimony = Testimony::kMayHaveRun;
    this->WitnessOf(request.flow).With([&](WitnessTable& witness) {
      testimony =
          witness.Close(request.flow, token.owner, request.number, forget_at);
      announced = witness.HighestAnnounced(request.flow);
    });
    this->GoOn(call, path, token, request, testimony, announced);
  }

  /**
   * Gives a flow whose owner is gone its next owner, and tells the caller what
   * is known of its request.
   */
  void GoOn(const ShardCall& call,
            const CallerPath& path,
            const FlowToken& token,
            const Request& request,
            Testimony testimony,
            RequestNumber announced) {
    // What was known of it may be forgotten once its deadline has passed.
    const bool too_late = FromWire(request.deadline) <= call.now;
    const bool moved = testimony == Testimony::kNeverDispatched && !too_late &&
                       request.number > token.fence;
    const ResultCode code =
        moved ? ResultCode::kMoved : ResultCode::kOutcomeUnknown;
    FlowToken next =
        AssignOwner(call.board, token,
                    HandoverWish{this->settings.requests.witnessed, VmId{}});
    next.fence = std::max({token.fence, announced, request.number});
    LogRoute("take_over", request.flow, request.number,
             {RouteKind::kTakeOver,
              code,
              token.owner.vm,
              {},
              moved ? "never_dispatched" : "may_have_run"},
             call.out);
    SendNextToken(call.board, path, request.number, code, next, call.out);
  }

  /** Forgets what is over. */
  void Tick(TimePoint now) {
    for (auto& witness : this->witnesses)
      witness.With([now](WitnessTable& table) { table.Tick(now); });
  }

 private:
  /** Clocks of two VMs may differ by less than this. */
  static constexpr Seconds kClosureMargin{2};

  Guarded<WitnessTable, Mutex>& WitnessOf(FlowId flow) {
    return this->witnesses[XXH3_64bits(&flow.value, sizeof(flow.value)) %
                           this->witnesses.size()];
  }

  const Settings& settings;
  std::deque<Guarded<WitnessTable, Mutex>>
      witnesses;  ///< By flow, as the shards.
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_TAKEOVER_BASE_H_
