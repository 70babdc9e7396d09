/** @file takeover_base.h Witness role of a balancer: records the intents of
 * other balancers and takes flows over from owners that are unreachable. */

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
 * Records other balancers' intents to dispatch requests, fences owners that are
 * unreachable, and hands their flows over to another balancer.
 *
 * @tparam Mutex Type of the lock of each witness table.
 */
template <Lockable Mutex>
class Takeover {
 public:
  /** @param settings Must outlive this object; its incarnation must be set. */
  explicit Takeover(const Settings& settings) : settings(settings) {
    for (int index = 0; index < settings.shards; ++index)
      this->witness_tables.emplace_back(settings.requests.records_per_shard);
  }

  /** Handles another balancer's intent to dispatch a request; the reply says
   * whether that balancer may dispatch it. `from` is its peer address. */
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
        this->WitnessTableFor(message.flow).WithLock([&](WitnessTable& table) {
          return table.RecordIntent(message.flow, message.owner, message.number,
                                    expires_at);
        });
    const DispatchIntentReply reply{message.flow, message.number, may_dispatch,
                                    this->settings.incarnation};
    out.datagrams.push_back({Channel::kPeer, from, Encode(reply)});
  }

  /** Takes over a flow whose owner is unreachable: fences the owner, so that it
   * can't dispatch this or any earlier request of the flow, and hands the flow
   * over. */
  void TakeOver(const HandlerContext& context,
                const CallerPath& path,
                const FlowToken& token,
                const Request& request) {
    const TimePoint expires_at = context.now +
                                 this->settings.requests.deadline_limit +
                                 kFenceRetentionMargin;
    RequestNumber highest_intent;
    DispatchStatus dispatch_status = DispatchStatus::kMayHaveRun;
    this->WitnessTableFor(request.flow).WithLock([&](WitnessTable& table) {
      dispatch_status = table.FenceOwner(request.flow, token.owner,
                                         request.number, expires_at);
      highest_intent = table.HighestIntent(request.flow);
    });
    this->HandOverFlow(context, path, token, request, dispatch_status,
                       highest_intent);
  }

  /**
   * Assigns the next owner of a flow whose owner is unreachable or has stopped,
   * and sends the caller the new token with the result of its request.
   * @param token The flow's token with the previous owner.
   * @param request Request that the caller sent.
   * @param dispatch_status Whether the previous owner may have dispatched the
   * request.
   * @param highest_intent Highest request number for which the witness has an
   * intent; 0 if the witness has no intent or was not queried.
   */
  void HandOverFlow(const HandlerContext& context,
                    const CallerPath& path,
                    const FlowToken& token,
                    const Request& request,
                    DispatchStatus dispatch_status,
                    RequestNumber highest_intent) {
    // Proven if the last owner did not dispatch the request, the deadline has
    // not passed and no earlier owner may have dispatched it (its number is
    // above the fence). Intents expire after the deadline, so from then on a
    // missing intent proves nothing.
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

  /** Removes expired intents and fences. */
  void Tick(TimePoint now) {
    for (auto& guarded_table : this->witness_tables)
      guarded_table.WithLock([now](WitnessTable& table) { table.Tick(now); });
  }

 private:
  /** Time that intents and fences are retained after the latest deadline of the
   * requests that they cover. Exceeds the clock skew between two VMs. */
  static constexpr Seconds kFenceRetentionMargin{2};

  /** @return The witness table that holds the intents of a flow. */
  Guarded<WitnessTable, Mutex>& WitnessTableFor(FlowId flow) {
    return this->witness_tables[XXH3_64bits(&flow.value, sizeof(flow.value)) %
                                this->witness_tables.size()];
  }

  const Settings& settings;  ///< Settings of this balancer.
  /** One table for each shard; the hash of the flow selects the table. */
  std::deque<Guarded<WitnessTable, Mutex>> witness_tables;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_TAKEOVER_BASE_H_
