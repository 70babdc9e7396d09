/** @file dispatch_base.h Life cycle of a recorded request: intent to the
 * witness, dispatch, withdrawal, retry and end. */

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

/** Chooses backend servers for the requests of a shard and is notified of
 * dispatches, ended runs and load reports. */
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
  placement.OnRunEnded(now, vm, RunOutcome::kAnswered);
  placement.OnLoadReport(now, vm, report);
};

/** Inputs and outputs that all handlers of one event share. */
struct HandlerContext {
  TimePoint now;                     ///< Time of the event.
  const BlackboardView& blackboard;  ///< Snapshot of the blackboard.
  RandomEngine& random;              ///< Random engine of the calling thread.
  Output& out;  ///< Receives datagrams, log decisions and samples.
};

/** Interval between status queries to a backend server that has accepted a run
 * and has not sent a part of the answer yet. */
inline constexpr Milliseconds kRunPollInterval{500};

/** Mask of the bits in a run identifier that hold the number of the shard that
 * sent the run. */
inline constexpr uint64_t kShardMask = 0xff;

/** @return A new random run identifier that contains the shard's number. */
inline RunId DrawRunId(uint8_t shard, RandomEngine& random) {
  return RunId{(DrawId(random) & ~kShardMask) | shard};
}

/**
 * Dispatches the requests of one shard and drives each from acceptance to its
 * final state.
 *
 * @tparam Placement Chooses backend servers.
 */
template <RequestPlacement Placement>
class Dispatcher {
 public:
  /**
   * @param index Number of the shard; encoded in the identifiers of its runs.
   * @param limits Limits on requests.
   * @param store Records of the shard; must outlive this object.
   * @param placement Chooses backend servers; must outlive this object.
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

  /** Credits the retry budget for an accepted request. */
  void OnRequestAccepted() { this->budget.AddRequest(); }

  /** Dispatches a request for the first time, preferably to the backend server
   * named in the flow's token. */
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

  /** Sends the witness the intent to dispatch a request; the request is
   * dispatched only after the witness has acknowledged the intent. If the
   * witness is unknown, dead, has left, has restarted or does not reply, the
   * request ends and its flow is handed over.
   */
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

  /** Stores one part of an answer and forwards it to the caller; the request
   * ends once all parts have been received. */
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
      this->placement.OnRunEnded(context.now, record.backend,
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
    this->placement.OnRunEnded(context.now, record.backend,
                               RunOutcome::kAnswered);
    this->SetFinalState(context, flow, record, RequestState::kAnswered,
                        ResultCode::kOk);
  }

  /** Asks the backend server not to start the run. */
  void WithdrawRun(const HandlerContext& context,
                   FlowId flow,
                   RequestRecord& record) {
    record.state = RequestState::kWithdrawing;
    SendCancelRun(record, this->placement.AddressOf(record.backend),
                  context.out);
    this->store.Schedule(record, flow,
                         context.now + this->limits.accept_timeout);
  }

  /**
   * Retries a request that was not run or is idempotent; ends it if it was
   * cancelled, its deadline has passed, or its dispatches or the retry budget
   * are used up.
   * @param code Result for the caller if the request is not retried.
   * @param may_reuse_backend Whether the retry may go to the same backend
   * server if no other backend server is available.
   */
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

  /** Ends a request that this balancer's backend servers did not run. An
   * idempotent request ends as unavailable instead of not run, because a
   * duplicate of it may have run through another balancer. */
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

  /** Ends a request without an answer and sends its caller the result code. */
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

  /** Ends a request that has not been dispatched and hands its flow over. The
   * witness may have received the intent. */
  void EndAndHandOver(const HandlerContext& context,
                      FlowId flow,
                      RequestRecord& record,
                      const char* reason) {
    this->SetFinalState(context, flow, record, RequestState::kNotRun,
                        ResultCode::kMoved);
    this->HandOver(context, record.path, record.token, record.number, reason);
  }

  /** Refuses a request that has not been dispatched and sends the caller a
   * token with another owner or witness. The token fences `number`, all
   * request numbers that this shard has accepted for the flow, and all numbers
   * that the previous token fenced.
   * @param number Number of the refused request.
   * @param reason Reason for the log. */
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

  /** Handles the expired timer of an open request: retransmits, polls, retries,
   * or ends the request if its deadline has passed. */
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
      this->placement.OnRunEnded(context.now, record.backend,
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

  /** Adds a log record about a request to the output. */
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
  /** Maximum number of dispatches of one request, including the first. */
  static constexpr int kMaxDispatches = 3;
  /** Maximum number of unanswered status queries about an idempotent run; the
   * run is presumed lost after that. */
  static constexpr int kMaxUnansweredPolls = 3;
  /** Time to wait for the next part of an answer before the missing parts are
   * requested. Multiplied by the number of unanswered queries. */
  static constexpr Milliseconds kPartTimeout{40};
  /** Time to wait for the witness's reply before an intent is retransmitted.
   */
  static constexpr Milliseconds kIntentTimeout{25};
  /** Maximum number of transmissions of an intent, including the first; the
   * witness is presumed unreachable if it replies to none. */
  static constexpr int kMaxIntentSends = 4;

  /** Starts a new run of the request on the chosen backend server. */
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

  /** Sets the final state, schedules the removal of the record and records the
   * request's latency. */
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

  /** Handles a run that the backend server has not acknowledged in time. The
   * server may have received the run, so a non-idempotent run is withdrawn
   * before a retry; an idempotent run is retried at once. */
  void OnAcceptTimeout(const HandlerContext& context,
                       FlowId flow,
                       RequestRecord& record) {
    this->LogDecision(context, "no_acceptance", "timeout", flow, record.number,
                      record.backend, ResultCode::kOk);
    if (!record.idempotent) {
      this->WithdrawRun(context, flow, record);
      return;
    }
    this->placement.OnRunEnded(context.now, record.backend,
                               RunOutcome::kTimedOut);
    SendCancelRun(record, this->placement.AddressOf(record.backend),
                  context.out);
    this->RetryOrEnd(context, flow, record, ResultCode::kUnavailable, true);
  }

  /** Queries the backend server for the missing parts of an answer, with linear
   * backoff, or for the state of the run. An idempotent request is retried
   * after kMaxUnansweredPolls; a non-idempotent one is polled until its
   * deadline. */
  void PollBackend(const HandlerContext& context,
                   FlowId flow,
                   RequestRecord& record,
                   const Endpoint& backend) {
    ++record.unanswered_polls;
    const bool run_presumed_lost =
        record.unanswered_polls > kMaxUnansweredPolls && record.idempotent;
    if (run_presumed_lost) {
      this->placement.OnRunEnded(context.now, record.backend,
                                 RunOutcome::kTimedOut);
      this->RetryOrEnd(context, flow, record, ResultCode::kUnavailable, true);
      return;
    }
    SendMissingRunPartsQuery(record, backend, context.out);
    this->store.Schedule(
        record, flow,
        context.now + (record.parts.empty()
                           ? kRunPollInterval
                           : kPartTimeout * record.unanswered_polls));
  }

  uint8_t index;         ///< Number of the shard.
  RequestLimits limits;  ///< Limits on requests.
  RecordStore& store;    ///< Records of the shard.
  Placement& placement;  ///< Chooses backend servers.
  RetryBudget budget;    ///< Bounds retries to a share of the requests.
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_DISPATCH_BASE_H_
