/** @file caller_base.cc Public methods of Caller and the dispatch of datagrams
 * and timers. */

#include "caller/caller_base.h"

#include "caller/caller_timing.h"

namespace cuminvane {

FlowHandle Caller::OpenFlow(TimePoint now,
                            const Endpoint& service,
                            TimePoint open_deadline,
                            CallerOutput& out) {
  const FlowHandle handle{this->next_handle++};
  Flow& flow = this->flows[handle];
  flow.handle = handle;
  flow.service = service;
  flow.nonce = DrawId(this->random);
  flow.open_started_at = now;
  flow.open_deadline = open_deadline;
  this->handle_by_nonce[flow.nonce] = handle;
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
  this->ScheduleTimer(deadline, handle);
  this->SubmitWaitingRequests(now, flow->second, out);
  return key;
}

void Caller::CancelRequest(TimePoint now,
                           FlowHandle handle,
                           RequestKey key,
                           CallerOutput& out) {
  const auto flow = this->flows.find(handle);
  if (flow == this->flows.end())
    return;
  for (auto& [number, request] : flow->second.pending) {
    if (request.key != key)
      continue;
    const struct CancelRequest cancel {
      flow->second.id, MakeBlob(request.token), number, request.holder
    };
    out.datagrams.push_back({flow->second.service, Encode(cancel)});
    request.next_action_at = now + kStatusQueryInterval;
    this->ScheduleTimer(request.next_action_at, handle);
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
  this->ScheduleTimer(now, handle);
  return key;
}

void Caller::CloseFlow(FlowHandle handle) {
  const auto flow = this->flows.find(handle);
  if (flow == this->flows.end())
    return;
  this->handle_by_flow_id.erase(flow->second.id);
  this->handle_by_nonce.erase(flow->second.nonce);
  this->handle_by_nonce.erase(flow->second.keepalive_nonce);
  this->flows.erase(flow);
}

void Caller::OnPacket(TimePoint now,
                      std::string_view bytes,
                      CallerOutput& out) {
  const Result<DatagramHeader> header = DecodeHeader(bytes);
  if (!header)
    return;
  const auto decode_and_handle =
      [&]<class Message>(
          void (Caller::*handler)(TimePoint, const Message&, CallerOutput&)) {
        const Result<Message> message = Decode<Message>(bytes, header.value());
        if (message)
          (this->*handler)(now, message.value(), out);
      };
  switch (header.value().type) {
    case MessageType::kFlowOpened:
      decode_and_handle(&Caller::OnFlowOpened);
      break;
    case MessageType::kAnswerPart:
      decode_and_handle(&Caller::OnAnswerPart);
      break;
    case MessageType::kRequestOutcome:
      decode_and_handle(&Caller::OnRequestOutcome);
      break;
    case MessageType::kFeedEvent:
      decode_and_handle(&Caller::OnFeedEvent);
      break;
    case MessageType::kFeedFollowed:
      if (const Result<FeedFollowed> followed =
              Decode<FeedFollowed>(bytes, header.value()))
        this->OnFeedFollowed(now, followed.value());
      break;
    case MessageType::kRequestRecorded:
      if (const Result<RequestRecorded> recorded =
              Decode<RequestRecorded>(bytes, header.value()))
        this->OnRequestRecorded(now, recorded.value());
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

size_t Caller::PendingRequestCount() const {
  size_t pending = 0;
  for (const auto& [handle, flow] : this->flows)
    pending += flow.pending.size() + flow.waiting.size();
  return pending;
}

void Caller::TickFlow(TimePoint now, Flow& flow, CallerOutput& out) {
  this->TickOpening(now, flow, out);
  if (flow.keepalive_at <= now)
    this->SendKeepalive(now, flow, out);
  this->TickFeeds(now, flow, out);
  std::vector<RequestNumber> due;
  for (const auto& [number, request] : flow.pending) {
    if (request.next_action_at <= now || request.deadline <= now)
      due.push_back(number);
  }
  for (const RequestNumber number : due) {
    if (PendingRequest* const request = this->FindPending(flow, number))
      this->TickRequest(now, flow, *request, out);
  }
}

Caller::Flow* Caller::FindFlow(FlowId id) {
  const auto handle = this->handle_by_flow_id.find(id);
  if (handle == this->handle_by_flow_id.end())
    return nullptr;
  return &this->flows.at(handle->second);
}

Caller::PendingRequest* Caller::FindPending(Flow& flow, RequestNumber number) {
  const auto request = flow.pending.find(number);
  return request == flow.pending.end() ? nullptr : &request->second;
}

void Caller::ScheduleTimer(TimePoint at, FlowHandle flow) {
  this->timers.emplace(at, flow);
}

}  // namespace cuminvane
