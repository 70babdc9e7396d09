/** @file shard_base.h One shard of the flow state: records requests, dispatches
 * them, keeps answers. */

#ifndef CUMINVANE_REQUEST_SHARD_BASE_H_
#define CUMINVANE_REQUEST_SHARD_BASE_H_

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <unordered_map>

#include "base/budget_base.h"
#include "document/config_func.h"
#include "document/settings_type.h"
#include "member/board_base.h"
#include "member/member_type.h"
#include "message/message_func.h"
#include "placement/placement_type.h"
#include "request/handover_func.h"
#include "request/reply_func.h"
#include "request/request_type.h"
#include "request/token_func.h"
#include "request/window_base.h"

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

/**
 * Requests of the flows that hash to this shard.
 *
 * A non-idempotent request reaches the shard of its flow's owner only, and only
 * once: its record outlives its deadline, and a later duplicate is refused by
 * that deadline. `Not run` is said of what this shard never sent or of what a
 * backend server said it did not run; the record then keeps it from being sent
 * later.
 *
 * @tparam Placement Chooses backend servers.
 */
template <RequestPlacement Placement>
class Shard {
 public:
  /**
   * @param index Number of this shard; goes into its run identifiers.
   * @param limits Limits on requests.
   * @param placement Chooses backend servers; must outlive the shard.
   */
  Shard(uint8_t index, const RequestLimits& limits, Placement& placement)
      : index(index),
        limits(limits),
        placement(placement),
        budget(limits.retry_percent) {}

  /** @return Number of the shard that a run belongs to. */
  static uint8_t IndexOf(RunId run) {
    return static_cast<uint8_t>(run.value & kIndexMask);
  }

  /** Handles a request that is this balancer's to dispatch. */
  void OnRequest(const ShardCall& call,
                 const CallerPath& path,
                 const FlowToken& token,
                 const Request& request) {
    this->TakeOrAnswer(call, path, token, request);
    this->DropIfUnused(request.flow);
  }

  /** Handles a caller's question for parts. */
  void OnNeedParts(const ShardCall& call,
                   const CallerPath& path,
                   const NeedParts& question) {
    RequestRecord* const record = this->Find(question.flow, question.number);
    if (record == nullptr) {
      SendVerdict(path, question.flow, question.number,
                  ResultCode::kOutcomeUnknown, call.out);
      return;
    }
    record->path = path;
    const bool other_run =
        question.run != RunId{} && question.run != record->run;
    if (question.missing.empty() || other_run) {
      this->TellState(call, question.flow, *record);
      return;
    }
    size_t sent = 0;
    for (const uint32_t part : question.missing) {
      const bool here = part < record->have.size() && record->have[part];
      if (here && !record->delivered && sent < kPartsPerReply) {
        SendPart(question.flow, *record, part, call.board.self.value->id,
                 call.out);
        ++sent;
      }
    }
  }

  /** Handles a caller's word that it has the whole answer. */
  void OnDone(const Done& done) {
    RequestRecord* const record = this->Find(done.flow, done.number);
    if (record == nullptr || record->state != RequestState::kAnswered)
      return;
    if (!record->delivered)
      --this->unfinished;
    record->delivered = true;
    record->parts = {};
    record->have = {};
  }

  /** Handles a caller that gives a request up. */
  void OnCancel(const ShardCall& call,
                const CallerPath& path,
                const Cancel& cancel) {
    RequestRecord* const record = this->Find(cancel.flow, cancel.number);
    if (record == nullptr)
      return;
    record->path = path;
    record->cancelled = true;
    if (!IsOpen(record->state)) {
      this->TellState(call, cancel.flow, *record);
      return;
    }
    // What is only announced is not sent any more once the witness answers.
    if (record->state == RequestState::kAnnounced)
      return;
    this->Log(call, "withdraw", "caller", cancel.flow, cancel.number,
              record->backend, ResultCode::kOk);
    this->Withdraw(call, cancel.flow, *record);
  }

  /** Handles a backend server's acceptance. */
  void OnAccepted(const ShardCall& call, const Accepted& accepted) {
    const Located located = this->Locate(accepted.run);
    if (located.record == nullptr)
      return;
    RequestRecord& record = *located.record;
    this->placement.OnReport(call.now, record.backend, accepted.load);
    record.silent_polls = 0;
    if (record.state != RequestState::kSent)
      return;
    record.state = RequestState::kAccepted;
    if (!record.idempotent)
      record.payload = {};
    this->Schedule(record, located.flow, call.now + kPollInterval);
  }

  /** Handles one part of an answer. */
  void OnRunPart(const ShardCall& call, const RunPart& part) {
    const Located located = this->Locate(part.run);
    if (located.record == nullptr || part.count == 0 ||
        part.index >= part.count || part.count > kMostParts) {
      this->Log(call, "drop", "unknown_run", located.flow, {}, {},
                ResultCode::kUnknownRun);
      return;
    }
    RequestRecord& record = *located.record;
    this->placement.OnReport(call.now, record.backend, part.load);
    if (!IsOpen(record.state))
      return;
    record.silent_polls = 0;
    this->StorePart(call, located.flow, record, part);
  }

  /** Handles a backend server's refusal: the run did not and will not happen.
   */
  void OnRefused(const ShardCall& call, const Refused& refused) {
    const Located located = this->Locate(refused.run);
    if (located.record == nullptr)
      return;
    RequestRecord& record = *located.record;
    this->placement.OnReport(call.now, record.backend, refused.load);
    if (!IsOpen(record.state))
      return;
    this->placement.OnEnded(call.now, record.backend, RunEnd::kRefused);
    const auto code = static_cast<ResultCode>(refused.code);
    this->Log(call, "refused", "backend", located.flow, record.number,
              record.backend, code);
    this->RetryOrEnd(call, located.flow, record, NotRunCodeFor(code), false);
  }

  /** Handles the answer to a withdrawal. */
  void OnCancelReply(const ShardCall& call, const CancelReply& reply) {
    const Located located = this->Locate(reply.run);
    if (located.record == nullptr)
      return;
    RequestRecord& record = *located.record;
    this->placement.OnReport(call.now, record.backend, reply.load);
    if (record.state != RequestState::kWithdrawing)
      return;
    if (reply.started) {
      record.state = RequestState::kAccepted;
      record.payload = {};
      this->Schedule(record, located.flow, call.now + kPollInterval);
      return;
    }
    this->placement.OnEnded(call.now, record.backend, RunEnd::kRefused);
    this->Log(call, "withdrawn", "not_started", located.flow, record.number,
              record.backend, ResultCode::kOk);
    this->RetryOrEnd(call, located.flow, record, ResultCode::kOverloaded, true);
  }

  /** Handles the witness's answer to an intent. */
  void OnIntentReply(const ShardCall& call, const IntentReply& reply) {
    RequestRecord* const record = this->Find(reply.flow, reply.number);
    if (record == nullptr || record->state != RequestState::kAnnounced)
      return;
    // A later start has forgotten whether this owner was closed.
    const bool speaks_for_witness =
        reply.incarnation == record->token.witness.incarnation;
    if (!speaks_for_witness || !reply.granted) {
      this->MoveRecord(call, reply.flow, *record, "closed_by_witness");
      return;
    }
    // The time it took counts: nothing is sent after the deadline.
    if (record->deadline <= call.now)
      this->EndNotRun(call, reply.flow, *record, ResultCode::kDeadlinePassed);
    else if (record->cancelled)
      this->EndNotRun(call, reply.flow, *record, ResultCode::kCancelled);
    else
      this->DispatchFirst(call, reply.flow, *record);
  }

  /** Handles a backend server that knows nothing of a run. */
  void OnRunLost(const ShardCall& call, const RunLost& lost) {
    const Located located = this->Locate(lost.run);
    if (located.record == nullptr)
      return;
    RequestRecord& record = *located.record;
    this->placement.OnReport(call.now, record.backend, lost.load);
    if (!IsOpen(record.state))
      return;
    this->placement.OnEnded(call.now, record.backend, RunEnd::kRefused);
    this->Log(call, "run_lost", "backend", located.flow, record.number,
              record.backend, ResultCode::kOutcomeUnknown);
    if (record.idempotent)
      this->RetryOrEnd(call, located.flow, record, ResultCode::kUnavailable,
                       true);
    else
      this->End(call, located.flow, record, RequestState::kUnknown,
                ResultCode::kOutcomeUnknown);
  }

  /** Acts on records whose time has come, and forgets those that are over. */
  void Tick(const ShardCall& call) {
    while (!this->timers.empty() && this->timers.begin()->first <= call.now) {
      const Timer timer = this->timers.begin()->second;
      this->timers.erase(this->timers.begin());
      this->OnTimer(call, timer);
    }
  }

  /** @return Requests whose outcome or delivery this shard still owes to a
   * caller. */
  size_t Unfinished() const { return this->unfinished; }
  /** @return Records held. */
  size_t Records() const { return this->records; }
  /** @return Flows held. */
  size_t Flows() const { return this->flows.size(); }

 private:
  static constexpr uint64_t kIndexMask = 0xff;
  static constexpr uint32_t kMostParts = 4096;
  static constexpr size_t kPartsPerReply = 32;
  static constexpr int kMostDispatches = 3;
  static constexpr int kMostSilentPolls = 3;
  static constexpr Milliseconds kPollInterval{500};
  static constexpr Milliseconds kPartGap{40};
  static constexpr Milliseconds kAnnouncementWait{25};
  static constexpr int kMostAnnouncements = 4;
  /** Records outlive the deadline by more than the clocks of two VMs may
   * differ. */
  static constexpr Seconds kRecordMargin{2};

  /** A record to look at. */
  struct Timer {
    FlowId flow;
    RequestNumber number;
  };

  /** A record found by its run. */
  struct Located {
    FlowId flow;
    RequestRecord* record = nullptr;
  };

  static bool IsOwed(const RequestRecord& record) {
    return (record.state == RequestState::kAnswered && !record.delivered) ||
           (record.state == RequestState::kUnknown && !record.idempotent);
  }

  static uint64_t FingerprintOf(const Request& request) {
    const std::string_view payload = View(request.payload);
    const std::array<uint64_t, 3> parts{
        request.work_class.value, static_cast<uint64_t>(request.deadline),
        XXH3_64bits(payload.data(), payload.size())};
    return XXH3_64bits(parts.data(), sizeof(parts));
  }

  static ResultCode NotRunCodeFor(ResultCode code) {
    return OutcomeOf(code) == Outcome::kNotRun ? code : ResultCode::kOverloaded;
  }

  RequestRecord* Find(FlowId flow, RequestNumber number) {
    const auto window = this->flows.find(flow);
    return window == this->flows.end() ? nullptr : window->second.Find(number);
  }

  Located Locate(RunId run) {
    const auto timer = this->runs.find(run);
    if (timer == this->runs.end())
      return {};
    RequestRecord* const record =
        this->Find(timer->second.flow, timer->second.number);
    const bool current = record != nullptr && record->run == run;
    return {timer->second.flow, current ? record : nullptr};
  }

  bool MakeRoom(FlowWindow& window) {
    if (window.Size() >= this->limits.records_per_flow) {
      const std::optional<RequestRecord> oldest = window.ForgetOldest();
      if (!oldest)
        return false;
      this->OnForgotten(*oldest);
    }
    return this->records < this->limits.records_per_shard;
  }

  void OnForgotten(const RequestRecord& record) {
    this->runs.erase(record.run);
    --this->records;
    if (IsOwed(record))
      --this->unfinished;
  }

  /** A window that never took a request holds nothing worth keeping. */
  void DropIfUnused(FlowId flow) {
    const auto window = this->flows.find(flow);
    if (window != this->flows.end() &&
        window->second.Highest() == RequestNumber{})
      this->flows.erase(window);
  }

  void Schedule(RequestRecord& record, FlowId flow, TimePoint at) {
    record.act_at =
        std::min(at, IsOpen(record.state) ? record.deadline : record.forget_at);
    this->timers.emplace(record.act_at, Timer{flow, record.number});
  }

  void TakeOrAnswer(const ShardCall& call,
                    const CallerPath& path,
                    const FlowToken& token,
                    const Request& request) {
    FlowWindow& window = this->flows[request.flow];
    RequestRecord* const known = window.Find(request.number);
    if (known != nullptr) {
      this->Repeat(call, path, *known, request);
      return;
    }
    const WorkClass* const work =
        FindClass(*call.board.config.value, request.work_class);
    const bool idempotent = work != nullptr && work->idempotent;
    const bool foreign = !idempotent && request.number <= token.fence;
    if (foreign || window.IsForgotten(request.number)) {
      this->Refuse(call, path, request, ResultCode::kOutcomeUnknown,
                   foreign ? "fence" : "forgotten");
      return;
    }
    if (call.board.self.value->stopping && !idempotent) {
      this->Move(call, path, token, request.number, "stopping");
      return;
    }
    if (!this->MakeRoom(window)) {
      this->Log(call, "drop", "records", request.flow, request.number, VmId{},
                ResultCode::kTooManyRequests);
      return;
    }
    this->TakeNew(call, path, token, window, request, work);
  }

  /** A repeat of a request that is on record is answered from the record. */
  void Repeat(const ShardCall& call,
              const CallerPath& path,
              RequestRecord& record,
              const Request& request) {
    if (record.fingerprint != FingerprintOf(request)) {
      this->Refuse(call, path, request, ResultCode::kNumberReused,
                   "fingerprint");
      return;
    }
    record.path = path;
    this->TellState(call, request.flow, record);
  }

  void TellState(const ShardCall& call,
                 FlowId flow,
                 const RequestRecord& record) {
    const Holder& self = call.board.self.value->id;
    if (IsOpen(record.state)) {
      SendReceipt(record.path, flow, record.number, self, call.out);
      return;
    }
    if (record.code == ResultCode::kMoved) {
      this->Move(call, record.path, record.token, record.number, "repeat");
      return;
    }
    if (record.state != RequestState::kAnswered) {
      SendVerdict(record.path, flow, record.number, record.code, call.out);
      return;
    }
    const size_t count = std::min(record.parts.size(), kPartsPerReply);
    for (uint32_t part = 0; part < count; ++part)
      SendPart(flow, record, part, self, call.out);
  }

  /** Refuses without a record: for verdicts that a late duplicate gets again.
   */
  void Refuse(const ShardCall& call,
              const CallerPath& path,
              const Request& request,
              ResultCode code,
              const char* reason) {
    this->Log(call, "refuse", reason, request.flow, request.number, VmId{},
              code);
    SendVerdict(path, request.flow, request.number, code, call.out);
  }

  /** The request is not taken here; the flow gets its next owner or witness.
   */
  void Move(const ShardCall& call,
            const CallerPath& path,
            const FlowToken& token,
            RequestNumber number,
            const char* reason) {
    const auto window = this->flows.find(token.flow);
    const RequestNumber highest = window == this->flows.end()
                                      ? RequestNumber{}
                                      : window->second.Highest();
    FlowToken next = AssignOwner(call.board, token, {true, token.witness.vm});
    next.fence = std::max({token.fence, highest, number});
    this->Log(call, "move", reason, token.flow, number, next.owner.vm,
              ResultCode::kMoved);
    SendNextToken(call.board, path, number, ResultCode::kMoved, next, call.out);
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
    this->Schedule(record, flow, call.now + kAnnouncementWait);
  }

  /** Ends a request that was announced at most; it was not sent. */
  void MoveRecord(const ShardCall& call,
                  FlowId flow,
                  RequestRecord& record,
                  const char* reason) {
    this->Finish(call, flow, record, RequestState::kNotRun, ResultCode::kMoved);
    this->Move(call, record.path, record.token, record.number, reason);
  }

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

  void TakeNew(const ShardCall& call,
               const CallerPath& path,
               const FlowToken& token,
               FlowWindow& window,
               const Request& request,
               const WorkClass* work) {
    RequestRecord fresh;
    fresh.number = request.number;
    fresh.work_class = request.work_class;
    fresh.idempotent = work != nullptr && work->idempotent;
    fresh.fingerprint = FingerprintOf(request);
    fresh.arrived_at = call.now;
    fresh.deadline = FromWire(request.deadline);
    fresh.path = path;
    fresh.token = token;
    if (fresh.deadline > call.now + this->limits.deadline_limit) {
      this->Refuse(call, path, request, ResultCode::kDeadlineTooFar,
                   "deadline");
      return;
    }
    fresh.forget_at = std::max(fresh.deadline, call.now) + kRecordMargin;
    const bool first_of_flow = window.Highest() == RequestNumber{};
    RequestRecord& record = window.Add(std::move(fresh));
    ++this->records;
    ++this->unfinished;
    if (work == nullptr || work->service != token.service) {
      this->EndNotRun(call, request.flow, record, ResultCode::kUnknownClass);
      return;
    }
    if (record.deadline <= call.now) {
      // Of a flow with no record at all, an earlier record may have been
      // forgotten.
      if (first_of_flow)
        this->End(call, request.flow, record, RequestState::kUnknown,
                  ResultCode::kOutcomeUnknown);
      else
        this->EndNotRun(call, request.flow, record,
                        ResultCode::kDeadlinePassed);
      return;
    }
    this->budget.Earn();
    record.payload = View(request.payload);
    SendReceipt(path, request.flow, record.number, call.board.self.value->id,
                call.out);
    if (record.idempotent || token.witness == Holder{})
      this->DispatchFirst(call, request.flow, record);
    else
      this->Announce(call, request.flow, record);
  }

  void Dispatch(const ShardCall& call,
                FlowId flow,
                RequestRecord& record,
                const Target& target) {
    this->runs.erase(record.run);
    record.run = RunId{(DrawId(call.random) & ~kIndexMask) | this->index};
    this->runs.emplace(record.run, Timer{flow, record.number});
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
    this->Schedule(record, flow, call.now + this->limits.accept_timeout);
  }

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
      this->Schedule(record, flow, call.now + kPartGap);
      return;
    }
    const Endpoint backend = this->placement.AddressOf(record.backend);
    call.out.datagrams.push_back(
        {Lane::kBackend, backend, Encode(RunDone{record.run})});
    this->placement.OnEnded(call.now, record.backend, RunEnd::kAnswered);
    this->Finish(call, flow, record, RequestState::kAnswered, ResultCode::kOk);
  }

  void Withdraw(const ShardCall& call, FlowId flow, RequestRecord& record) {
    record.state = RequestState::kWithdrawing;
    SendCancelRun(record, this->placement.AddressOf(record.backend), call.out);
    this->Schedule(record, flow, call.now + this->limits.accept_timeout);
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

  void Finish(const ShardCall& call,
              FlowId flow,
              RequestRecord& record,
              RequestState state,
              ResultCode code) {
    record.state = state;
    record.code = code;
    record.payload = {};
    // Until the deadline something is still owed: an answer, until the caller
    // says that it has all of it, and the word that an outcome is unknown.
    if (!IsOwed(record))
      --this->unfinished;
    this->Schedule(record, flow, record.forget_at);
    call.out.samples.push_back({record.work_class, code,
                                std::chrono::duration_cast<Microseconds>(
                                    call.now - record.arrived_at)});
  }

  void OnTimer(const ShardCall& call, const Timer& timer) {
    const auto flow = this->flows.find(timer.flow);
    if (flow == this->flows.end())
      return;
    RequestRecord* const record = flow->second.Find(timer.number);
    if (record == nullptr || record->act_at > call.now)
      return;
    if (IsOpen(record->state)) {
      this->OnOpenTimer(call, timer.flow, *record);
      return;
    }
    for (const RequestRecord& forgotten : flow->second.Forget(call.now))
      this->OnForgotten(forgotten);
    if (flow->second.Size() == 0)
      this->flows.erase(flow);
  }

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
    this->Schedule(
        record, flow,
        call.now + (record.parts.empty() ? kPollInterval
                                         : kPartGap * record.silent_polls));
  }

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

  uint8_t index;
  RequestLimits limits;
  Placement& placement;
  RetryBudget budget;
  std::unordered_map<FlowId, FlowWindow> flows;
  std::unordered_map<RunId, Timer> runs;
  std::multimap<TimePoint, Timer>
      timers;  ///< May hold stale ones; the record's own time decides.
  size_t records = 0;
  size_t unfinished = 0;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_SHARD_BASE_H_
