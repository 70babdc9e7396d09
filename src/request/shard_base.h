/** @file shard_base.h One shard of the request state: accepts requests,
 * processes the messages about them, and answers retransmissions from the
 * request records. */

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
 * A non-idempotent request is dispatched by the shard of its flow's owner only,
 * and is accepted there only once: its record is retained until after its
 * deadline, and a duplicate that arrives later is refused because the deadline
 * has passed. A request is reported as not run only if this shard never sent it
 * or the backend server reported that it did not run the request; the record
 * then prevents a later dispatch.
 *
 * @tparam Placement Chooses backend servers.
 */
template <RequestPlacement Placement>
class RequestShard {
 public:
  /**
   * @param index Number of this shard; encoded in the identifiers of its runs.
   * @param limits Limits on requests and on their records.
   * @param placement Chooses backend servers; must outlive the shard.
   */
  RequestShard(uint8_t index, const RequestLimits& limits, Placement& placement)
      : limits(limits),
        placement(placement),
        store(limits),
        dispatcher(index, limits, this->store, placement) {}

  // Not copyable, because `dispatcher` holds a reference to `store`.
  RequestShard(const RequestShard&) = delete;
  RequestShard& operator=(const RequestShard&) = delete;

  /** @return Number of the shard that dispatched the run. */
  static uint8_t ShardIndexOf(RunId run) {
    return static_cast<uint8_t>(run.value & kShardMask);
  }

  /**
   * Handles a request that was routed to this balancer for dispatch.
   * @param context State shared by the handlers of one event.
   * @param path Caller's address and the route for packets back to it.
   * @param token Verified token of the request's flow.
   * @param request The request.
   */
  void OnRequest(const HandlerContext& context,
                 const CallerPath& path,
                 const FlowToken& token,
                 const Request& request) {
    this->AcceptOrAnswer(context, path, token, request);
    this->store.RemoveIfUnused(request.flow);
  }

  /** Sends a caller the answer parts that it reports as missing, or the state
   * of the request if the caller names no part or a run that is not current. */
  void OnMissingPartsQuery(const HandlerContext& context,
                           const CallerPath& path,
                           const MissingPartsQuery& query) {
    RequestRecord* const record = this->store.Find(query.flow, query.number);
    if (record == nullptr) {
      SendOutcome(path, query.flow, query.number, ResultCode::kOutcomeUnknown,
                  context.out);
      return;
    }
    record->path = path;
    const bool different_run = query.run != RunId{} && query.run != record->run;
    if (query.missing.empty() || different_run) {
      this->SendCurrentState(context, query.flow, *record);
      return;
    }
    size_t sent = 0;
    for (const uint32_t part : query.missing) {
      const bool present =
          part < record->has_part.size() && record->has_part[part];
      if (present && !record->delivered && sent < kMaxPartsPerReply) {
        SendPart(query.flow, *record, part, context.blackboard.self.value->id,
                 context.out);
        ++sent;
      }
    }
  }

  /** Handles a caller's acknowledgement that it has received the whole answer.
   */
  void OnAnswerReceived(const AnswerReceived& done) {
    RequestRecord* const record = this->store.Find(done.flow, done.number);
    if (record == nullptr || record->state != RequestState::kAnswered)
      return;
    this->store.OnDelivered(*record);
    record->parts = {};
    record->has_part = {};
  }

  /** Handles a caller's cancellation of a request. */
  void OnCancel(const HandlerContext& context,
                const CallerPath& path,
                const CancelRequest& cancel) {
    RequestRecord* const record = this->store.Find(cancel.flow, cancel.number);
    if (record == nullptr)
      return;
    record->path = path;
    record->cancelled = true;
    if (!IsOpen(record->state)) {
      this->SendCurrentState(context, cancel.flow, *record);
      return;
    }
    // The request has not been dispatched; OnDispatchIntentReply ends it as
    // cancelled when the witness replies.
    if (record->state == RequestState::kAwaitingWitness)
      return;
    this->dispatcher.LogDecision(context, "withdraw", "caller", cancel.flow,
                                 cancel.number, record->backend,
                                 ResultCode::kOk);
    this->dispatcher.WithdrawRun(context, cancel.flow, *record);
  }

  /** Handles a backend server's acknowledgement that it has accepted a run. */
  void OnRunAccepted(const HandlerContext& context,
                     const RunAccepted& accepted) {
    const LocatedRecord located = this->store.FindByRun(accepted.run);
    if (located.record == nullptr)
      return;
    RequestRecord& record = *located.record;
    this->placement.OnLoadReport(context.now, record.backend, accepted.load);
    record.unanswered_polls = 0;
    if (record.state != RequestState::kSent)
      return;
    record.state = RequestState::kAccepted;
    if (!record.idempotent)
      record.payload = {};
    this->store.Schedule(record, located.flow, context.now + kRunPollInterval);
  }

  /** Handles one part of an answer; a part of an unknown run or with an
   * invalid part number is dropped. */
  void OnRunPart(const HandlerContext& context, const RunPart& part) {
    const LocatedRecord located = this->store.FindByRun(part.run);
    if (located.record == nullptr || part.count == 0 ||
        part.index >= part.count || part.count > kMaxParts) {
      this->dispatcher.LogDecision(context, "drop", "unknown_run", located.flow,
                                   {}, {}, ResultCode::kUnknownRun);
      return;
    }
    RequestRecord& record = *located.record;
    this->placement.OnLoadReport(context.now, record.backend, part.load);
    if (!IsOpen(record.state))
      return;
    record.unanswered_polls = 0;
    this->dispatcher.StorePart(context, located.flow, record, part);
  }

  /** Handles a backend server's refusal, which guarantees that the run has not
   * started and never will. */
  void OnRunRefused(const HandlerContext& context, const RunRefused& refused) {
    const LocatedRecord located = this->store.FindByRun(refused.run);
    if (located.record == nullptr)
      return;
    RequestRecord& record = *located.record;
    this->placement.OnLoadReport(context.now, record.backend, refused.load);
    if (!IsOpen(record.state))
      return;
    this->placement.OnRunEnded(context.now, record.backend,
                               RunOutcome::kRefused);
    const auto code = static_cast<ResultCode>(refused.code);
    this->dispatcher.LogDecision(context, "refused", "backend", located.flow,
                                 record.number, record.backend, code);
    this->dispatcher.RetryOrEnd(context, located.flow, record,
                                NotRunCodeFor(code), false);
  }

  /** Handles a backend server's reply to the withdrawal of a run: the run
   * either has already started or will never start. */
  void OnCancelRunReply(const HandlerContext& context,
                        const CancelRunReply& reply) {
    const LocatedRecord located = this->store.FindByRun(reply.run);
    if (located.record == nullptr)
      return;
    RequestRecord& record = *located.record;
    this->placement.OnLoadReport(context.now, record.backend, reply.load);
    if (record.state != RequestState::kWithdrawing)
      return;
    if (reply.started) {
      record.state = RequestState::kAccepted;
      record.payload = {};
      this->store.Schedule(record, located.flow,
                           context.now + kRunPollInterval);
      return;
    }
    this->placement.OnRunEnded(context.now, record.backend,
                               RunOutcome::kRefused);
    this->dispatcher.LogDecision(context, "withdrawn", "not_started",
                                 located.flow, record.number, record.backend,
                                 ResultCode::kOk);
    this->dispatcher.RetryOrEnd(context, located.flow, record,
                                ResultCode::kOverloaded, true);
  }

  /** Handles the witness's reply to an intent: dispatches the request if the
   * witness permits it, hands the flow over otherwise. */
  void OnDispatchIntentReply(const HandlerContext& context,
                             const DispatchIntentReply& reply) {
    RequestRecord* const record = this->store.Find(reply.flow, reply.number);
    if (record == nullptr || record->state != RequestState::kAwaitingWitness)
      return;
    // A restarted witness has lost its fences and can't tell whether it had
    // fenced this owner, so only the instance named in the token is trusted.
    const bool from_named_witness =
        reply.incarnation == record->token.witness.incarnation;
    if (!from_named_witness || !reply.granted) {
      this->dispatcher.EndAndHandOver(context, reply.flow, *record,
                                      "closed_by_witness");
      return;
    }
    // The deadline may have passed while the reply was awaited.
    if (record->deadline <= context.now)
      this->dispatcher.EndAsNotRun(context, reply.flow, *record,
                                   ResultCode::kDeadlinePassed);
    else if (record->cancelled)
      this->dispatcher.EndAsNotRun(context, reply.flow, *record,
                                   ResultCode::kCancelled);
    else
      this->dispatcher.DispatchFirst(context, reply.flow, *record);
  }

  /** Handles a backend server's report that it has no record of a run. The run
   * may have been executed before the record was lost, so only idempotent
   * requests are retried. */
  void OnRunLost(const HandlerContext& context, const RunLost& lost) {
    const LocatedRecord located = this->store.FindByRun(lost.run);
    if (located.record == nullptr)
      return;
    RequestRecord& record = *located.record;
    this->placement.OnLoadReport(context.now, record.backend, lost.load);
    if (!IsOpen(record.state))
      return;
    this->placement.OnRunEnded(context.now, record.backend,
                               RunOutcome::kRefused);
    this->dispatcher.LogDecision(context, "run_lost", "backend", located.flow,
                                 record.number, record.backend,
                                 ResultCode::kOutcomeUnknown);
    if (record.idempotent)
      this->dispatcher.RetryOrEnd(context, located.flow, record,
                                  ResultCode::kUnavailable, true);
    else
      this->dispatcher.EndRequest(context, located.flow, record,
                                  RequestState::kUnknown,
                                  ResultCode::kOutcomeUnknown);
  }

  /** Handles the expired timers of open requests and removes expired records.
   */
  void Tick(const HandlerContext& context) {
    LocatedRecord due = this->store.NextDue(context.now);
    while (due.record != nullptr) {
      this->dispatcher.OnRequestTimer(context, due.flow, *due.record);
      due = this->store.NextDue(context.now);
    }
  }

  /** @return Number of requests that are open, or whose answer or unknown
   * outcome may not have reached the caller yet. */
  size_t Unfinished() const { return this->store.Unfinished(); }
  /** @return Number of request records. */
  size_t RecordCount() const { return this->store.RecordCount(); }
  /** @return Number of flows that have request records. */
  size_t FlowCount() const { return this->store.FlowCount(); }

 private:
  /** Maximum number of parts in one answer. */
  static constexpr uint32_t kMaxParts = 4096;
  /** Maximum number of parts sent in reply to one packet from a caller. */
  static constexpr size_t kMaxPartsPerReply = 32;
  /** Time that a record is retained after the request's deadline. It exceeds
   * the clock skew between two VMs, so that a duplicate arriving after the
   * removal of the record is always refused because of its deadline. */
  static constexpr Seconds kRecordRetentionMargin{2};

  /** @return The code if it guarantees that a request was not run; kOverloaded
   * for any other code in a backend server's refusal. */
  static ResultCode NotRunCodeFor(ResultCode code) {
    return OutcomeOf(code) == Outcome::kNotRun ? code : ResultCode::kOverloaded;
  }

  /** @return Hash of the request's class, deadline and payload. */
  static uint64_t FingerprintOf(const Request& request) {
    const std::string_view payload = AsStringView(request.payload);
    const std::array<uint64_t, 3> parts{
        request.work_class.value, static_cast<uint64_t>(request.deadline),
        XXH3_64bits(payload.data(), payload.size())};
    return XXH3_64bits(parts.data(), sizeof(parts));
  }

  /** Accepts a new request; answers a retransmission from the record; refuses
   * a request that an earlier owner or an evicted record may have covered. */
  void AcceptOrAnswer(const HandlerContext& context,
                      const CallerPath& path,
                      const FlowToken& token,
                      const Request& request) {
    FlowWindow& window = this->store.WindowOf(request.flow);
    RequestRecord* const existing = window.Find(request.number);
    if (existing != nullptr) {
      this->AnswerRetransmission(context, path, *existing, request);
      return;
    }
    const WorkClass* const work =
        FindClass(*context.blackboard.config.value, request.work_class);
    const bool idempotent = work != nullptr && work->idempotent;
    const bool below_fence = !idempotent && request.number <= token.fence;
    if (below_fence || window.MayHaveBeenRemoved(request.number)) {
      this->RefuseWithoutRecord(context, path, request,
                                ResultCode::kOutcomeUnknown,
                                below_fence ? "fence" : "forgotten");
      return;
    }
    if (context.blackboard.self.value->stopping && !idempotent) {
      this->dispatcher.HandOver(context, path, token, request.number,
                                "stopping");
      return;
    }
    if (!this->store.MakeRoom(window)) {
      this->dispatcher.LogDecision(context, "drop", "records", request.flow,
                                   request.number, VmId{},
                                   ResultCode::kTooManyRequests);
      return;
    }
    this->AcceptNew(context, path, token, window, request, work);
  }

  /** Answers a retransmission from the request's record, or refuses a different
   * request that reuses the number. */
  void AnswerRetransmission(const HandlerContext& context,
                            const CallerPath& path,
                            RequestRecord& record,
                            const Request& request) {
    if (record.fingerprint != FingerprintOf(request)) {
      this->RefuseWithoutRecord(context, path, request,
                                ResultCode::kNumberReused, "fingerprint");
      return;
    }
    record.path = path;
    this->SendCurrentState(context, request.flow, record);
  }

  /** Sends the caller the state of its request: a receipt while it is open;
   * afterwards the first parts of the answer, the result code, or the flow's
   * next token. */
  void SendCurrentState(const HandlerContext& context,
                        FlowId flow,
                        const RequestRecord& record) {
    const VmInstance& self = context.blackboard.self.value->id;
    if (IsOpen(record.state)) {
      SendReceipt(record.path, flow, record.number, self, context.out);
      return;
    }
    if (record.code == ResultCode::kMoved) {
      this->dispatcher.HandOver(context, record.path, record.token,
                                record.number, "repeat");
      return;
    }
    if (record.state != RequestState::kAnswered) {
      SendOutcome(record.path, flow, record.number, record.code, context.out);
      return;
    }
    const size_t count = std::min(record.parts.size(), kMaxPartsPerReply);
    for (uint32_t part = 0; part < count; ++part)
      SendPart(flow, record, part, self, context.out);
  }

  /** Refuses a request without adding a record. Use this only if every later
   * duplicate of the request would be refused as well. */
  void RefuseWithoutRecord(const HandlerContext& context,
                           const CallerPath& path,
                           const Request& request,
                           ResultCode code,
                           const char* reason) {
    this->dispatcher.LogDecision(context, "refuse", reason, request.flow,
                                 request.number, VmId{}, code);
    SendOutcome(path, request.flow, request.number, code, context.out);
  }

  /**
   * Records a new request and starts its dispatch, or ends it if its class or
   * deadline is invalid.
   * @param work Class of the request; null if the configuration does not
   * have the class.
   */
  void AcceptNew(const HandlerContext& context,
                 const CallerPath& path,
                 const FlowToken& token,
                 FlowWindow& window,
                 const Request& request,
                 const WorkClass* work) {
    RequestRecord new_record;
    new_record.number = request.number;
    new_record.work_class = request.work_class;
    new_record.idempotent = work != nullptr && work->idempotent;
    new_record.fingerprint = FingerprintOf(request);
    new_record.arrived_at = context.now;
    new_record.deadline = FromUnixMicroseconds(request.deadline);
    new_record.path = path;
    new_record.token = token;
    if (new_record.deadline > context.now + this->limits.deadline_limit) {
      this->RefuseWithoutRecord(context, path, request,
                                ResultCode::kDeadlineTooFar, "deadline");
      return;
    }
    new_record.expires_at =
        std::max(new_record.deadline, context.now) + kRecordRetentionMargin;
    const bool first_of_flow = window.HighestNumber() == RequestNumber{};
    RequestRecord& record = this->store.Add(window, std::move(new_record));
    if (work == nullptr || work->service != token.service) {
      this->dispatcher.EndAsNotRun(context, request.flow, record,
                                   ResultCode::kUnknownClass);
      return;
    }
    if (record.deadline <= context.now) {
      // The flow's records may all have expired, including the record of an
      // earlier transmission of this request that was dispatched.
      if (first_of_flow)
        this->dispatcher.EndRequest(context, request.flow, record,
                                    RequestState::kUnknown,
                                    ResultCode::kOutcomeUnknown);
      else
        this->dispatcher.EndAsNotRun(context, request.flow, record,
                                     ResultCode::kDeadlinePassed);
      return;
    }
    this->dispatcher.OnRequestAccepted();
    record.payload = AsStringView(request.payload);
    SendReceipt(path, request.flow, record.number,
                context.blackboard.self.value->id, context.out);
    if (record.idempotent || token.witness == VmInstance{})
      this->dispatcher.DispatchFirst(context, request.flow, record);
    else
      this->dispatcher.SendIntent(context, request.flow, record);
  }

  RequestLimits limits;  ///< Limits on requests and on their records.
  Placement& placement;  ///< Receives load reports and the ends of runs.
  RecordStore store;     ///< Request records of the shard.
  Dispatcher<Placement> dispatcher;  ///< Dispatches the recorded requests.
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_SHARD_BASE_H_
