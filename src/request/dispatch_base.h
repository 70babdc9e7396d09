/** @file dispatch_base.h What becomes of a request on record: told to its
 * witness, sent, withdrawn, tried elsewhere, ended. */

#ifndef CUMINVANE_REQUEST_DISPATCH_BASE_H_
#define CUMINVANE_REQUEST_DISPATCH_BASE_H_

#include <algorithm>
#include <concepts>

#include "base/budget_base.h"
#include "base/random_type.h"
#include "document/settings_type.h"
#include "member/blackboard_base.h"
#include "member/member_type.h"
#include "message/message_func.h"
#include "placement/placement_type.h"
#include "request/handover_func.h"
#include "request/record_store_base.h"
#include "request/reply_func.h"

namespace cuminvane {

/** Chooses backend servers for a shard and hears how the runs ended. */
template <class P>
concept RequestPlacement = requires(P& placement,
                                    ServiceId service,
                                    const VmInstance& preferred,
                                    FlowId flow,
                                    VmId vm,
                                    TimePoint now,
                                    RandomEngine& random,
                                    const LoadReport& report) {
  {
    placement.ChooseForRequest(service, preferred, flow, now)
    } -> std::same_as<Result<BackendChoice>>;
  {
    placement.ChooseForRetry(service, vm, true, now, random)
    } -> std::same_as<Result<BackendChoice>>;
  { placement.AddressOf(vm) } -> std::same_as<Endpoint>;
  placement.OnRunSent(vm);
  placement.OnEnded(now, vm, RunOutcome::kAnswered);
  placement.OnLoadReport(now, vm, report);
};

/** What a call into a shard may use, besides the message. */
struct HandlerContext {
  TimePoint now;
  const BlackboardView& blackboard;
  RandomEngine& random;
  Output& out;
};

/** Between questions to a backend server that has accepted a run. */
inline constexpr Milliseconds kRunPollInterval{500};

/** Bits of a run identifier that name the shard. */
inline constexpr uint64_t kShardMask = 0xff;

/** @return A new identifier of a run of that shard. */
inline RunId DrawRunId(uint8_t shard, RandomEngine& random) {
  return RunId{(DrawId(random) & ~kShardMask) | shard};
}

/**
 * Carries the requests of one shard from acceptance to their end.
 *
 * @tparam Placement Chooses backend servers.
 */
template <RequestPlacement Placement>
class Dispatcher {
 public:
  /**
   * @param index Number of the shard; goes into its run identifiers.
   * @param limits Limits on requests.
   * @param store The shard's records; must outlive this.
   * @param placement Chooses backend servers; must outlive this.
   */
  Dispatcher(uint8_t index,
             const RequestLimits& limits,
             RecordStore& store,
             Placement& placement)
      : index(index),
        limits(limits),
        store(store),
        placement(placement),
        budget(limits.retry_percent) {}

  /** A request was taken: it earns a part of a retry. */
  void OnRequestAccepted() { this->budget.AddRequest(); }

  /** Chooses a backend server and sends the request. */
  void DispatchFirst(const HandlerContext& context,
                     FlowId flow,
                     RequestRecord& record) {
    const VmInstance preferred{record.token.backend,
                               record.token.backend_incarnation};
    const Result<BackendChoice> target = this->placement.ChooseForRequest(
        record.token.service, preferred, flow, context.now);
    if (!target) {
      this->EndAsNotRun(context, flow, record, ResultCode::kNoBackend);
      return;
    }
    this->DispatchTo(context, flow, record, target.value());
  }

  /** The witness must have the intent before the request is sent. */
  void SendIntent(const HandlerContext& context,
                  FlowId flow,
                  RequestRecord& record) {
    const MemberInfo* const witness =
        FindMember(*context.blackboard.members.value, record.token.witness.vm);
    const bool witness_alive = witness != nullptr &&
                               witness->id == record.token.witness &&
                               witness->State() <= MemberState::kSuspect;
    if (!witness_alive || record.intents_sent >= kMaxIntentSends) {
      this->EndAndHandOver(context, flow, record,
                           witness_alive ? "witness_silent" : "witness_gone");
      return;
    }
    ++record.intents_sent;
    record.state = RequestState::kAwaitingWitness;
    const auto time_left =
        std::chrono::ceil<Milliseconds>(record.deadline - context.now);
    const DispatchIntent intent{flow, record.number, record.token.owner,
                                static_cast<uint32_t>(time_left.count())};
    context.out.datagrams.push_back(
        {Channel::kPeer, witness->peer, Encode(intent)});
    this->store.Schedule(record, flow, context.now + kIntentTimeout);
  }

  /** Keeps one part of an answer and passes it on; the last one ends the
   * request. */
  void StorePart(const HandlerContext& context,
                 FlowId flow,
                 RequestRecord& record,
                 const RunPart& part) {
    if (record.parts.empty()) {
      record.parts.resize(part.count);
      record.has_part.resize(part.count);
    }
    if (part.count != record.parts.size() || record.has_part[part.index])
      return;
    if (record.state == RequestState::kSent ||
        record.state == RequestState::kWithdrawing)
      record.state = RequestState::kAccepted;
    record.answer_bytes += part.payload.size;
    if (record.answer_bytes > this->limits.answer_limit_bytes) {
      this->placement.OnEnded(context.now, record.backend,
                              RunOutcome::kAnswered);
      this->EndRequest(context, flow, record, RequestState::kUnknown,
                       ResultCode::kAnswerTooLarge);
      return;
    }
    record.parts[part.index] = AsStringView(part.payload);
    record.has_part[part.index] = true;
    ++record.parts_received;
    SendPart(flow, record, part.index, context.blackboard.self.value->id,
             context.out);
    if (record.parts_received < record.parts.size()) {
      this->store.Schedule(record, flow, context.now + kPartTimeout);
      return;
    }
    const Endpoint backend = this->placement.AddressOf(record.backend);
    context.out.datagrams.push_back(
        {Channel::kBackend, backend, Encode(RunAnswerReceived{record.run})});
    this->placement.OnEnded(context.now, record.backend, RunOutcome::kAnswered);
    this->SetFinalState(context, flow, record, RequestState::kAnswered,
                        ResultCode::kOk);
  }

  /** Asks the backend server not to begin the run. */
  void WithdrawRun(const HandlerContext& context,
                   FlowId flow,
                   RequestRecord& record) {
    record.state = RequestState::kWithdrawing;
    SendCancelRun(record, this->placement.AddressOf(record.backend),
                  context.out);
    this->store.Schedule(record, flow,
                         context.now + this->limits.accept_timeout);
  }

  /** The run did not happen, or may happen again: tries elsewhere, or ends the
   * request. */
  void RetryOrEnd(const HandlerContext& context,
                  FlowId flow,
                  RequestRecord& record,
                  ResultCode code,
                  bool may_reuse_backend) {
    if (record.cancelled) {
      this->EndAsNotRun(context, flow, record, ResultCode::kCancelled);
      return;
    }
    const bool may_retry = record.dispatches < kMaxDispatches &&
                           context.now < record.deadline &&
                           !record.payload.empty();
    if (!may_retry || !this->budget.TrySpendRetry()) {
      this->EndAsNotRun(context, flow, record, code);
      return;
    }
    const Result<BackendChoice> target = this->placement.ChooseForRetry(
        record.token.service, record.backend, may_reuse_backend, context.now,
        context.random);
    if (!target) {
      this->EndAsNotRun(context, flow, record, code);
      return;
    }
    this->DispatchTo(context, flow, record, target.value());
  }

  /** Ends a request that was not run; of idempotent work another balancer may
   * have run a duplicate. */
  void EndAsNotRun(const HandlerContext& context,
                   FlowId flow,
                   RequestRecord& record,
                   ResultCode code) {
    if (record.idempotent)
      this->EndRequest(context, flow, record, RequestState::kUnknown,
                       ResultCode::kUnavailable);
    else
      this->EndRequest(context, flow, record, RequestState::kNotRun, code);
  }

  /** Ends a request and tells its caller. */
  void EndRequest(const HandlerContext& context,
                  FlowId flow,
                  RequestRecord& record,
                  RequestState state,
                  ResultCode code) {
    this->LogDecision(context, "end",
                      record.idempotent ? "idempotent" : "non_idempotent", flow,
                      record.number, record.backend, code);
    this->SetFinalState(context, flow, record, state, code);
    SendOutcome(record.path, flow, record.number, code, context.out);
  }

  /** Ends a request that was announced at most; it was not sent. */
  void EndAndHandOver(const HandlerContext& context,
                      FlowId flow,
                      RequestRecord& record,
                      const char* reason) {
    this->SetFinalState(context, flow, record, RequestState::kNotRun,
                        ResultCode::kMoved);
    this->HandOver(context, record.path, record.token, record.number, reason);
  }

  /** The request is not taken here; the flow gets its next owner or witness.
   */
  void HandOver(const HandlerContext& context,
                const CallerPath& path,
                const FlowToken& token,
                RequestNumber number,
                const char* reason) {
    const RequestNumber highest = this->store.HighestNumberOf(token.flow);
    FlowToken next =
        AssignOwner(context.blackboard, token, {true, token.witness.vm});
    next.fence = std::max({token.fence, highest, number});
    this->LogDecision(context, "move", reason, token.flow, number,
                      next.owner.vm, ResultCode::kMoved);
    SendNextToken(context.blackboard, path, number, ResultCode::kMoved, next,
                  context.out);
  }

  /** Acts on an open request whose time has come. */
  void OnRequestTimer(const HandlerContext& context,
                      FlowId flow,
                      RequestRecord& record) {
    const Endpoint backend = this->placement.AddressOf(record.backend);
    if (record.state == RequestState::kAwaitingWitness) {
      if (record.deadline <= context.now)
        this->EndAsNotRun(context, flow, record, ResultCode::kDeadlinePassed);
      else
        this->SendIntent(context, flow, record);
      return;
    }
    if (record.deadline <= context.now) {
      SendCancelRun(record, backend, context.out);
      this->placement.OnEnded(context.now, record.backend,
                              RunOutcome::kTimedOut);
      this->EndRequest(context, flow, record, RequestState::kUnknown,
                       record.idempotent ? ResultCode::kUnavailable
                                         : ResultCode::kOutcomeUnknown);
      return;
    }
    switch (record.state) {
      case RequestState::kSent:
        this->OnAcceptTimeout(context, flow, record);
        break;
      case RequestState::kWithdrawing:
        this->WithdrawRun(context, flow, record);
        break;
      default:
        this->PollBackend(context, flow, record, backend);
        break;
    }
  }

  /** Logs a decision on a request. */
  void LogDecision(const HandlerContext& context,
                   const char* event,
                   const char* reason,
                   FlowId flow,
                   RequestNumber number,
                   VmId vm,
                   ResultCode code) {
    Decision decision;
    decision.topic = Topic::kPlacement;
    decision.event = event;
    decision.reason = reason;
    decision.flow = flow;
    decision.number = number;
    decision.vm = vm;
    decision.code = code;
    context.out.decisions.push_back(decision);
  }

 private:
  static constexpr int kMaxDispatches = 3;
  static constexpr int kMaxUnansweredPolls = 3;
  static constexpr Milliseconds kPartTimeout{40};
  static constexpr Milliseconds kIntentTimeout{25};
  static constexpr int kMaxIntentSends = 4;

  void DispatchTo(const HandlerContext& context,
                  FlowId flow,
                  RequestRecord& record,
                  const BackendChoice& target) {
    this->store.AssignRun(flow, record, DrawRunId(this->index, context.random));
    record.backend = target.vm;
    record.backend_incarnation = target.incarnation;
    record.state = RequestState::kSent;
    record.parts = {};
    record.has_part = {};
    record.parts_received = 0;
    record.answer_bytes = 0;
    record.unanswered_polls = 0;
    ++record.dispatches;
    this->placement.OnRunSent(target.vm);
    this->LogDecision(context, "dispatch", target.reason, flow, record.number,
                      target.vm, ResultCode::kOk);
    SendRun(flow, record, target.address, context.out);
    this->store.Schedule(record, flow,
                         context.now + this->limits.accept_timeout);
  }

  void SetFinalState(const HandlerContext& context,
                     FlowId flow,
                     RequestRecord& record,
                     RequestState state,
                     ResultCode code) {
    record.state = state;
    record.code = code;
    record.payload = {};
    this->store.OnEnded(record);
    this->store.Schedule(record, flow, record.expires_at);
    context.out.samples.push_back({record.work_class, code,
                                   std::chrono::duration_cast<Microseconds>(
                                       context.now - record.arrived_at)});
  }

  /** Whether the run arrived is not known: non-idempotent work is withdrawn
   * first, other work just goes elsewhere. */
  void OnAcceptTimeout(const HandlerContext& context,
                       FlowId flow,
                       RequestRecord& record) {
    this->LogDecision(context, "no_acceptance", "timeout", flow, record.number,
                      record.backend, ResultCode::kOk);
    if (!record.idempotent) {
      this->WithdrawRun(context, flow, record);
      return;
    }
    this->placement.OnEnded(context.now, record.backend, RunOutcome::kTimedOut);
    SendCancelRun(record, this->placement.AddressOf(record.backend),
                  context.out);
    this->RetryOrEnd(context, flow, record, ResultCode::kUnavailable, true);
  }

  void PollBackend(const HandlerContext& context,
                   FlowId flow,
                   RequestRecord& record,
                   const Endpoint& backend) {
    ++record.unanswered_polls;
    const bool run_presumed_lost =
        record.unanswered_polls > kMaxUnansweredPolls && record.idempotent;
    if (run_presumed_lost) {
      this->placement.OnEnded(context.now, record.backend,
                              RunOutcome::kTimedOut);
      this->RetryOrEnd(context, flow, record, ResultCode::kUnavailable, true);
      return;
    }
    SendNeedRunParts(record, backend, context.out);
    this->store.Schedule(
        record, flow,
        context.now + (record.parts.empty()
                           ? kRunPollInterval
                           : kPartTimeout * record.unanswered_polls));
  }

  uint8_t index;
  RequestLimits limits;
  RecordStore& store;
  Placement& placement;
  RetryBudget budget;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_DISPATCH_BASE_H_
