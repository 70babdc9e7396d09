/** @file caller_request.cc The caller sends requests and puts their answers
 * together. */

#include "caller/caller_base.h"

#include <algorithm>

#include "caller/caller_timing.h"

namespace cuminvane {
namespace {

/** Time in which a better word may follow one that the outcome is unknown. */
constexpr Milliseconds kSettleTime{1000};
constexpr int kMostSilentPolls = 3;
constexpr uint32_t kMostParts = 4096;
constexpr size_t kMostRuns = 4;
constexpr size_t kPartsPerQuestion = 64;

}  // namespace

void Caller::SubmitWaiting(TimePoint now, Flow& flow, CallerOutput& out) {
  // While the flow is opening, or changing its owner, no number is given out.
  if (flow.nonce != 0)
    return;
  std::vector<WaitingRequest> waiting = std::move(flow.waiting);
  flow.waiting.clear();
  for (WaitingRequest& request : waiting)
    this->Submit(now, flow, std::move(request), out);
}

void Caller::Submit(TimePoint now,
                    Flow& flow,
                    WaitingRequest waiting,
                    CallerOutput& out) {
  flow.highest = RequestNumber{std::max(flow.highest, flow.fence).value + 1};
  PendingRequest& request = flow.pending[flow.highest];
  request.key = waiting.key;
  request.number = flow.highest;
  request.token = flow.token;
  request.work_class = waiting.work_class;
  request.deadline = waiting.deadline;
  request.wire_deadline =
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
                       request.wire_deadline,
                       request.attempts,
                       MakeBlob(request.payload)};
  out.datagrams.push_back({flow.service, Encode(packet)});
  ++request.attempts;
  request.backoff = NextBackoff(request.backoff);
  request.act_at = std::min(now + request.backoff, request.deadline);
  this->Wake(request.act_at, flow.handle);
}

void Caller::AskForParts(TimePoint now,
                         Flow& flow,
                         PendingRequest& request,
                         CallerOutput& out) {
  MissingPartsQuery question{flow.id,        MakeBlob(request.token),
                             request.number, request.newest_run,
                             request.holder, {}};
  const Assembly& assembly = request.runs[request.newest_run];
  for (uint32_t index = 0; index < assembly.have.size(); ++index) {
    if (!assembly.have[index] && question.missing.size() < kPartsPerQuestion)
      question.missing.push_back(index);
  }
  out.datagrams.push_back({flow.service, Encode(question)});
  ++request.silent_polls;
  const Milliseconds interval = question.missing.empty()
                                    ? kStateInterval
                                    : kPartGap * request.silent_polls;
  request.act_at = std::min(now + interval, request.deadline);
  this->Wake(request.act_at, flow.handle);
}

void Caller::Finish(TimePoint now,
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

void Caller::OnPart(TimePoint now, const AnswerPart& part, CallerOutput& out) {
  Flow* const flow = this->FindFlow(part.flow);
  if (flow == nullptr)
    return;
  PendingRequest* const request = this->FindPending(*flow, part.number);
  if (request == nullptr) {
    // A late copy: the holder has not heard yet that the answer is complete.
    const AnswerReceived done{flow->id, MakeBlob(flow->token), part.number,
                              part.holder};
    if (part.index + 1 == part.count)
      out.datagrams.push_back({flow->service, Encode(done)});
    return;
  }
  const bool sound =
      part.count != 0 && part.count <= kMostParts && part.index < part.count;
  const bool known = request->runs.contains(part.run);
  if (!sound || (!known && request->runs.size() >= kMostRuns))
    return;
  Assembly& assembly = request->runs[part.run];
  if (assembly.parts.empty()) {
    assembly.parts.resize(part.count);
    assembly.have.resize(part.count);
  }
  if (assembly.parts.size() != part.count)
    return;
  request->holder = part.holder;
  request->newest_run = part.run;
  request->silent_polls = 0;
  request->act_at = std::min(now + kPartGap, request->deadline);
  this->Wake(request->act_at, flow->handle);
  if (assembly.have[part.index])
    return;
  assembly.parts[part.index] = AsStringView(part.payload);
  assembly.have[part.index] = true;
  ++assembly.arrived;
  if (assembly.arrived < assembly.parts.size())
    return;
  std::string answer;
  for (const std::string& piece : assembly.parts)
    answer += piece;
  const AnswerReceived done{flow->id, MakeBlob(request->token), part.number,
                            part.holder};
  out.datagrams.push_back({flow->service, Encode(done)});
  this->Finish(now, *flow, part.number, ResultCode::kOk, std::move(answer),
               out);
}

void Caller::OnVerdict(TimePoint now,
                       const RequestOutcome& verdict,
                       CallerOutput& out) {
  Flow* const flow = this->FindFlow(verdict.flow);
  if (flow == nullptr)
    return;
  PendingRequest* const request = this->FindPending(*flow, verdict.number);
  if (request == nullptr)
    return;
  const auto code = static_cast<ResultCode>(verdict.code);
  if (verdict.token.size != 0 && verdict.fence > flow->fence) {
    flow->token = AsStringView(verdict.token);
    flow->fence = verdict.fence;
  }
  if (code == ResultCode::kMoved) {
    this->OnMoved(now, *flow, *request, verdict, out);
    return;
  }
  if (code == ResultCode::kOwnerLost) {
    this->OnOwnerLost(now, *flow, *request, out);
    return;
  }
  if (OutcomeOf(code) == Outcome::kNotRun || code == ResultCode::kUnavailable ||
      code == ResultCode::kAnswerTooLarge ||
      code == ResultCode::kDeadlineTooFar) {
    this->Finish(now, *flow, verdict.number, code, "", out);
    return;
  }
  // Another balancer, or a late answer, may still say something better.
  request->provisional = code;
  if (code != ResultCode::kOutcomeUnknown)
    return;
  request->deadline = std::min(request->deadline, now + kSettleTime);
  request->act_at = request->deadline;
  this->Wake(request->act_at, flow->handle);
}

void Caller::OnReceipt(TimePoint now, const RequestRecorded& receipt) {
  Flow* const flow = this->FindFlow(receipt.flow);
  if (flow == nullptr)
    return;
  PendingRequest* const request = this->FindPending(*flow, receipt.number);
  if (request == nullptr)
    return;
  request->holder = receipt.holder;
  request->silent_polls = 0;
  request->act_at = std::min(now + kStateInterval, request->deadline);
  this->Wake(request->act_at, flow->handle);
}

void Caller::OnMoved(TimePoint now,
                     Flow& flow,
                     PendingRequest& request,
                     const RequestOutcome& verdict,
                     CallerOutput& out) {
  // It was not taken and never will be: it goes out again under a new
  // number, which only the flow's present owner gets.
  WaitingRequest again{request.key, request.work_class, request.deadline,
                       std::move(request.payload), request.sent_at};
  flow.pending.erase(verdict.number);
  flow.waiting.push_back(std::move(again));
  this->SubmitWaiting(now, flow, out);
}

void Caller::TickRequest(TimePoint now,
                         Flow& flow,
                         PendingRequest& request,
                         CallerOutput& out) {
  if (request.deadline <= now) {
    this->Finish(now, flow, request.number, request.provisional, "", out);
    return;
  }
  if (request.holder == VmInstance{}) {
    this->SendRequest(now, flow, request, out);
    return;
  }
  if (request.silent_polls >= kMostSilentPolls) {
    // The holder does not answer; any balancer may know more.
    request.holder = {};
    request.silent_polls = 0;
    this->SendRequest(now, flow, request, out);
    return;
  }
  this->AskForParts(now, flow, request, out);
}

}  // namespace cuminvane
