/** @file backend_base.cc The stand-in backend server. */

#include "standin/backend_base.h"

#include <algorithm>
#include <numeric>

namespace cuminvane {
namespace {

/** Answers and withdrawals are remembered this long past the run's deadline. */
constexpr Seconds kMemory{5};
/** Every backend server has the same event at the same multiple of this. */
constexpr Microseconds kFeedPeriod{200000};
/** Events sent again to one caller in one tick. */
constexpr int kEventsPerTick = 32;

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
    this->OnRun(now, from, run.value(), out);
  if (const Result<CancelRun> cancel = Decode<CancelRun>(bytes, header.value()))
    this->OnCancel(now, from, cancel.value(), out);
  if (const Result<MissingRunPartsQuery> question =
          Decode<MissingRunPartsQuery>(bytes, header.value()))
    this->OnNeedParts(from, question.value(), out);
  if (const Result<Subscribe> subscribe =
          Decode<Subscribe>(bytes, header.value()))
    this->OnSubscribe(now, from, subscribe.value(), out);
  if (const Result<Unsubscribe> end =
          Decode<Unsubscribe>(bytes, header.value()))
    this->subscriptions.erase({end.value().flow, end.value().number});
}

void Backend::Tick(TimePoint now, Output& out) {
  this->PushEvents(now, out);
  while (!this->running.empty() && this->running.begin()->first <= now) {
    const RunId run = this->running.begin()->second;
    this->running.erase(this->running.begin());
    Job& job = this->jobs.at(run);
    job.state = State::kDone;
    this->Note(BackendEvent::Kind::kFinished, now, run, job, job.order.busy);
    std::vector<uint32_t> all(job.order.parts);
    std::iota(all.begin(), all.end(), 0);
    this->SendAnswer(run, job, all, out);
    this->StartNext(now, out);
  }
  while (!this->memory.empty() && this->memory.begin()->first <= now) {
    this->jobs.erase(this->memory.begin()->second);
    this->memory.erase(this->memory.begin());
  }
}

TimePoint Backend::NextAt() const {
  return this->running.empty() ? kNever : this->running.begin()->first;
}

std::vector<BackendEvent> Backend::TakeEvents() {
  return std::exchange(this->events, {});
}

void Backend::OnRun(TimePoint now,
                    const Endpoint& from,
                    const StartRun& run,
                    Output& out) {
  const auto known = this->jobs.find(run.run);
  if (known != this->jobs.end()) {
    // A copy of a datagram, or one that comes after its withdrawal.
    if (known->second.state == State::kWithdrawn)
      this->Refuse(now, run.run, from, ResultCode::kCancelled, out);
    else
      Send(from, RunAccepted{run.run, this->Load()}, out);
    return;
  }
  if (run.incarnation != this->options.incarnation) {
    Send(from, RunLost{run.run, this->Load()}, out);
    return;
  }
  const TimePoint deadline = FromUnixMicroseconds(run.deadline);
  const std::optional<WorkOrder> order = ParseOrder(AsStringView(run.payload));
  if (deadline <= now || !order) {
    this->Refuse(now, run.run, from, ResultCode::kDeadlinePassed, out);
    return;
  }
  Job job;
  job.balancer = from;
  job.flow = run.flow;
  job.number = run.number;
  job.order = *order;
  job.deadline = deadline;
  job.forget_at = deadline + kMemory;
  if (order->service != this->options.service)
    this->Note(BackendEvent::Kind::kWrongService, now, run.run, job, {});
  if (this->draining || this->queue.size() >= this->options.queue_limit) {
    // Remembered as withdrawn, so that a copy of the datagram is not run after
    // it was refused.
    job.state = State::kWithdrawn;
    this->memory.emplace(job.forget_at, run.run);
    this->jobs.emplace(run.run, job);
    this->Refuse(
        now, run.run, from,
        this->draining ? ResultCode::kBackendDraining : ResultCode::kOverloaded,
        out);
    return;
  }
  this->Note(BackendEvent::Kind::kAccepted, now, run.run, job, {});
  this->memory.emplace(job.forget_at, run.run);
  this->jobs.emplace(run.run, job);
  this->queue.push_back(run.run);
  this->StartNext(now, out);
  Send(from, RunAccepted{run.run, this->Load()}, out);
}

void Backend::OnCancel(TimePoint now,
                       const Endpoint& from,
                       const CancelRun& cancel,
                       Output& out) {
  if (cancel.incarnation != this->options.incarnation) {
    Send(from, RunLost{cancel.run, this->Load()}, out);
    return;
  }
  const auto known = this->jobs.find(cancel.run);
  if (known == this->jobs.end()) {
    Job withdrawn;
    withdrawn.state = State::kWithdrawn;
    withdrawn.forget_at = FromUnixMicroseconds(cancel.deadline) + kMemory;
    this->memory.emplace(withdrawn.forget_at, cancel.run);
    this->jobs.emplace(cancel.run, withdrawn);
    Send(from, CancelRunReply{cancel.run, false, this->Load()}, out);
    return;
  }
  Job& job = known->second;
  if (job.state == State::kQueued) {
    std::erase(this->queue, cancel.run);
    job.state = State::kWithdrawn;
    this->Note(BackendEvent::Kind::kCancelled, now, cancel.run, job, {});
  }
  const bool started =
      job.state == State::kRunning || job.state == State::kDone;
  Send(from, CancelRunReply{cancel.run, started, this->Load()}, out);
}

void Backend::OnNeedParts(const Endpoint& from,
                          const MissingRunPartsQuery& question,
                          Output& out) {
  const auto known = this->jobs.find(question.run);
  if (question.incarnation != this->options.incarnation ||
      known == this->jobs.end()) {
    Send(from, RunLost{question.run, this->Load()}, out);
    return;
  }
  const Job& job = known->second;
  if (job.state == State::kQueued || job.state == State::kRunning) {
    Send(from, RunAccepted{question.run, this->Load()}, out);
    return;
  }
  if (job.state == State::kWithdrawn || job.state == State::kExpired) {
    Send(from,
         RunRefused{question.run, static_cast<uint16_t>(ResultCode::kCancelled),
                    this->Load()},
         out);
    return;
  }
  std::vector<uint32_t> wanted = question.missing;
  if (wanted.empty()) {
    wanted.resize(job.order.parts);
    std::iota(wanted.begin(), wanted.end(), 0);
  }
  std::erase_if(wanted,
                [&job](uint32_t part) { return part >= job.order.parts; });
  this->SendAnswer(question.run, job, wanted, out);
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
  // The caller's position counts: what was pushed after it may have been lost.
  const int64_t present =
      ToUnixMicroseconds(now) / kFeedPeriod.count() * kFeedPeriod.count();
  if (subscribe.position != 0)
    subscription.position = subscribe.position;
  else if (subscription.position == 0)
    subscription.position = present;
  Send(from, Subscribed{subscribe.path, subscribe.flow, subscribe.number}, out);
}

void Backend::PushEvents(TimePoint now, Output& out) {
  std::erase_if(this->subscriptions, [now](const auto& item) {
    return item.second.lease_until <= now;
  });
  for (auto& [key, subscription] : this->subscriptions) {
    for (int sent = 0;
         sent < kEventsPerTick &&
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

void Backend::StartNext(TimePoint now, Output& out) {
  while (this->running.size() < this->options.slots && !this->queue.empty()) {
    const RunId run = this->queue.front();
    this->queue.pop_front();
    Job& job = this->jobs.at(run);
    if (job.deadline <= now) {
      job.state = State::kExpired;
      this->Refuse(now, run, job.balancer, ResultCode::kDeadlinePassed, out);
      continue;
    }
    job.state = State::kRunning;
    job.ends_at = now + job.order.busy;
    this->running.emplace(job.ends_at, run);
    this->Note(BackendEvent::Kind::kStarted, now, run, job, {});
  }
}

void Backend::SendAnswer(RunId run,
                         const Job& job,
                         const std::vector<uint32_t>& parts,
                         Output& out) const {
  for (const uint32_t index : parts) {
    const std::string bytes = MakeAnswerPart(
        this->options.service, job.order.tag, index, job.order.parts);
    Send(job.balancer,
         RunPart{run, index, job.order.parts, this->Load(), MakeBlob(bytes)},
         out);
  }
}

void Backend::Refuse(TimePoint now,
                     RunId run,
                     const Endpoint& to,
                     ResultCode code,
                     Output& out) {
  BackendEvent event;
  event.kind = BackendEvent::Kind::kRefused;
  event.at = now;
  event.run = run;
  this->events.push_back(event);
  Send(to, RunRefused{run, static_cast<uint16_t>(code), this->Load()}, out);
}

void Backend::Note(BackendEvent::Kind kind,
                   TimePoint now,
                   RunId run,
                   const Job& job,
                   Microseconds busy) {
  this->events.push_back(
      {kind, now, run, job.flow, job.number, job.order.tag, busy});
}

LoadReport Backend::Load() const {
  return {this->options.slots, static_cast<uint32_t>(this->running.size()),
          static_cast<uint32_t>(this->queue.size()), this->draining,
          this->options.incarnation};
}

}  // namespace cuminvane
