/** @file caller_base.cc The caller's side of the protocol. */

#include "caller/caller_base.h"

#include <algorithm>
#include <array>

namespace cuminvane {
namespace {

constexpr Milliseconds kFirstBackoff{150};
constexpr Milliseconds kMostBackoff{1200};
/** Silence after which missing parts are asked for. */
constexpr Milliseconds kPartGap{60};
/** Silence after which the balancer that has the request is asked how it
 * stands. */
constexpr Milliseconds kStateInterval{600};
/** Time in which a better word may follow one that the outcome is unknown. */
constexpr Milliseconds kSettleTime{1000};
/** Keeps the office's address translation open, and finds a lost owner before
 * the next request does. */
constexpr Milliseconds kKeepaliveInterval{10000};
constexpr Milliseconds kKeepaliveSpread{5000};
constexpr int kMostSilentPolls = 3;
constexpr uint32_t kMostParts = 4096;
constexpr size_t kMostRuns = 4;
constexpr size_t kPartsPerQuestion = 64;
/** A feed's way to its caller is renewed this often, so that it heals within
 * that time. */
constexpr Milliseconds kFeedRenewal{4000};
constexpr size_t kMostEarlyEvents = 256;
constexpr std::array<char, kOpenPadding> kPaddingBytes{};
constexpr std::string_view kPadding(kPaddingBytes.data(), kPaddingBytes.size());

Milliseconds NextBackoff(Milliseconds backoff) {
  return backoff.count() == 0 ? kFirstBackoff
                              : std::min(backoff * 2, kMostBackoff);
}

}  // namespace

FlowHandle Caller::OpenFlow(TimePoint now,
                            const Endpoint& service,
                            TimePoint give_up_at,
                            CallerOutput& out) {
  const FlowHandle handle{this->next_handle++};
  Flow& flow = this->flows[handle];
  flow.handle = handle;
  flow.service = service;
  flow.nonce = DrawId(this->random);
  flow.opening_since = now;
  flow.open_gives_up_at = give_up_at;
  this->by_nonce[flow.nonce] = handle;
  this->SendOpen(now, flow, out);
  return handle;
}

RequestKey Caller::Send(TimePoint now,
                        FlowHandle handle,
                        ClassId work_class,
                        TimePoint deadline,
                        std::string payload,
                        CallerOutput& out) {
  const RequestKey key{this->next_key++};
  const auto flow = this->flows.find(handle);
  if (flow == this->flows.end())
    return key;
  flow->second.waiting.push_back(
      {key, work_class, deadline, std::move(payload), now});
  this->Wake(deadline, handle);
  this->SubmitWaiting(now, flow->second, out);
  return key;
}

void Caller::Cancel(TimePoint now,
                    FlowHandle handle,
                    RequestKey key,
                    CallerOutput& out) {
  const auto flow = this->flows.find(handle);
  if (flow == this->flows.end())
    return;
  for (auto& [number, request] : flow->second.pending) {
    if (request.key != key)
      continue;
    const struct Cancel cancel {
      flow->second.id, MakeBlob(request.token), number, request.holder
    };
    out.datagrams.push_back({flow->second.service, Encode(cancel)});
    request.act_at = now + kStateInterval;
    this->Wake(request.act_at, handle);
  }
}

RequestKey Caller::FollowFeed(TimePoint now,
                              FlowHandle handle,
                              std::string topic,
                              int64_t position) {
  const RequestKey key{this->next_key++};
  const auto flow = this->flows.find(handle);
  if (flow == this->flows.end())
    return key;
  const RequestNumber number{flow->second.feeds.size() + 1};
  Feed& feed = flow->second.feeds[number];
  feed.key = key;
  feed.number = number;
  feed.topic = std::move(topic);
  feed.position = position;
  feed.renew_at = now;
  this->Wake(now, handle);
  return key;
}

void Caller::CloseFlow(FlowHandle handle) {
  const auto flow = this->flows.find(handle);
  if (flow == this->flows.end())
    return;
  this->by_id.erase(flow->second.id);
  this->by_nonce.erase(flow->second.nonce);
  this->by_nonce.erase(flow->second.keepalive_nonce);
  this->flows.erase(flow);
}

void Caller::OnPacket(TimePoint now,
                      std::string_view bytes,
                      CallerOutput& out) {
  const Result<Header> header = DecodeHeader(bytes);
  if (!header)
    return;
  const auto handle = [&]<class Message>(void (Caller::*handler)(
                          TimePoint, const Message&, CallerOutput&)) {
    const Result<Message> message = Decode<Message>(bytes, header.value());
    if (message)
      (this->*handler)(now, message.value(), out);
  };
  switch (header.value().type) {
    case MessageType::kOpened:
      handle(&Caller::OnOpened);
      break;
    case MessageType::kPart:
      handle(&Caller::OnPart);
      break;
    case MessageType::kVerdict:
      handle(&Caller::OnVerdict);
      break;
    case MessageType::kFeedEvent:
      handle(&Caller::OnFeedEvent);
      break;
    case MessageType::kFollowing:
      if (const Result<Following> following =
              Decode<Following>(bytes, header.value()))
        this->OnFollowing(now, following.value());
      break;
    case MessageType::kReceipt:
      if (const Result<Receipt> receipt =
              Decode<Receipt>(bytes, header.value()))
        this->OnReceipt(now, receipt.value());
      break;
    default:
      break;
  }
}

void Caller::Tick(TimePoint now, CallerOutput& out) {
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    const FlowHandle handle = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    const auto flow = this->flows.find(handle);
    if (flow != this->flows.end())
      this->TickFlow(now, flow->second, out);
  }
}

std::string Caller::TokenOf(FlowHandle flow) const {
  const auto known = this->flows.find(flow);
  return known == this->flows.end() ? "" : known->second.token;
}

size_t Caller::Pending() const {
  size_t pending = 0;
  for (const auto& [handle, flow] : this->flows)
    pending += flow.pending.size() + flow.waiting.size();
  return pending;
}

void Caller::SendOpen(TimePoint now, Flow& flow, CallerOutput& out) {
  std::string packet;
  if (flow.id == FlowId{}) {
    packet = Encode(Open{flow.nonce, MakeBlob(kPadding)});
  } else {
    // As an open, a reopen must not be smaller than its answer.
    packet = Encode(Reopen{flow.id, MakeBlob(flow.token), flow.nonce,
                           flow.highest, MakeBlob(kPadding)});
  }
  out.datagrams.push_back({flow.service, std::move(packet)});
  flow.open_backoff = NextBackoff(flow.open_backoff);
  flow.open_act_at = now + flow.open_backoff;
  this->Wake(flow.open_act_at, flow.handle);
}

void Caller::SendKeepalive(TimePoint now, Flow& flow, CallerOutput& out) {
  this->ScheduleKeepalive(now, flow);
  // A flow in use shows by its requests whether its owner is there.
  if (!flow.pending.empty() || flow.nonce != 0)
    return;
  this->by_nonce.erase(flow.keepalive_nonce);
  flow.keepalive_nonce = DrawId(this->random);
  this->by_nonce[flow.keepalive_nonce] = flow.handle;
  const Reopen keepalive{
      flow.id,      MakeBlob(flow.token), flow.keepalive_nonce,
      flow.highest, MakeBlob(kPadding),   true};
  out.datagrams.push_back({flow.service, Encode(keepalive)});
}

void Caller::ScheduleKeepalive(TimePoint now, Flow& flow) {
  // Spread, so that flows that opened together do not all ask together.
  const auto spread = static_cast<size_t>(kKeepaliveSpread.count());
  flow.keepalive_at =
      now + kKeepaliveInterval + Milliseconds(DrawIndex(this->random, spread));
  this->Wake(flow.keepalive_at, flow.handle);
}

void Caller::OnKeepaliveAnswer(TimePoint now,
                               Flow& flow,
                               const Opened& opened) {
  this->by_nonce.erase(flow.keepalive_nonce);
  flow.keepalive_nonce = 0;
  this->ScheduleKeepalive(now, flow);
  // An empty token: the flow stays where it is.
  if (opened.token.size == 0 || opened.fence < flow.fence)
    return;
  flow.token = View(opened.token);
  flow.fence = opened.fence;
}

void Caller::StartReopen(TimePoint now, Flow& flow, CallerOutput& out) {
  if (flow.nonce != 0)
    return;
  flow.nonce = DrawId(this->random);
  flow.opening_since = now;
  flow.open_gives_up_at = kNever;
  flow.open_backoff = Milliseconds(0);
  this->by_nonce[flow.nonce] = flow.handle;
  this->SendOpen(now, flow, out);
}

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
  request.wire_deadline = ToWire(waiting.deadline + flow.clock_offset);
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
  NeedParts question{flow.id,        MakeBlob(request.token),
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
  event.kind = CallerEvent::Kind::kFinished;
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

void Caller::OnOpened(TimePoint now, const Opened& opened, CallerOutput& out) {
  const auto handle = this->by_nonce.find(opened.nonce);
  if (handle == this->by_nonce.end())
    return;
  Flow& flow = this->flows.at(handle->second);
  if (static_cast<ResultCode>(opened.code) != ResultCode::kOk)
    return;  // Tried again until the open gives up; another balancer may know
             // more.
  const bool first = flow.id == FlowId{};
  if (!first && flow.id != opened.flow)
    return;
  if (opened.nonce == flow.keepalive_nonce) {
    this->OnKeepaliveAnswer(now, flow, opened);
    return;
  }
  this->ScheduleKeepalive(now, flow);
  this->by_nonce.erase(handle);
  flow.id = opened.flow;
  flow.token = View(opened.token);
  flow.fence = opened.fence;
  flow.nonce = 0;
  flow.open_act_at = kNever;
  this->by_id[flow.id] = flow.handle;
  const TimePoint middle = flow.opening_since + (now - flow.opening_since) / 2;
  if (first) {
    flow.clock_offset = FromWire(opened.server_time) - middle;
    CallerEvent event;
    event.kind = CallerEvent::Kind::kOpened;
    event.flow_handle = flow.handle;
    event.flow = flow.id;
    event.latency = now - flow.opening_since;
    out.events.push_back(event);
  }
  for (auto& [number, request] : flow.pending) {
    // The fence covers it: the new owner never dispatches it, but runs it if
    // it is idempotent, and else says that its outcome is unknown.
    if (number > flow.fence)
      continue;
    request.token = flow.token;
    request.holder = {};
    request.backoff = Milliseconds(0);
    this->SendRequest(now, flow, request, out);
  }
  this->SubmitWaiting(now, flow, out);
}

void Caller::OnPart(TimePoint now, const Part& part, CallerOutput& out) {
  Flow* const flow = this->FindFlow(part.flow);
  if (flow == nullptr)
    return;
  PendingRequest* const request = this->FindPending(*flow, part.number);
  if (request == nullptr) {
    // A late copy: the holder has not heard yet that the answer is complete.
    const Done done{flow->id, MakeBlob(flow->token), part.number, part.holder};
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
  assembly.parts[part.index] = View(part.payload);
  assembly.have[part.index] = true;
  ++assembly.arrived;
  if (assembly.arrived < assembly.parts.size())
    return;
  std::string answer;
  for (const std::string& piece : assembly.parts)
    answer += piece;
  const Done done{flow->id, MakeBlob(request->token), part.number, part.holder};
  out.datagrams.push_back({flow->service, Encode(done)});
  this->Finish(now, *flow, part.number, ResultCode::kOk, std::move(answer),
               out);
}

void Caller::OnVerdict(TimePoint now,
                       const Verdict& verdict,
                       CallerOutput& out) {
  Flow* const flow = this->FindFlow(verdict.flow);
  if (flow == nullptr)
    return;
  PendingRequest* const request = this->FindPending(*flow, verdict.number);
  if (request == nullptr)
    return;
  const auto code = static_cast<ResultCode>(verdict.code);
  if (verdict.token.size != 0 && verdict.fence > flow->fence) {
    flow->token = View(verdict.token);
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

void Caller::OnFeedEvent(TimePoint now,
                         const FeedEvent& event,
                         CallerOutput& out) {
  Feed* const feed = this->FindFeed(event.flow, event.number);
  if (feed == nullptr || event.position <= feed->position)
    return;
  Flow& flow = *this->FindFlow(event.flow);
  feed->unanswered = 0;
  const bool follows = feed->position == 0 || event.previous == feed->position;
  if (!follows) {
    if (feed->early.size() < kMostEarlyEvents)
      feed->early[event.previous] = {event.position,
                                     std::string(View(event.payload))};
    // The missing ones may only be late; if not, they are asked for.
    feed->renew_at = std::min(feed->renew_at, now + kPartGap);
    this->Wake(feed->renew_at, flow.handle);
    return;
  }
  this->DeliverEvent(flow, *feed, event.position,
                     std::string(View(event.payload)), out);
  for (auto next = feed->early.find(feed->position); next != feed->early.end();
       next = feed->early.find(feed->position))
    this->DeliverEvent(flow, *feed, next->second.position,
                       std::move(next->second.payload), out);
  feed->early.erase(feed->early.begin(),
                    feed->early.lower_bound(feed->position));
}

void Caller::DeliverEvent(Flow& flow,
                          Feed& feed,
                          int64_t position,
                          std::string payload,
                          CallerOutput& out) {
  feed.position = position;
  CallerEvent event;
  event.kind = CallerEvent::Kind::kFeedEvent;
  event.flow_handle = flow.handle;
  event.request = feed.key;
  event.flow = flow.id;
  event.number = feed.number;
  event.position = position;
  event.answer = std::move(payload);
  out.events.push_back(std::move(event));
}

void Caller::OnFollowing(TimePoint now, const Following& following) {
  Feed* const feed = this->FindFeed(following.flow, following.number);
  if (feed == nullptr)
    return;
  feed->unanswered = 0;
  feed->renew_at = now + kFeedRenewal;
  this->Wake(feed->renew_at, this->FindFlow(following.flow)->handle);
}

void Caller::TickFeeds(TimePoint now, Flow& flow, CallerOutput& out) {
  // Before the flow is open there is nothing to name it by.
  if (flow.id == FlowId{} && !flow.feeds.empty())
    this->Wake(now + kFirstBackoff, flow.handle);
  if (flow.id == FlowId{})
    return;
  for (auto& [number, feed] : flow.feeds) {
    if (feed.renew_at > now)
      continue;
    const Follow follow{flow.id,         MakeBlob(flow.token),
                        number,          feed.position,
                        feed.unanswered, MakeBlob(feed.topic)};
    out.datagrams.push_back({flow.service, Encode(follow)});
    // Until it is answered it is sent again soon: the path or the server may
    // have failed.
    ++feed.unanswered;
    feed.renew_at = now + kStateInterval;
    this->Wake(feed.renew_at, flow.handle);
  }
}

Caller::Feed* Caller::FindFeed(FlowId id, RequestNumber number) {
  Flow* const flow = this->FindFlow(id);
  if (flow == nullptr)
    return nullptr;
  const auto feed = flow->feeds.find(number);
  return feed == flow->feeds.end() ? nullptr : &feed->second;
}

void Caller::OnReceipt(TimePoint now, const Receipt& receipt) {
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
                     const Verdict& verdict,
                     CallerOutput& out) {
  // It was not taken and never will be: it goes out again under a new
  // number, which only the flow's present owner gets.
  WaitingRequest again{request.key, request.work_class, request.deadline,
                       std::move(request.payload), request.sent_at};
  flow.pending.erase(verdict.number);
  flow.waiting.push_back(std::move(again));
  this->SubmitWaiting(now, flow, out);
}

void Caller::OnOwnerLost(TimePoint now,
                         Flow& flow,
                         PendingRequest& request,
                         CallerOutput& out) {
  if (request.holder != Holder{}) {
    // Who had it on record is gone; any balancer may know who can say more.
    request.holder = {};
    request.backoff = Milliseconds(0);
    this->SendRequest(now, flow, request, out);
    return;
  }
  if (request.number > flow.fence || request.token == flow.token) {
    this->StartReopen(now, flow, out);
    return;
  }
  request.token = flow.token;
  request.holder = {};
  this->SendRequest(now, flow, request, out);
}

void Caller::TickFlow(TimePoint now, Flow& flow, CallerOutput& out) {
  this->TickOpening(now, flow, out);
  if (flow.keepalive_at <= now)
    this->SendKeepalive(now, flow, out);
  this->TickFeeds(now, flow, out);
  std::vector<RequestNumber> due;
  for (const auto& [number, request] : flow.pending) {
    if (request.act_at <= now || request.deadline <= now)
      due.push_back(number);
  }
  for (const RequestNumber number : due) {
    if (PendingRequest* const request = this->FindPending(flow, number))
      this->TickRequest(now, flow, *request, out);
  }
}

void Caller::TickOpening(TimePoint now, Flow& flow, CallerOutput& out) {
  for (auto waiting = flow.waiting.begin(); waiting != flow.waiting.end();) {
    if (waiting->deadline > now) {
      ++waiting;
      continue;
    }
    // It was never sent, so it was not run.
    CallerEvent event;
    event.flow_handle = flow.handle;
    event.request = waiting->key;
    event.flow = flow.id;
    event.code = ResultCode::kDeadlinePassed;
    event.latency = now - waiting->sent_at;
    out.events.push_back(event);
    waiting = flow.waiting.erase(waiting);
  }
  if (flow.nonce == 0)
    return;
  if (flow.open_gives_up_at <= now) {
    CallerEvent event;
    event.kind = CallerEvent::Kind::kOpenFailed;
    event.flow_handle = flow.handle;
    event.code = ResultCode::kNoBackend;
    event.latency = now - flow.opening_since;
    out.events.push_back(event);
    flow.open_gives_up_at = kNever;
    flow.open_act_at = kNever;
    return;
  }
  if (flow.open_act_at <= now)
    this->SendOpen(now, flow, out);
}

void Caller::TickRequest(TimePoint now,
                         Flow& flow,
                         PendingRequest& request,
                         CallerOutput& out) {
  if (request.deadline <= now) {
    this->Finish(now, flow, request.number, request.provisional, "", out);
    return;
  }
  if (request.holder == Holder{}) {
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

Caller::Flow* Caller::FindFlow(FlowId id) {
  const auto handle = this->by_id.find(id);
  if (handle == this->by_id.end())
    return nullptr;
  return &this->flows.at(handle->second);
}

Caller::PendingRequest* Caller::FindPending(Flow& flow, RequestNumber number) {
  const auto request = flow.pending.find(number);
  return request == flow.pending.end() ? nullptr : &request->second;
}

void Caller::Wake(TimePoint at, FlowHandle flow) {
  this->timers.emplace(at, flow);
}

}  // namespace cuminvane
