/** @file dispatch_base.h What becomes of a request on record: told to its
 * witness, sent, withdrawn, tried elsewhere, ended. */

#ifndef CUMINVANE_REQUEST_DISPATCH_BASE_H_
#define CUMINVANE_REQUEST_DISPATCH_BASE_H_

#include <algorithm>
#include <concepts>

#include "base/budget_base.h"
#include "base/random_type.h"
#include "document/settings_type.h"
#include "member/board_base.h"
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
                                    const Holder& preferred,
                                    FlowId flow,
                                    VmId vm,
                                    TimePoint now,
                                    RandomEngine& random,
                                    const LoadReport& report) {
  {
    placement.ForRequest(service, preferred, flow, now)
    } -> std::same_as<Result<Target>>;
  {
    placement.ForRetry(service, vm, true, now, random)
    } -> std::same_as<Result<Target>>;
  { placement.AddressOf(vm) } -> std::same_as<Endpoint>;
  placement.OnSent(vm);
  placement.OnEnded(now, vm, RunEnd::kAnswered);
  placement.OnReport(now, vm, report);
};

/** What a call into a shard may use, besides the message. */
struct ShardCall {
  TimePoint now;
  const BoardView& board;
  RandomEngine& random;
  Output& out;
};

/** Between questions to a backend server that has accepted a run. */
inline constexpr Milliseconds kRunPollInterval{500};

/** Bits of a run identifier that name the shard. */
inline constexpr uint64_t kShardMask = 0xff;

/** @return A new identifier of a run of that shard. */
inline RunId DrawRun(uint8_t shard, RandomEngine& random) {
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
  void OnTaken() { this->budget.Earn(); }

  /** Chooses a backend server and sends the request. */
  void DispatchFirst(const ShardCall& call,
                     FlowId flow,
                     RequestRecord& record) {
    const Holder preferred{record.token.backend,
                           record.token.backend_incarnation};
    const Result<Target> target = this->placement.ForRequest(
        record.token.service, preferred, flow, call.now);
    if (!target) {
      this->EndNotRun(call, flow, record, ResultCode::kNoBackend);
      return;
    }
    this->Dispatch(call, flow, record, target.value());
  }

  /** The witness must have the intent before the request is sent. */
  void Announce(const ShardCall& call, FlowId flow, RequestRecord& record) {
    const MemberInfo* const witness =
        FindMember(*call.board.members.value, record.token.witness.vm);
    const bool there = witness != nullptr &&
                       witness->id == record.token.witness &&
                       witness->State() <= MemberState::kSuspect;
    if (!there || record.announcements >= kMostAnnouncements) {
      this->MoveRecord(call, flow, record,
                       there ? "witness_silent" : "witness_gone");
      return;
    }
    ++record.announcements;
    record.state = RequestState::kAnnounced;
    const auto left =
        std::chrono::ceil<Milliseconds>(record.deadline - call.now);
    const Intent intent{flow, record.number, record.token.owner,
                        static_cast<uint32_t>(left.count())};
    call.out.datagrams.push_back({Lane::kPeer, witness->peer, Encode(intent)});
    this->store.Schedule(record, flow, call.now + kAnnouncementWait);
  }

  /** Keeps one part of an answer and passes it on; the last one ends the
   * request. */
  void StorePart(const ShardCall& call,
                 FlowId flow,
                 RequestRecord& record,
                 const RunPart& part) {
    if (record.parts.empty()) {
      record.parts.resize(part.count);
      record.have.resize(part.count);
    }
    if (part.count != record.parts.size() || record.have[part.index])
      return;
    if (record.state == RequestState::kSent ||
        record.state == RequestState::kWithdrawing)
      record.state = RequestState::kAccepted;
    record.answer_bytes += part.payload.size;
    if (record.answer_bytes > this->limits.answer_limit_bytes) {
      this->placement.OnEnded(call.now, record.backend, RunEnd::kAnswered);
      this->End(call, flow, record, RequestState::kUnknown,
                ResultCode::kAnswerTooLarge);
      return;
    }
    record.parts[part.index] = View(part.payload);
    record.have[part.index] = true;
    ++record.arrived;
    SendPart(flow, record, part.index, call.board.self.value->id, call.out);
    if (record.arrived < record.parts.size()) {
      this->store.Schedule(record, flow, call.now + kPartGap);
      return;
    }
    const Endpoint backend = this->placement.AddressOf(record.backend);
    call.out.datagrams.push_back(
        {Lane::kBackend, backend, Encode(RunDone{record.run})});
    this->placement.OnEnded(call.now, record.backend, RunEnd::kAnswered);
    this->Finish(call, flow, record, RequestState::kAnswered, ResultCode::kOk);
  }

  /** Asks the backend server not to begin the run. */
  void Withdraw(const ShardCall& call, FlowId flow, RequestRecord& record) {
    record.state = RequestState::kWithdrawing;
    SendCancelRun(record, this->placement.AddressOf(record.backend), call.out);
    this->store.Schedule(record, flow, call.now + this->limits.accept_timeout);
  }

  /** The run did not happen, or may happen again: tries elsewhere, or ends the
   * request. */
  void RetryOrEnd(const ShardCall& call,
                  FlowId flow,
                  RequestRecord& record,
                  ResultCode code,
                  bool may_return) {
    if (record.cancelled) {
      this->EndNotRun(call, flow, record, ResultCode::kCancelled);
      return;
    }
    const bool may_retry = record.dispatches < kMostDispatches &&
                           call.now < record.deadline &&
                           !record.payload.empty();
    if (!may_retry || !this->budget.Spend()) {
      this->EndNotRun(call, flow, record, code);
      return;
    }
    const Result<Target> target =
        this->placement.ForRetry(record.token.service, record.backend,
                                 may_return, call.now, call.random);
    if (!target) {
      this->EndNotRun(call, flow, record, code);
      return;
    }
    this->Dispatch(call, flow, record, target.value());
  }

  /** Ends a request that was not run; of idempotent work another balancer may
   * have run a duplicate. */
  void EndNotRun(const ShardCall& call,
                 FlowId flow,
                 RequestRecord& record,
                 ResultCode code) {
    if (record.idempotent)
      this->End(call, flow, record, RequestState::kUnknown,
                ResultCode::kUnavailable);
    else
      this->End(call, flow, record, RequestState::kNotRun, code);
  }

  /** Ends a request and tells its caller. */
  void End(const ShardCall& call,
           FlowId flow,
           RequestRecord& record,
           RequestState state,
           ResultCode code) {
    this->Log(call, "end", record.idempotent ? "idempotent" : "non_idempotent",
              flow, record.number, record.backend, code);
    this->Finish(call, flow, record, state, code);
    SendVerdict(record.path, flow, record.number, code, call.out);
  }

  /** Ends a request that was announced at most; it was not sent. */
  void MoveRecord(const ShardCall& call,
                  FlowId flow,
                  RequestRecord& record,
                  const char* reason) {
    this->Finish(call, flow, record, RequestState::kNotRun, ResultCode::kMoved);
    this->Move(call, record.path, record.token, record.number, reason);
  }

  /** The request is not taken here; the flow gets its next owner or witness.
   */
  void Move(const ShardCall& call,
            const CallerPath& path,
            const FlowToken& token,
            RequestNumber number,
            const char* reason) {
    const RequestNumber highest = this->store.HighestOf(token.flow);
    FlowToken next = AssignOwner(call.board, token, {true, token.witness.vm});
    next.fence = std::max({token.fence, highest, number});
    this->Log(call, "move", reason, token.flow, number, next.owner.vm,
              ResultCode::kMoved);
    SendNextToken(call.board, path, number, ResultCode::kMoved, next, call.out);
  }

  /** Acts on an open request whose time has come. */
  void OnOpenTimer(const ShardCall& call, FlowId flow, RequestRecord& record) {
    const Endpoint backend = this->placement.AddressOf(record.backend);
    if (record.state == RequestState::kAnnounced) {
      if (record.deadline <= call.now)
        this->EndNotRun(call, flow, record, ResultCode::kDeadlinePassed);
      else
        this->Announce(call, flow, record);
      return;
    }
    if (record.deadline <= call.now) {
      SendCancelRun(record, backend, call.out);
      this->placement.OnEnded(call.now, record.backend, RunEnd::kSilent);
      this->End(call, flow, record, RequestState::kUnknown,
                record.idempotent ? ResultCode::kUnavailable
                                  : ResultCode::kOutcomeUnknown);
      return;
    }
    switch (record.state) {
      case RequestState::kSent:
        this->OnNoAcceptance(call, flow, record);
        break;
      case RequestState::kWithdrawing:
        this->Withdraw(call, flow, record);
        break;
      default:
        this->PollBackend(call, flow, record, backend);
        break;
    }
  }

  /** Logs a decision on a request. */
  void Log(const ShardCall& call,
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
    call.out.decisions.push_back(decision);
  }

 private:
  static constexpr int kMostDispatches = 3;
  static constexpr int kMostSilentPolls = 3;
  static constexpr Milliseconds kPartGap{40};
  static constexpr Milliseconds kAnnouncementWait{25};
  static constexpr int kMostAnnouncements = 4;

  void Dispatch(const ShardCall& call,
                FlowId flow,
                RequestRecord& record,
                const Target& target) {
    this->store.BeginRun(flow, record, DrawRun(this->index, call.random));
    record.backend = target.vm;
    record.backend_incarnation = target.incarnation;
    record.state = RequestState::kSent;
    record.parts = {};
    record.have = {};
    record.arrived = 0;
    record.answer_bytes = 0;
    record.silent_polls = 0;
    ++record.dispatches;
    this->placement.OnSent(target.vm);
    this->Log(call, "dispatch", target.reason, flow, record.number, target.vm,
              ResultCode::kOk);
    SendRun(flow, record, target.address, call.out);
    this->store.Schedule(record, flow, call.now + this->limits.accept_timeout);
  }

  void Finish(const ShardCall& call,
              FlowId flow,
              RequestRecord& record,
              RequestState state,
              ResultCode code) {
    record.state = state;
    record.code = code;
    record.payload = {};
    this->store.OnEnded(record);
    this->store.Schedule(record, flow, record.forget_at);
    call.out.samples.push_back({record.work_class, code,
                                std::chrono::duration_cast<Microseconds>(
                                    call.now - record.arrived_at)});
  }

  /** Whether the run arrived is not known: non-idempotent work is withdrawn
   * first, other work just goes elsewhere. */
  void OnNoAcceptance(const ShardCall& call,
                      FlowId flow,
                      RequestRecord& record) {
    this->Log(call, "no_acceptance", "timeout", flow, record.number,
              record.backend, ResultCode::kOk);
    if (!record.idempotent) {
      this->Withdraw(call, flow, record);
      return;
    }
    this->placement.OnEnded(call.now, record.backend, RunEnd::kSilent);
    SendCancelRun(record, this->placement.AddressOf(record.backend), call.out);
    this->RetryOrEnd(call, flow, record, ResultCode::kUnavailable, true);
  }

  void PollBackend(const ShardCall& call,
                   FlowId flow,
                   RequestRecord& record,
                   const Endpoint& backend) {
    ++record.silent_polls;
    const bool lost =
        record.silent_polls > kMostSilentPolls && record.idempotent;
    if (lost) {
      this->placement.OnEnded(call.now, record.backend, RunEnd::kSilent);
      this->RetryOrEnd(call, flow, record, ResultCode::kUnavailable, true);
      return;
    }
    SendNeedRunParts(record, backend, call.out);
    this->store.Schedule(
        record, flow,
        call.now + (record.parts.empty() ? kRunPollInterval
                                         : kPartGap * record.silent_polls));
  }

  uint8_t index;
  RequestLimits limits;
  RecordStore& store;
  Placement& placement;
  RetryBudget budget;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_DISPATCH_BASE_H_
