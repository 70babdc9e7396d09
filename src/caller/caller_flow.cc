/** @file caller_flow.cc The caller opens flows, keeps them, and finds their
 * next owner. */

#include "caller/caller_base.h"

#include <array>
#include <string_view>

#include "caller/caller_timing.h"

namespace cuminvane {
namespace {

/** Keeps the office's address translation open, and finds a lost owner before
 * the next request does. */
constexpr Milliseconds kKeepaliveInterval{10000};
constexpr Milliseconds kKeepaliveSpread{5000};
constexpr std::array<char, kFlowOpenPaddingBytes> kPaddingBytes{};
constexpr std::string_view kPadding(kPaddingBytes.data(), kPaddingBytes.size());

}  // namespace

void Caller::SendOpen(TimePoint now, Flow& flow, CallerOutput& out) {
  std::string packet;
  if (flow.id == FlowId{}) {
    packet = Encode(FlowOpen{flow.nonce, MakeBlob(kPadding)});
  } else {
    // As an open, a reopen must not be smaller than its answer.
    packet = Encode(FlowReopen{flow.id, MakeBlob(flow.token), flow.nonce,
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
  const FlowReopen keepalive{
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
                               const FlowOpened& opened) {
  this->by_nonce.erase(flow.keepalive_nonce);
  flow.keepalive_nonce = 0;
  this->ScheduleKeepalive(now, flow);
  // An empty token: the flow stays where it is.
  if (opened.token.size == 0 || opened.fence < flow.fence)
    return;
  flow.token = AsStringView(opened.token);
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

void Caller::OnOpened(TimePoint now,
                      const FlowOpened& opened,
                      CallerOutput& out) {
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
  flow.token = AsStringView(opened.token);
  flow.fence = opened.fence;
  flow.nonce = 0;
  flow.open_act_at = kNever;
  this->by_id[flow.id] = flow.handle;
  const TimePoint middle = flow.opening_since + (now - flow.opening_since) / 2;
  if (first) {
    flow.clock_offset = FromUnixMicroseconds(opened.server_time_us) - middle;
    CallerEvent event;
    event.kind = CallerEvent::Kind::kFlowOpened;
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

void Caller::OnOwnerLost(TimePoint now,
                         Flow& flow,
                         PendingRequest& request,
                         CallerOutput& out) {
  if (request.holder != VmInstance{}) {
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
    event.kind = CallerEvent::Kind::kFlowOpenFailed;
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

}  // namespace cuminvane
