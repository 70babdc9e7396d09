/** @file flow_shard_base.cc Decisions about packets of opaque flows. */

#include "packet/flow_shard_base.h"

#include <algorithm>

#include "packet/packet_func.h"

namespace cuminvane {
namespace {

/** A caller waits 200 ms before it copies its opening packet; an answer takes
 * one round trip. */
constexpr Milliseconds kOpenWait{60};
/** The last copy of an opening packet is placed in any case. */
constexpr uint32_t kLastCopy = 2;
/** A caller's last copy of an opening packet comes 600 ms after the first;
 * with the way through the network it is here within this. */
constexpr Milliseconds kCopySpan{1500};
/** A backend server that has answered something this recently is alive. */
constexpr Milliseconds kFreshLife{150};
/** How long a tag or an address may be news to this balancer. */
constexpr Milliseconds kNewsDelay{1000};
/** A lost reset is repeated with the caller's next packet, not sooner. */
constexpr Milliseconds kResetPause{50};
/** Places looked at in a tick. */
constexpr size_t kVisits = 16;

void Log(const char* event,
         const char* reason,
         const OpaquePacket& packet,
         VmId backend,
         Severity severity,
         const PacketCall& call) {
  Decision decision;
  decision.topic = Topic::kFlow;
  decision.severity = severity;
  decision.event = event;
  decision.reason = reason;
  decision.flow = FlowIdOf(packet.key);
  decision.vm = backend;
  decision.caller = packet.key.caller;
  decision.service = packet.key.service;
  call.out.common.decisions.push_back(decision);
}

PacketAction Reset(const char* reason,
                   const OpaquePacket& packet,
                   VmId backend,
                   const PacketCall& call) {
  Log("flow_reset", reason, packet, backend, Severity::kInfo, call);
  return {PacketVerdict::kReset, {}, {}, {}};
}

PacketAction Forward(const PoolMember& member) {
  return {PacketVerdict::kForward, member.address, member.vm, member.tag};
}

void Count(FlowRecord& record, PoolMember& member) {
  record.backend = member.vm;
  record.tag = member.tag;
  if (!record.counted)
    ++member.flows;
  record.counted = true;
}

void EndWait(FlowRecord& record, PoolMember& member) {
  if (!record.IsWaiting())
    return;
  record.waiting_since = kNever;
  member.waiting = std::max(0, member.waiting - 1);
}

void Uncount(FlowRecord& record, BackendPool& backends) {
  PoolMember* const member = backends.Find(record.backend);
  if (member != nullptr) {
    EndWait(record, *member);
    if (record.counted)
      member->flows = std::max(0, member->flows - 1);
  }
  record.counted = false;
  record.waiting_since = kNever;
}

/** @return Whether an opening packet is a late copy of the one that opened
 * the flow. */
bool IsCopy(const FlowRecord& record,
            const OpaquePacket& packet,
            TimePoint now) {
  if (record.opening_sequence != 0)
    return record.opening_sequence == packet.sequence;
  return record.opened_at + kCopySpan > now;
}

/** The first copy is not answered: the route may be news. */
PacketAction OnNoRoute(const PacketCall& call, const OpaquePacket& packet) {
  if (packet.acknowledged != 0)
    return Reset("no_route", packet, VmId{}, call);
  Log("flow_dropped", "no_route", packet, VmId{}, Severity::kDebug, call);
  return {};
}

/** The caller's first packet after the opening tells which backend server
 * has the flow, where two took copies of the opening packet. */
void Establish(const PacketCall& call,
               const OpaquePacket& packet,
               bool learned,
               FlowRecord& record) {
  PoolMember* const member =
      call.backends.FindTag(packet.tag.value == 0 ? record.tag : packet.tag);
  if (member == nullptr) {
    record.tag = packet.tag;
    Uncount(record, call.backends);
    return;
  }
  if (record.backend != member->vm)
    Uncount(record, call.backends);
  // Another server's wait has ended with its count.
  const TimePoint placed_at =
      record.IsWaiting() ? record.waiting_since : TimePoint{};
  record.established = true;
  record.acknowledged = packet.acknowledged;
  EndWait(record, *member);
  Count(record, *member);
  if (!learned)
    call.backends.OnHandshake(*member, placed_at, call.now, call.out);
}

PacketAction ResetLost(const PacketCall& call,
                       const OpaquePacket& packet,
                       FlowRecord& record) {
  if (record.reset_at != kNever && record.reset_at + kResetPause > call.now)
    return {};
  record.reset_at = call.now;
  return Reset("backend_unreachable", packet, record.backend, call);
}

PacketAction OnUnknownTag(const PacketCall& call,
                          const OpaquePacket& packet,
                          FlowRecord& record) {
  Uncount(record, call.backends);
  if (record.opened_at + kNewsDelay <= call.now)
    return Reset("backend_unknown", packet, record.backend, call);
  Log("flow_dropped", "backend_unknown", packet, record.backend,
      Severity::kInfo, call);
  return {};
}

PacketAction OnDroppedRoute(const PacketCall& call,
                            const OpaquePacket& packet,
                            FlowRecord& record) {
  if (record.opened_at + kNewsDelay > call.now)
    return {};
  Uncount(record, call.backends);
  return Reset("no_route", packet, record.backend, call);
}

void NoticeUnanswered(FlowRecord& record,
                      Evidence evidence,
                      TimePoint now,
                      BackendPool& backends,
                      PacketOutput& out) {
  PoolMember* const member = backends.Find(record.backend);
  if (member == nullptr || !record.IsWaiting())
    return;
  backends.OnEvidence(*member, evidence, record.waiting_since, now, out);
}

}  // namespace

PacketAction FlowShard::OnPacket(const PacketCall& call,
                                 const OpaquePacket& packet) {
  return packet.opens ? this->OnOpening(call, packet)
                      : this->OnOther(call, packet);
}

void FlowShard::StartWait(FlowRecord& record,
                          PoolMember& member,
                          TimePoint now,
                          Milliseconds late_after) {
  if (record.IsWaiting())
    return;
  record.waiting_since = now;
  ++member.waiting;
  this->waits.push({now + late_after, record.key, now});
}

FlowRecord& FlowShard::AddRecord(const PacketCall& call, const FlowKey& key) {
  this->evicted.clear();
  FlowRecord& record = this->flows.Add(key, call.now, this->evicted);
  for (FlowRecord& evicted : this->evicted)
    Uncount(evicted, call.backends);
  return record;
}

PacketAction FlowShard::OnOpening(const PacketCall& call,
                                  const OpaquePacket& packet) {
  FlowRecord* record = this->flows.Find(packet.key);
  if (record != nullptr && record->established) {
    PoolMember* const member = call.backends.Find(record->backend);
    if (IsCopy(*record, packet, call.now))
      return member == nullptr ? PacketAction{} : Forward(*member);
    // The caller's port is used again.
    Uncount(*record, call.backends);
    this->flows.Forget(*record);
    record = nullptr;
  }
  const OpaqueRoute* const route = call.routes.Find(packet.key.service);
  if (route == nullptr)
    return OnNoRoute(call, packet);
  VmId avoided;
  if (record == nullptr) {
    record = &this->AddRecord(call, packet.key);
  } else {
    avoided = record->backend;
    NoticeUnanswered(*record, Evidence::kLateOpen, call.now, call.backends,
                     call.out);
  }
  return this->Place(call, packet, *route, avoided, *record);
}

PacketAction FlowShard::Place(const PacketCall& call,
                              const OpaquePacket& packet,
                              const OpaqueRoute& route,
                              VmId avoided,
                              FlowRecord& record) {
  record.seen_at = call.now;
  record.opening_sequence = packet.sequence;
  record.next_sequence = packet.sequence;
  // An opening packet says here which copy of it this is.
  const uint32_t copy = packet.acknowledged;
  const int64_t depth = call.backends.DepthFor(copy);
  const PoolChoice choice =
      call.backends.Choose(route.ServiceOf(FlowIdOf(packet.key)), avoided,
                           depth, call.now, call.random);
  if (choice.member == nullptr)
    return Reset("no_backend", packet, VmId{}, call);
  if (copy < kLastCopy && BackendPool::IsFull(*choice.member, depth)) {
    Uncount(record, call.backends);
    record.backend = VmId{};
    Log("flow_delayed", "backend_full", packet, choice.member->vm,
        Severity::kInfo, call);
    return {};
  }
  if (record.backend != choice.member->vm)
    Uncount(record, call.backends);
  Count(record, *choice.member);
  this->StartWait(record, *choice.member, call.now, kOpenWait);
  Log("flow_placed", avoided == VmId{} ? choice.reason : "copy", packet,
      choice.member->vm, Severity::kInfo, call);
  return Forward(*choice.member);
}

PacketAction FlowShard::OnOther(const PacketCall& call,
                                const OpaquePacket& packet) {
  FlowRecord* record = this->flows.Find(packet.key);
  const bool learned = record == nullptr;
  if (learned) {
    record = &this->AddRecord(call, packet.key);
    record->next_sequence = packet.sequence;
    record->acknowledged = packet.acknowledged;
    record->tag = packet.tag;
  }
  record->seen_at = call.now;
  if (!record->established)
    Establish(call, packet, learned, *record);
  PoolMember* const member = call.backends.FindTag(record->tag);
  if (member == nullptr)
    return OnUnknownTag(call, packet, *record);
  if (call.routes.Find(packet.key.service) == nullptr)
    return OnDroppedRoute(call, packet, *record);
  if (!packet.closes)
    Count(*record, *member);
  this->Follow(call, packet, *record, *member);
  if (member->liveness.reach == Reach::kUnreachable &&
      !call.backends.IsIsolated())
    return ResetLost(call, packet, *record);
  if (packet.closes || packet.resets)
    Uncount(*record, call.backends);
  return Forward(*member);
}

void FlowShard::Follow(const PacketCall& call,
                       const OpaquePacket& packet,
                       FlowRecord& record,
                       PoolMember& member) {
  if (IsAfter(packet.acknowledged, record.acknowledged)) {
    record.acknowledged = packet.acknowledged;
    call.backends.OnAlive(member, call.now, call.out);
    if (record.IsWaiting())
      BackendPool::OnAnswer(member, call.now - record.waiting_since);
    EndWait(record, member);
  }
  if (packet.length == 0)
    return;
  const uint32_t end = packet.sequence + packet.length;
  if (IsAfter(end, record.next_sequence)) {
    record.next_sequence = end;
    const OpaqueRoute* const route = call.routes.Find(packet.key.service);
    this->StartWait(record, member, call.now, route->late_after);
  } else if (record.IsWaiting()) {
    call.backends.OnEvidence(member, Evidence::kRepeat, call.now - kFreshLife,
                             call.now, call.out);
  }
}

void FlowShard::NoticeLate(BackendPool& backends,
                           TimePoint now,
                           PacketOutput& out) {
  while (!this->waits.empty() && this->waits.top().due <= now) {
    const Wait wait = this->waits.top();
    this->waits.pop();
    FlowRecord* const record = this->flows.Find(wait.key);
    if (record == nullptr || record->waiting_since != wait.since)
      continue;
    NoticeUnanswered(
        *record,
        record->established ? Evidence::kLateAnswer : Evidence::kLateOpen, now,
        backends, out);
  }
}

void FlowShard::ForgetIdle(BackendPool& backends, TimePoint idle_since) {
  this->flows.Visit(kVisits, [&](FlowRecord& record) {
    if (record.seen_at > idle_since)
      return;
    Uncount(record, backends);
    this->flows.Forget(record);
  });
}

void FlowShard::UncountFlowsOf(VmId vm, BackendPool& backends) {
  this->flows.ForEach([&](FlowRecord& record) {
    if (record.backend == vm)
      Uncount(record, backends);
  });
}

void FlowShard::ResetFlowsOf(VmId vm,
                             TimePoint now,
                             std::vector<FlowReset>& resets) {
  this->flows.ForEach([&](FlowRecord& record) {
    if (record.backend != vm || !record.established || !record.counted)
      return;
    record.reset_at = now;
    resets.push_back({record.key, record.acknowledged});
  });
}

}  // namespace cuminvane
