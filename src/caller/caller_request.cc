/** @file caller_request.cc Sending requests and assembling their answers. */

#include "caller/caller_base.h"

#include <algorithm>

#include "caller/caller_timing.h"

namespace cuminvane {
namespace {

/** Time to wait for a late answer or a more precise outcome after a balancer
 * has reported that the outcome is unknown. */
constexpr Milliseconds kOutcomeSettlePeriod{1000};
/** Consecutive unanswered queries after which the holder counts as lost. */
constexpr int kMaxUnansweredQueries = 3;
/** Maximum parts of an answer, and maximum runs of a request whose answers are
 * assembled. They bound the memory that invalid messages can use. */
constexpr uint32_t kMaxPartsPerAnswer = 4096;
constexpr size_t kMaxRunsPerRequest = 4;
/** Maximum number of part indexes in one MissingPartsQuery. */
constexpr size_t kMaxPartsPerQuery = 64;

}  // namespace

void Caller::SubmitWaitingRequests(TimePoint now,
                                   Flow& flow,
                                   CallerOutput& out) {
  // Requests get no numbers while the flow is opening or changing its owner.
  if (flow.nonce != 0)
    return;
  std::vector<WaitingRequest> waiting = std::move(flow.waiting);
  flow.waiting.clear();
  for (WaitingRequest& request : waiting)
    this->SubmitRequest(now, flow, std::move(request), out);
}

void Caller::SubmitRequest(TimePoint now,
                           Flow& flow,
                           WaitingRequest waiting,
                           CallerOutput& out) {
  flow.highest_number =
      RequestNumber{std::max(flow.highest_number, flow.fence).value + 1};
  PendingRequest& request = flow.pending[flow.highest_number];
  request.key = waiting.key;
  request.number = flow.highest_number;
  request.token = flow.token;
  request.work_class = waiting.work_class;
  request.deadline = waiting.deadline;
  request.server_deadline_us =
      ToUnixMicroseconds(waiting.deadline + flow.clock_offset);
  request.payload = std::move(waiting.payload);
  request.sent_at = waiting.sent_at;
  this->SendRequest(now, flow, request, out);
}

void Caller::SendRequest(TimePoint now,
                         Flow& flow,
                         PendingRequest& request,
                         CallerOutput& out) {
  const Request packet{flow.id,
                       MakeBlob(request.token),
                       request.number,
                       request.work_class,
                       request.server_deadline_us,
                       request.attempts,
                       MakeBlob(request.payload)};
  out.datagrams.push_back({flow.service, Encode(packet)});
  ++request.attempts;
  request.backoff = NextBackoff(request.backoff);
  request.next_action_at = std::min(now + request.backoff, request.deadline);
  this->ScheduleTimer(request.next_action_at, flow.handle);
}

void Caller::QueryMissingParts(TimePoint now,
                               Flow& flow,
                               PendingRequest& request,
                               CallerOutput& out) {
  MissingPartsQuery query{flow.id,        MakeBlob(request.token),
                          request.number, request.latest_run,
                          request.holder, {}};
  const AnswerAssembly& assembly = request.assemblies[request.latest_run];
  for (uint32_t index = 0; index < assembly.received.size(); ++index) {
    if (!assembly.received[index] && query.missing.size() < kMaxPartsPerQuery)
      query.missing.push_back(index);
  }
  out.datagrams.push_back({flow.service, Encode(query)});
  ++request.unanswered_queries;
  const Milliseconds interval = query.missing.empty()
                                    ? kStatusQueryInterval
                                    : kGapTimeout * request.unanswered_queries;
  request.next_action_at = std::min(now + interval, request.deadline);
  this->ScheduleTimer(request.next_action_at, flow.handle);
}

void Caller::FinishRequest(TimePoint now,
                           Flow& flow,
                           RequestNumber number,
                           ResultCode code,
                           std::string answer,
                           CallerOutput& out) {
  const auto request = flow.pending.find(number);
  CallerEvent event;
  event.kind = CallerEvent::Kind::kRequestFinished;
  event.flow_handle = flow.handle;
  event.request = request->second.key;
  event.flow = flow.id;
  event.number = number;
  event.code = code;
  event.answer = std::move(answer);
  event.latency = now - request->second.sent_at;
  event.attempts = request->second.attempts;
  out.events.push_back(std::move(event));
  flow.pending.erase(request);
}

void Caller::OnAnswerPart(TimePoint now,
                          const AnswerPart& part,
                          CallerOutput& out) {
  Flow* const flow = this->FindFlow(part.flow);
  if (flow == nullptr)
    return;
  PendingRequest* const request = this->FindPending(*flow, part.number);
  if (request == nullptr) {
    // The request has finished, but the holder retransmits parts because it has
    // not received AnswerReceived. AnswerReceived is sent again when the last
    // part arrives, so only once per retransmitted answer.
    const AnswerReceived acknowledgement{flow->id, MakeBlob(flow->token),
                                         part.number, part.holder};
    if (part.index + 1 == part.count)
      out.datagrams.push_back({flow->service, Encode(acknowledgement)});
    return;
  }
  const bool is_valid = part.count != 0 && part.count <= kMaxPartsPerAnswer &&
                        part.index < part.count;
  const bool is_known_run = request->assemblies.contains(part.run);
  if (!is_valid ||
      (!is_known_run && request->assemblies.size() >= kMaxRunsPerRequest))
    return;
  AnswerAssembly& assembly = request->assemblies[part.run];
  if (assembly.parts.empty()) {
    assembly.parts.resize(part.count);
    assembly.received.resize(part.count);
  }
  if (assembly.parts.size() != part.count)
    return;
  request->holder = part.holder;
  request->latest_run = part.run;
  request->unanswered_queries = 0;
  request->next_action_at = std::min(now + kGapTimeout, request->deadline);
  this->ScheduleTimer(request->next_action_at, flow->handle);
  if (assembly.received[part.index])
    return;
  assembly.parts[part.index] = AsStringView(part.payload);
  assembly.received[part.index] = true;
  ++assembly.received_count;
  if (assembly.received_count < assembly.parts.size())
    return;
  std::string answer;
  for (const std::string& part_text : assembly.parts)
    answer += part_text;
  const AnswerReceived acknowledgement{flow->id, MakeBlob(request->token),
                                       part.number, part.holder};
  out.datagrams.push_back({flow->service, Encode(acknowledgement)});
  this->FinishRequest(now, *flow, part.number, ResultCode::kOk,
                      std::move(answer), out);
}

void Caller::OnRequestOutcome(TimePoint now,
                              const RequestOutcome& outcome,
                              CallerOutput& out) {
  Flow* const flow = this->FindFlow(outcome.flow);
  if (flow == nullptr)
    return;
  PendingRequest* const request = this->FindPending(*flow, outcome.number);
  if (request == nullptr)
    return;
  const auto code = static_cast<ResultCode>(outcome.code);
  if (outcome.token.size != 0 && outcome.fence > flow->fence) {
    flow->token = AsStringView(outcome.token);
    flow->fence = outcome.fence;
  }
  if (code == ResultCode::kMoved) {
    this->OnMoved(now, *flow, *request, outcome, out);
    return;
  }
  if (code == ResultCode::kOwnerLost) {
    this->OnOwnerLost(now, *flow, *request, out);
    return;
  }
  if (OutcomeOf(code) == Outcome::kNotRun || code == ResultCode::kUnavailable ||
      code == ResultCode::kAnswerTooLarge ||
      code == ResultCode::kDeadlineTooFar) {
    this->FinishRequest(now, *flow, outcome.number, code, "", out);
    return;
  }
  // Another balancer may still deliver an answer or a more precise outcome.
  request->provisional_code = code;
  if (code != ResultCode::kOutcomeUnknown)
    return;
  request->deadline = std::min(request->deadline, now + kOutcomeSettlePeriod);
  request->next_action_at = request->deadline;
  this->ScheduleTimer(request->next_action_at, flow->handle);
}

void Caller::OnRequestRecorded(TimePoint now, const RequestRecorded& recorded) {
  Flow* const flow = this->FindFlow(recorded.flow);
  if (flow == nullptr)
    return;
  PendingRequest* const request = this->FindPending(*flow, recorded.number);
  if (request == nullptr)
    return;
  request->holder = recorded.holder;
  request->unanswered_queries = 0;
  request->next_action_at =
      std::min(now + kStatusQueryInterval, request->deadline);
  this->ScheduleTimer(request->next_action_at, flow->handle);
}

void Caller::OnMoved(TimePoint now,
                     Flow& flow,
                     PendingRequest& request,
                     const RequestOutcome& outcome,
                     CallerOutput& out) {
  // The request was not dispatched and never will be. It is resubmitted under a
  // new number, which only the flow's present owner accepts.
  WaitingRequest resubmitted{request.key, request.work_class, request.deadline,
                             std::move(request.payload), request.sent_at};
  flow.pending.erase(outcome.number);
  flow.waiting.push_back(std::move(resubmitted));
  this->SubmitWaitingRequests(now, flow, out);
}

void Caller::TickRequest(TimePoint now,
                         Flow& flow,
                         PendingRequest& request,
                         CallerOutput& out) {
  if (request.deadline <= now) {
    this->FinishRequest(now, flow, request.number, request.provisional_code, "",
                        out);
    return;
  }
  if (request.holder == VmInstance{}) {
    this->SendRequest(now, flow, request, out);
    return;
  }
  if (request.unanswered_queries >= kMaxUnansweredQueries) {
    // The holder doesn't answer. Any balancer can route the request to the
    // owner or witness that knows its state.
    request.holder = {};
    request.unanswered_queries = 0;
    this->SendRequest(now, flow, request, out);
    return;
  }
  this->QueryMissingParts(now, flow, request, out);
}

}  // namespace cuminvane
