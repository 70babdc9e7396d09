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
#include "request/caller_packet_func.h"
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
      this->witness_tables.emplace_back(settings.requests.records_per_shard);
  }

  /** Handles another balancer's intent to send a request. */
  void OnIntent(TimePoint now,
                const Endpoint& from,
                std::string_view bytes,
                const DatagramHeader& header,
                Output& out) {
    const Result<DispatchIntent> intent = Decode<DispatchIntent>(bytes, header);
    if (!intent) {
      ReportDrop(intent.error().code, "peer", out);
      return;
    }
    const DispatchIntent& message = intent.value();
    const auto time_left = std::min(Milliseconds(message.remaining_ms),
                                    this->settings.requests.deadline_limit);
    const TimePoint expires_at = now + time_left + kFenceRetentionMargin;
    const bool may_dispatch =
        this->WitnessTableFor(message.flow)
            .WithLock([&](WitnessTable& witness) {
              return witness.RecordIntent(message.flow, message.owner,
                                          message.number, expires_at);
            });
    const DispatchIntentReply reply{message.flow, message.number, may_dispatch,
                                    this->settings.incarnation};
    out.datagrams.push_back({Channel::kPeer, from, Encode(reply)});
  }

  /** The owner is out of reach: it is closed, and the caller told what is known
   * of the request. */
  void TakeOver(const HandlerContext& context,
                const CallerPath& path,
                const FlowToken& token,
                const Request& request) {
    const TimePoint expires_at = context.now +
                                 this->settings.requests.deadline_limit +
                                 kFenceRetentionMargin;
    RequestNumber highest_intent;
    DispatchStatus dispatch_status = DispatchStatus::kMayHaveRun;
    this->WitnessTableFor(request.flow).WithLock([&](WitnessTable& witness) {
      dispatch_status = witness.FenceOwner(request.flow, token.owner,
                                           request.number, expires_at);
      highest_intent = witness.HighestIntent(request.flow);
    });
    this->HandOverFlow(context, path, token, request, dispatch_status,
                       highest_intent);
  }

  /**
   * Gives a flow whose owner is gone its next owner, and tells the caller what
   * is known of its request.
   */
  void HandOverFlow(const HandlerContext& context,
                    const CallerPath& path,
                    const FlowToken& token,
                    const Request& request,
                    DispatchStatus dispatch_status,
                    RequestNumber highest_intent) {
    // What was known of it may be forgotten once its deadline has passed.
    const bool deadline_passed =
        FromUnixMicroseconds(request.deadline) <= context.now;
    const bool proven_not_run =
        dispatch_status == DispatchStatus::kNeverDispatched &&
        !deadline_passed && request.number > token.fence;
    const ResultCode code =
        proven_not_run ? ResultCode::kMoved : ResultCode::kOutcomeUnknown;
    FlowToken next =
        AssignOwner(context.blackboard, token,
                    HandoverOptions{this->settings.requests.witnessed, VmId{}});
    next.fence = std::max({token.fence, highest_intent, request.number});
    LogRoute("take_over", request.flow, request.number,
             {RouteKind::kTakeOver,
              code,
              token.owner.vm,
              {},
              proven_not_run ? "never_dispatched" : "may_have_run"},
             context.out);
    SendNextToken(context.blackboard, path, request.number, code, next,
                  context.out);
  }

  /** Forgets what is over. */
  void Tick(TimePoint now) {
    for (auto& witness : this->witness_tables)
      witness.WithLock([now](WitnessTable& table) { table.Tick(now); });
  }

 private:
  /** Clocks of two VMs may differ by less than this. */
  static constexpr Seconds kFenceRetentionMargin{2};

  Guarded<WitnessTable, Mutex>& WitnessTableFor(FlowId flow) {
    return this->witness_tables[XXH3_64bits(&flow.value, sizeof(flow.value)) %
                                this->witness_tables.size()];
  }

  const Settings& settings;
  std::deque<Guarded<WitnessTable, Mutex>>
      witness_tables;  ///< By flow, as the shards.
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_TAKEOVER_BASE_H_
