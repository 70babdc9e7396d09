/** @file shard_base.h One shard of the flow state: takes requests and what is
 * said about them, and answers repeats from its records. */

#ifndef CUMINVANE_REQUEST_SHARD_BASE_H_
#define CUMINVANE_REQUEST_SHARD_BASE_H_

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

#include "document/config_func.h"
#include "request/dispatch_base.h"
#include "request/record_store_base.h"
#include "request/reply_func.h"
#include "request/request_type.h"
#include "request/window_base.h"

namespace cuminvane {

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
      : limits(limits),
        placement(placement),
        store(limits),
        dispatcher(index, limits, this->store, placement) {}

  // The dispatcher refers to the store beside it.
  Shard(const Shard&) = delete;
  Shard& operator=(const Shard&) = delete;

  /** @return Number of the shard that a run belongs to. */
  static uint8_t IndexOf(RunId run) {
    return static_cast<uint8_t>(run.value & kShardMask);
  }

  /** Handles a request that is this balancer's to dispatch. */
  void OnRequest(const ShardCall& call,
                 const CallerPath& path,
                 const FlowToken& token,
                 const Request& request) {
    this->TakeOrAnswer(call, path, token, request);
    this->store.DropIfUnused(request.flow);
  }

  /** Handles a caller's question for parts. */
  void OnNeedParts(const ShardCall& call,
                   const CallerPath& path,
                   const NeedParts& question) {
    RequestRecord* const record =
        this->store.Find(question.flow, question.number);
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
    RequestRecord* const record = this->store.Find(done.flow, done.number);
    if (record == nullptr || record->state != RequestState::kAnswered)
      return;
    this->store.OnDelivered(*record);
    record->parts = {};
    record->have = {};
  }

  /** Handles a caller that gives a request up. */
  void OnCancel(const ShardCall& call,
                const CallerPath& path,
                const Cancel& cancel) {
    RequestRecord* const record = this->store.Find(cancel.flow, cancel.number);
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
    this->dispatcher.Log(call, "withdraw", "caller", cancel.flow, cancel.number,
                         record->backend, ResultCode::kOk);
    this->dispatcher.Withdraw(call, cancel.flow, *record);
  }

  /** Handles a backend server's acceptance. */
  void OnAccepted(const ShardCall& call, const Accepted& accepted) {
    const LocatedRecord located = this->store.Locate(accepted.run);
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
    this->store.Schedule(record, located.flow, call.now + kRunPollInterval);
  }

  /** Handles one part of an answer. */
  void OnRunPart(const ShardCall& call, const RunPart& part) {
    const LocatedRecord located = this->store.Locate(part.run);
    if (located.record == nullptr || part.count == 0 ||
        part.index >= part.count || part.count > kMostParts) {
      this->dispatcher.Log(call, "drop", "unknown_run", located.flow, {}, {},
                           ResultCode::kUnknownRun);
      return;
    }
    RequestRecord& record = *located.record;
    this->placement.OnReport(call.now, record.backend, part.load);
    if (!IsOpen(record.state))
      return;
    record.silent_polls = 0;
    this->dispatcher.StorePart(call, located.flow, record, part);
  }

  /** Handles a backend server's refusal: the run did not and will not happen.
   */
  void OnRefused(const ShardCall& call, const Refused& refused) {
    const LocatedRecord located = this->store.Locate(refused.run);
    if (located.record == nullptr)
      return;
    RequestRecord& record = *located.record;
    this->placement.OnReport(call.now, record.backend, refused.load);
    if (!IsOpen(record.state))
      return;
    this->placement.OnEnded(call.now, record.backend, RunEnd::kRefused);
    const auto code = static_cast<ResultCode>(refused.code);
    this->dispatcher.Log(call, "refused", "backend", located.flow,
                         record.number, record.backend, code);
    this->dispatcher.RetryOrEnd(call, located.flow, record, NotRunCodeFor(code),
                                false);
  }

  /** Handles the answer to a withdrawal. */
  void OnCancelReply(const ShardCall& call, const CancelReply& reply) {
    const LocatedRecord located = this->store.Locate(reply.run);
    if (located.record == nullptr)
      return;
    RequestRecord& record = *located.record;
    this->placement.OnReport(call.now, record.backend, reply.load);
    if (record.state != RequestState::kWithdrawing)
      return;
    if (reply.started) {
      record.state = RequestState::kAccepted;
      record.payload = {};
      this->store.Schedule(record, located.flow, call.now + kRunPollInterval);
      return;
    }
    this->placement.OnEnded(call.now, record.backend, RunEnd::kRefused);
    this->dispatcher.Log(call, "withdrawn", "not_started", located.flow,
                         record.number, record.backend, ResultCode::kOk);
    this->dispatcher.RetryOrEnd(call, located.flow, record,
                                ResultCode::kOverloaded, true);
  }

  /** Handles the witness's answer to an intent. */
  void OnIntentReply(const ShardCall& call, const IntentReply& reply) {
    RequestRecord* const record = this->store.Find(reply.flow, reply.number);
    if (record == nullptr || record->state != RequestState::kAnnounced)
      return;
    // A later start has forgotten whether this owner was closed.
    const bool speaks_for_witness =
        reply.incarnation == record->token.witness.incarnation;
    if (!speaks_for_witness || !reply.granted) {
      this->dispatcher.MoveRecord(call, reply.flow, *record,
                                  "closed_by_witness");
      return;
    }
    // The time it took counts: nothing is sent after the deadline.
    if (record->deadline <= call.now)
      this->dispatcher.EndNotRun(call, reply.flow, *record,
                                 ResultCode::kDeadlinePassed);
    else if (record->cancelled)
      this->dispatcher.EndNotRun(call, reply.flow, *record,
                                 ResultCode::kCancelled);
    else
      this->dispatcher.DispatchFirst(call, reply.flow, *record);
  }

  /** Handles a backend server that knows nothing of a run. */
  void OnRunLost(const ShardCall& call, const RunLost& lost) {
    const LocatedRecord located = this->store.Locate(lost.run);
    if (located.record == nullptr)
      return;
    RequestRecord& record = *located.record;
    this->placement.OnReport(call.now, record.backend, lost.load);
    if (!IsOpen(record.state))
      return;
    this->placement.OnEnded(call.now, record.backend, RunEnd::kRefused);
    this->dispatcher.Log(call, "run_lost", "backend", located.flow,
                         record.number, record.backend,
                         ResultCode::kOutcomeUnknown);
    if (record.idempotent)
      this->dispatcher.RetryOrEnd(call, located.flow, record,
                                  ResultCode::kUnavailable, true);
    else
      this->dispatcher.End(call, located.flow, record, RequestState::kUnknown,
                           ResultCode::kOutcomeUnknown);
  }

  /** Acts on records whose time has come, and forgets those that are over. */
  void Tick(const ShardCall& call) {
    LocatedRecord due = this->store.TakeDue(call.now);
    while (due.record != nullptr) {
      this->dispatcher.OnOpenTimer(call, due.flow, *due.record);
      due = this->store.TakeDue(call.now);
    }
  }

  /** @return Requests whose outcome or delivery this shard still owes to a
   * caller. */
  size_t Unfinished() const { return this->store.Unfinished(); }
  /** @return Records held. */
  size_t Records() const { return this->store.Records(); }
  /** @return Flows held. */
  size_t Flows() const { return this->store.Flows(); }

 private:
  static constexpr uint32_t kMostParts = 4096;
  static constexpr size_t kPartsPerReply = 32;
  /** Records outlive the deadline by more than the clocks of two VMs may
   * differ. */
  static constexpr Seconds kRecordMargin{2};

  static ResultCode NotRunCodeFor(ResultCode code) {
    return OutcomeOf(code) == Outcome::kNotRun ? code : ResultCode::kOverloaded;
  }

  static uint64_t FingerprintOf(const Request& request) {
    const std::string_view payload = View(request.payload);
    const std::array<uint64_t, 3> parts{
        request.work_class.value, static_cast<uint64_t>(request.deadline),
        XXH3_64bits(payload.data(), payload.size())};
    return XXH3_64bits(parts.data(), sizeof(parts));
  }

  void TakeOrAnswer(const ShardCall& call,
                    const CallerPath& path,
                    const FlowToken& token,
                    const Request& request) {
    FlowWindow& window = this->store.WindowOf(request.flow);
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
      this->dispatcher.Move(call, path, token, request.number, "stopping");
      return;
    }
    if (!this->store.MakeRoom(window)) {
      this->dispatcher.Log(call, "drop", "records", request.flow,
                           request.number, VmId{},
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
      this->dispatcher.Move(call, record.path, record.token, record.number,
                            "repeat");
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
    this->dispatcher.Log(call, "refuse", reason, request.flow, request.number,
                         VmId{}, code);
    SendVerdict(path, request.flow, request.number, code, call.out);
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
    RequestRecord& record = this->store.Add(window, std::move(fresh));
    if (work == nullptr || work->service != token.service) {
      this->dispatcher.EndNotRun(call, request.flow, record,
                                 ResultCode::kUnknownClass);
      return;
    }
    if (record.deadline <= call.now) {
      // Of a flow with no record at all, an earlier record may have been
      // forgotten.
      if (first_of_flow)
        this->dispatcher.End(call, request.flow, record, RequestState::kUnknown,
                             ResultCode::kOutcomeUnknown);
      else
        this->dispatcher.EndNotRun(call, request.flow, record,
                                   ResultCode::kDeadlinePassed);
      return;
    }
    this->dispatcher.OnTaken();
    record.payload = View(request.payload);
    SendReceipt(path, request.flow, record.number, call.board.self.value->id,
                call.out);
    if (record.idempotent || token.witness == Holder{})
      this->dispatcher.DispatchFirst(call, request.flow, record);
    else
      this->dispatcher.Announce(call, request.flow, record);
  }

  RequestLimits limits;
  Placement& placement;
  RecordStore store;
  Dispatcher<Placement> dispatcher;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_SHARD_BASE_H_
