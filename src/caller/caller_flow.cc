/** @file caller_flow.cc Opening flows, keepalives, and reopening flows whose
 * owner is lost. */

#include "caller/caller_base.h"

#include <array>
#include <string_view>

#include "caller/caller_timing.h"

namespace cuminvane {
namespace {

/** Minimum time between keepalives of an idle flow. A keepalive refreshes the
 * NAT mapping in the caller's network and detects a lost owner before the next
 * request. */
constexpr Milliseconds kKeepaliveInterval{10000};
/** Upper bound of the random addition to kKeepaliveInterval. */
constexpr Milliseconds kKeepaliveJitter{5000};
constexpr std::array<char, kFlowOpenPaddingBytes> kPaddingBytes{};
constexpr std::string_view kPadding(kPaddingBytes.data(), kPaddingBytes.size());

}  // namespace

void Caller::SendOpen(TimePoint now, Flow& flow, CallerOutput& out) {
  std::string packet;
  if (flow.id == FlowId{}) {
    packet = Encode(FlowOpen{flow.nonce, MakeBlob(kPadding)});
  } else {
    // Padded like FlowOpen, because the answer must not be larger than the
    // message.
    packet = Encode(FlowReopen{flow.id, MakeBlob(flow.token), flow.nonce,
                               flow.highest_number, MakeBlob(kPadding)});
  }
  out.datagrams.push_back({flow.service, std::move(packet)});
  flow.open_backoff = NextBackoff(flow.open_backoff);
  flow.open_retry_at = now + flow.open_backoff;
  this->ScheduleTimer(flow.open_retry_at, flow.handle);
}

void Caller::SendKeepalive(TimePoint now, Flow& flow, CallerOutput& out) {
  this->ScheduleKeepalive(now, flow);
  // With requests or a reopen in progress, a lost owner is detected anyway.
  if (!flow.pending.empty() || flow.nonce != 0)
    return;
  this->handle_by_nonce.erase(flow.keepalive_nonce);
  flow.keepalive_nonce = DrawId(this->random);
  this->handle_by_nonce[flow.keepalive_nonce] = flow.handle;
  const FlowReopen keepalive{flow.id,
                             MakeBlob(flow.token),
                             flow.keepalive_nonce,
                             flow.highest_number,
                             MakeBlob(kPadding),
                             true};
  out.datagrams.push_back({flow.service, Encode(keepalive)});
}

void Caller::ScheduleKeepalive(TimePoint now, Flow& flow) {
  // Jitter, so that flows that opened at the same time don't send their
  // keepalives at the same time.
  const auto jitter_ms = static_cast<size_t>(kKeepaliveJitter.count());
  flow.keepalive_at = now + kKeepaliveInterval +
                      Milliseconds(DrawIndex(this->random, jitter_ms));
  this->ScheduleTimer(flow.keepalive_at, flow.handle);
}

void Caller::OnKeepaliveAnswer(TimePoint now,
                               Flow& flow,
                               const FlowOpened& opened) {
  this->handle_by_nonce.erase(flow.keepalive_nonce);
  flow.keepalive_nonce = 0;
  this->ScheduleKeepalive(now, flow);
  // An empty token means that the flow keeps its owner.
  if (opened.token.size == 0 || opened.fence < flow.fence)
    return;
  flow.token = AsStringView(opened.token);
  flow.fence = opened.fence;
}

void Caller::StartReopen(TimePoint now, Flow& flow, CallerOutput& out) {
  if (flow.nonce != 0)
    return;
  flow.nonce = DrawId(this->random);
  flow.open_started_at = now;
  flow.open_deadline = kNever;
  flow.open_backoff = Milliseconds(0);
  this->handle_by_nonce[flow.nonce] = flow.handle;
  this->SendOpen(now, flow, out);
}

void Caller::OnFlowOpened(TimePoint now,
                          const FlowOpened& opened,
                          CallerOutput& out) {
  const auto handle = this->handle_by_nonce.find(opened.nonce);
  if (handle == this->handle_by_nonce.end())
    return;
  Flow& flow = this->flows.at(handle->second);
  if (static_cast<ResultCode>(opened.code) != ResultCode::kOk)
    return;  // Retried until the open deadline; another balancer may have newer
             // documents.
  const bool is_first_open = flow.id == FlowId{};
  if (!is_first_open && flow.id != opened.flow)
    return;
  if (opened.nonce == flow.keepalive_nonce) {
    this->OnKeepaliveAnswer(now, flow, opened);
    return;
  }
  this->ScheduleKeepalive(now, flow);
  this->handle_by_nonce.erase(handle);
  flow.id = opened.flow;
  flow.token = AsStringView(opened.token);
  flow.fence = opened.fence;
  flow.nonce = 0;
  flow.open_retry_at = kNever;
  this->handle_by_flow_id[flow.id] = flow.handle;
  const TimePoint midpoint =
      flow.open_started_at + (now - flow.open_started_at) / 2;
  if (is_first_open) {
    flow.clock_offset = FromUnixMicroseconds(opened.server_time_us) - midpoint;
    CallerEvent event;
    event.kind = CallerEvent::Kind::kFlowOpened;
    event.flow_handle = flow.handle;
    event.flow = flow.id;
    event.latency = now - flow.open_started_at;
    out.events.push_back(event);
  }
  for (auto& [number, request] : flow.pending) {
    // A number at or below the fence belongs to the lost owner. The new owner
    // runs the request only if it is idempotent; otherwise it reports that the
    // outcome is unknown.
    if (number > flow.fence)
      continue;
    request.token = flow.token;
    request.holder = {};
    request.backoff = Milliseconds(0);
    this->SendRequest(now, flow, request, out);
  }
  this->SubmitWaitingRequests(now, flow, out);
}

void Caller::OnOwnerLost(TimePoint now,
                         Flow& flow,
                         PendingRequest& request,
                         CallerOutput& out) {
  if (request.holder != VmInstance{}) {
    // The holder is lost. Any balancer can route the request to the owner or
    // witness that knows its state.
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
    // The request was never sent, so it was not run.
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
  if (flow.open_deadline <= now) {
    CallerEvent event;
    event.kind = CallerEvent::Kind::kFlowOpenFailed;
    event.flow_handle = flow.handle;
    event.code = ResultCode::kNoBackend;
    event.latency = now - flow.open_started_at;
    out.events.push_back(event);
    flow.open_deadline = kNever;
    flow.open_retry_at = kNever;
    return;
  }
  if (flow.open_retry_at <= now)
    this->SendOpen(now, flow, out);
}

}  // namespace cuminvane
