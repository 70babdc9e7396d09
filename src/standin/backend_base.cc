/** @file backend_base.cc The stand-in backend server. */

#include "standin/backend_base.h"

#include <algorithm>
#include <numeric>

namespace cuminvane {
namespace {

/** Answers and cancellations are retained this long after the deadline of the
 * run. */
constexpr Seconds kRunRetention{5};
/** Period of feed events. Events lie at multiples of it in Unix time, so that
 * all backend servers publish the same events at the same positions. */
constexpr Microseconds kFeedPeriod{200000};
/** Limits the events sent on one subscription in one tick when it is behind. */
constexpr int kMaxFeedEventsPerTick = 32;

template <class Message>
void Send(const Endpoint& to, const Message& message, Output& out) {
  out.datagrams.push_back({Channel::kBackend, to, Encode(message)});
}

}  // namespace

const char* ToString(BackendEvent::Kind kind) {
  switch (kind) {
    case BackendEvent::Kind::kAccepted:
      return "accepted";
    case BackendEvent::Kind::kStarted:
      return "started";
    case BackendEvent::Kind::kFinished:
      return "finished";
    case BackendEvent::Kind::kRefused:
      return "refused";
    case BackendEvent::Kind::kCancelled:
      return "cancelled";
    case BackendEvent::Kind::kWrongService:
      return "wrong_service";
  }
  return "";
}

void Backend::OnPacket(TimePoint now,
                       const Endpoint& from,
                       std::string_view bytes,
                       Output& out) {
  const Result<DatagramHeader> header = DecodeHeader(bytes);
  if (!header)
    return;
  if (const Result<StartRun> run = Decode<StartRun>(bytes, header.value()))
    this->OnStartRun(now, from, run.value(), out);
  if (const Result<CancelRun> cancel = Decode<CancelRun>(bytes, header.value()))
    this->OnCancelRun(now, from, cancel.value(), out);
  if (const Result<MissingRunPartsQuery> query =
          Decode<MissingRunPartsQuery>(bytes, header.value()))
    this->OnMissingRunPartsQuery(from, query.value(), out);
  if (const Result<Subscribe> subscribe =
          Decode<Subscribe>(bytes, header.value()))
    this->OnSubscribe(now, from, subscribe.value(), out);
  if (const Result<Unsubscribe> end =
          Decode<Unsubscribe>(bytes, header.value()))
    this->subscriptions.erase({end.value().flow, end.value().number});
}

void Backend::Tick(TimePoint now, Output& out) {
  this->PushFeedEvents(now, out);
  while (!this->running_by_end.empty() &&
         this->running_by_end.begin()->first <= now) {
    const RunId run = this->running_by_end.begin()->second;
    this->running_by_end.erase(this->running_by_end.begin());
    TrackedRun& tracked = this->tracked_runs.at(run);
    tracked.state = State::kDone;
    this->RecordEvent(BackendEvent::Kind::kFinished, now, run, tracked,
                      tracked.order.busy);
    std::vector<uint32_t> all(tracked.order.parts);
    std::iota(all.begin(), all.end(), 0);
    this->SendAnswer(run, tracked, all, out);
    this->StartQueuedRuns(now, out);
  }
  while (!this->runs_by_expiry.empty() &&
         this->runs_by_expiry.begin()->first <= now) {
    this->tracked_runs.erase(this->runs_by_expiry.begin()->second);
    this->runs_by_expiry.erase(this->runs_by_expiry.begin());
  }
}

TimePoint Backend::NextAt() const {
  return this->running_by_end.empty() ? kNever
                                      : this->running_by_end.begin()->first;
}

std::vector<BackendEvent> Backend::TakeEvents() {
  return std::exchange(this->events, {});
}

void Backend::OnStartRun(TimePoint now,
                         const Endpoint& from,
                         const StartRun& run,
                         Output& out) {
  const auto known = this->tracked_runs.find(run.run);
  if (known != this->tracked_runs.end()) {
    // A duplicate of the datagram, or a datagram that arrived after the run was
    // cancelled or refused.
    if (known->second.state == State::kCancelledOrRefused)
      this->RefuseRun(now, run.run, from, ResultCode::kCancelled, out);
    else
      Send(from, RunAccepted{run.run, this->CurrentLoad()}, out);
    return;
  }
  if (run.incarnation != this->options.incarnation) {
    Send(from, RunLost{run.run, this->CurrentLoad()}, out);
    return;
  }
  const TimePoint deadline = FromUnixMicroseconds(run.deadline);
  const std::optional<WorkOrder> order = ParseOrder(AsStringView(run.payload));
  if (deadline <= now || !order) {
    this->RefuseRun(now, run.run, from, ResultCode::kDeadlinePassed, out);
    return;
  }
  TrackedRun tracked;
  tracked.balancer = from;
  tracked.flow = run.flow;
  tracked.number = run.number;
  tracked.order = *order;
  tracked.deadline = deadline;
  tracked.expires_at = deadline + kRunRetention;
  if (order->service != this->options.service)
    this->RecordEvent(BackendEvent::Kind::kWrongService, now, run.run, tracked,
                      {});
  if (this->draining || this->queue.size() >= this->options.queue_limit) {
    // Retained as refused, so that a duplicate of the datagram does not start
    // the run after the refusal.
    tracked.state = State::kCancelledOrRefused;
    this->runs_by_expiry.emplace(tracked.expires_at, run.run);
    this->tracked_runs.emplace(run.run, tracked);
    this->RefuseRun(
        now, run.run, from,
        this->draining ? ResultCode::kBackendDraining : ResultCode::kOverloaded,
        out);
    return;
  }
  this->RecordEvent(BackendEvent::Kind::kAccepted, now, run.run, tracked, {});
  this->runs_by_expiry.emplace(tracked.expires_at, run.run);
  this->tracked_runs.emplace(run.run, tracked);
  this->queue.push_back(run.run);
  this->StartQueuedRuns(now, out);
  Send(from, RunAccepted{run.run, this->CurrentLoad()}, out);
}

void Backend::OnCancelRun(TimePoint now,
                          const Endpoint& from,
                          const CancelRun& cancel,
                          Output& out) {
  if (cancel.incarnation != this->options.incarnation) {
    Send(from, RunLost{cancel.run, this->CurrentLoad()}, out);
    return;
  }
  const auto known = this->tracked_runs.find(cancel.run);
  if (known == this->tracked_runs.end()) {
    TrackedRun cancelled;
    cancelled.state = State::kCancelledOrRefused;
    cancelled.expires_at =
        FromUnixMicroseconds(cancel.deadline) + kRunRetention;
    this->runs_by_expiry.emplace(cancelled.expires_at, cancel.run);
    this->tracked_runs.emplace(cancel.run, cancelled);
    Send(from, CancelRunReply{cancel.run, false, this->CurrentLoad()}, out);
    return;
  }
  TrackedRun& tracked = known->second;
  if (tracked.state == State::kQueued) {
    std::erase(this->queue, cancel.run);
    tracked.state = State::kCancelledOrRefused;
    this->RecordEvent(BackendEvent::Kind::kCancelled, now, cancel.run, tracked,
                      {});
  }
  const bool started =
      tracked.state == State::kRunning || tracked.state == State::kDone;
  Send(from, CancelRunReply{cancel.run, started, this->CurrentLoad()}, out);
}

void Backend::OnMissingRunPartsQuery(const Endpoint& from,
                                     const MissingRunPartsQuery& query,
                                     Output& out) {
  const auto known = this->tracked_runs.find(query.run);
  if (query.incarnation != this->options.incarnation ||
      known == this->tracked_runs.end()) {
    Send(from, RunLost{query.run, this->CurrentLoad()}, out);
    return;
  }
  const TrackedRun& tracked = known->second;
  if (tracked.state == State::kQueued || tracked.state == State::kRunning) {
    Send(from, RunAccepted{query.run, this->CurrentLoad()}, out);
    return;
  }
  if (tracked.state == State::kCancelledOrRefused ||
      tracked.state == State::kExpired) {
    Send(from,
         RunRefused{query.run, static_cast<uint16_t>(ResultCode::kCancelled),
                    this->CurrentLoad()},
         out);
    return;
  }
  std::vector<uint32_t> requested_parts = query.missing;
  if (requested_parts.empty()) {
    requested_parts.resize(tracked.order.parts);
    std::iota(requested_parts.begin(), requested_parts.end(), 0);
  }
  std::erase_if(requested_parts, [&tracked](uint32_t part) {
    return part >= tracked.order.parts;
  });
  this->SendAnswer(query.run, tracked, requested_parts, out);
}

void Backend::OnSubscribe(TimePoint now,
                          const Endpoint& from,
                          const Subscribe& subscribe,
                          Output& out) {
  Subscription& subscription =
      this->subscriptions[{subscribe.flow, subscribe.number}];
  subscription.balancer = from;
  subscription.path = subscribe.path;
  subscription.topic = AsStringView(subscribe.topic);
  subscription.lease_until = FromUnixMicroseconds(subscribe.lease_until);
  // The position of the caller takes precedence over the stored one: events
  // pushed after it may have been lost.
  const int64_t current_position =
      ToUnixMicroseconds(now) / kFeedPeriod.count() * kFeedPeriod.count();
  if (subscribe.position != 0)
    subscription.position = subscribe.position;
  else if (subscription.position == 0)
    subscription.position = current_position;
  Send(from, Subscribed{subscribe.path, subscribe.flow, subscribe.number}, out);
}

void Backend::PushFeedEvents(TimePoint now, Output& out) {
  std::erase_if(this->subscriptions, [now](const auto& item) {
    return item.second.lease_until <= now;
  });
  for (auto& [key, subscription] : this->subscriptions) {
    for (int sent = 0;
         sent < kMaxFeedEventsPerTick &&
         subscription.position + kFeedPeriod.count() <= ToUnixMicroseconds(now);
         ++sent) {
      const int64_t previous = subscription.position;
      subscription.position += kFeedPeriod.count();
      const std::string payload = this->options.service + " " +
                                  subscription.topic + " " +
                                  std::to_string(subscription.position);
      Send(subscription.balancer,
           PublishedEvent{subscription.path, key.flow, key.number,
                          subscription.position, previous, MakeBlob(payload)},
           out);
    }
  }
}

void Backend::StartQueuedRuns(TimePoint now, Output& out) {
  while (this->running_by_end.size() < this->options.slots &&
         !this->queue.empty()) {
    const RunId run = this->queue.front();
    this->queue.pop_front();
    TrackedRun& tracked = this->tracked_runs.at(run);
    if (tracked.deadline <= now) {
      tracked.state = State::kExpired;
      this->RefuseRun(now, run, tracked.balancer, ResultCode::kDeadlinePassed,
                      out);
      continue;
    }
    tracked.state = State::kRunning;
    tracked.ends_at = now + tracked.order.busy;
    this->running_by_end.emplace(tracked.ends_at, run);
    this->RecordEvent(BackendEvent::Kind::kStarted, now, run, tracked, {});
  }
}

void Backend::SendAnswer(RunId run,
                         const TrackedRun& tracked,
                         const std::vector<uint32_t>& parts,
                         Output& out) const {
  for (const uint32_t index : parts) {
    const std::string bytes = MakeAnswerPart(
        this->options.service, tracked.order.tag, index, tracked.order.parts);
    Send(tracked.balancer,
         RunPart{run, index, tracked.order.parts, this->CurrentLoad(),
                 MakeBlob(bytes)},
         out);
  }
}

void Backend::RefuseRun(TimePoint now,
                        RunId run,
                        const Endpoint& to,
                        ResultCode code,
                        Output& out) {
  BackendEvent event;
  event.kind = BackendEvent::Kind::kRefused;
  event.at = now;
  event.run = run;
  this->events.push_back(event);
  Send(to, RunRefused{run, static_cast<uint16_t>(code), this->CurrentLoad()},
       out);
}

void Backend::RecordEvent(BackendEvent::Kind kind,
                          TimePoint now,
                          RunId run,
                          const TrackedRun& tracked,
                          Microseconds busy) {
  this->events.push_back(
      {kind, now, run, tracked.flow, tracked.number, tracked.order.tag, busy});
}

LoadReport Backend::CurrentLoad() const {
  return {this->options.slots,
          static_cast<uint32_t>(this->running_by_end.size()),
          static_cast<uint32_t>(this->queue.size()), this->draining,
          this->options.incarnation};
}

}  // namespace cuminvane
