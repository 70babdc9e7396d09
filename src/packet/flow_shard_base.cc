/** @file flow_shard_base.cc Decisions about packets of opaque flows. */

#include "packet/flow_shard_base.h"

#include <algorithm>

#include "packet/packet_func.h"

namespace cuminvane {
namespace {

/** The answer to an opening packet is late after this time. It normally takes
 * one round trip, and the caller retransmits after 200 ms. */
constexpr Milliseconds kOpeningAnswerTimeout{60};
/** Number of a caller's last retransmission of its opening packet; it is placed
 * even if the chosen backend server is full. */
constexpr uint32_t kLastRetransmission = 2;
/** A caller sends its last retransmission 600 ms after the opening packet; with
 * network delay it arrives here within this time. */
constexpr Milliseconds kRetransmissionSpan{1500};
/** If a backend server has answered any flow within this time, retransmitted
 * data is no failure signal. */
constexpr Milliseconds kRecentAnswerAge{150};
/** Minimum time between two resets of one flow. A reset can be lost, so the
 * caller's next packet after this time is answered with another one. */
constexpr Milliseconds kMinResetInterval{50};
/** Table entries that are scanned for idle flows in each tick. */
constexpr size_t kEntriesScannedPerTick = 16;

void LogFlowDecision(const char* event,
                     const char* reason,
                     const OpaquePacket& packet,
                     VmId backend,
                     Severity severity,
                     const PacketContext& context) {
  Decision decision;
  decision.topic = Topic::kFlow;
  decision.severity = severity;
  decision.event = event;
  decision.reason = reason;
  decision.flow = FlowIdOf(packet.key);
  decision.vm = backend;
  decision.caller = packet.key.caller;
  decision.service = packet.key.service;
  context.out.common.decisions.push_back(decision);
}

PacketAction ResetFlow(const char* reason,
                       const OpaquePacket& packet,
                       VmId backend,
                       const PacketContext& context) {
  LogFlowDecision("flow_reset", reason, packet, backend, Severity::kInfo,
                  context);
  return {PacketActionType::kReset, {}, {}, {}};
}

PacketAction ForwardTo(const PoolMember& member) {
  return {PacketActionType::kForward, member.address, member.vm, member.tag};
}

/** Assigns the flow to a backend server and counts it once in its flows. */
void CountFlow(FlowRecord& record, PoolMember& member) {
  record.backend = member.vm;
  record.tag = member.tag;
  if (!record.counted)
    ++member.flows;
  record.counted = true;
}

void ClearAnswerDeadline(FlowRecord& record, PoolMember& member) {
  if (!record.IsWaiting())
    return;
  record.waiting_since = kNever;
  member.waiting = std::max(0, member.waiting - 1);
}

/** Removes the flow from its backend server's counts of flows and of waiting
 * flows. */
void UncountFlow(FlowRecord& record, BackendPool& backends) {
  PoolMember* const member = backends.Find(record.backend);
  if (member != nullptr) {
    ClearAnswerDeadline(record, *member);
    if (record.counted) {
      member->flows = std::max(0, member->flows - 1);
      backends.GetColdLimit().OnFlowEnded(*member, record.last_packet_at);
    }
  }
  record.counted = false;
  record.waiting_since = kNever;
}

/** @return Whether an opening packet is a delayed retransmission of the one
 * that opened the flow, and not the start of a new flow. If this balancer did
 * not see the first one, the time since the flow's first packet decides. */
bool IsRetransmission(const FlowRecord& record,
                      const OpaquePacket& packet,
                      TimePoint now) {
  if (record.opening_sequence != 0)
    return record.opening_sequence == packet.sequence;
  return record.first_packet_at + kRetransmissionSpan > now;
}

/** Handles an opening packet without a route. The first one is dropped, because
 * the route may not have reached this balancer yet; retransmissions are reset.
 */
PacketAction OnNoRoute(const PacketContext& context,
                       const OpaquePacket& packet) {
  if (packet.acknowledged_or_retransmission != 0)
    return ResetFlow("no_route", packet, VmId{}, context);
  LogFlowDecision("flow_dropped", "no_route", packet, VmId{}, Severity::kDebug,
                  context);
  return {};
}

/**
 * Handles an opening packet for which there is no backend server. It is reset
 * at once, except for a retransmission to an evacuated backend server: that one
 * may have accepted the flow, which a reset would end.
 * @param placed_at_vm Backend server that got the opening packet before; 0 if
 * none.
 */
PacketAction OnNoBackend(const PacketContext& context,
                         const OpaquePacket& packet,
                         const char* reason,
                         VmId placed_at_vm) {
  const PoolMember* const member = context.backends.Find(placed_at_vm);
  if (member == nullptr || !IsEvacuated(*member, context.now))
    return ResetFlow(reason, packet, VmId{}, context);
  LogFlowDecision("flow_dropped", reason, packet, placed_at_vm, Severity::kInfo,
                  context);
  return {};
}

/**
 * Establishes a flow with the caller's first packet after the opening packet.
 * Two backend servers may have accepted retransmissions of one opening packet;
 * the tag of this packet names the one that has the flow.
 * @param learned Whether the record was created by this packet.
 */
void Establish(const PacketContext& context,
               const OpaquePacket& packet,
               bool learned,
               FlowRecord& record) {
  PoolMember* const member = context.backends.FindByTag(
      packet.tag.value == 0 ? record.tag : packet.tag);
  if (member == nullptr) {
    record.tag = packet.tag;
    UncountFlow(record, context.backends);
    return;
  }
  if (record.backend != member->vm)
    UncountFlow(record, context.backends);
  // If the flow has moved to another backend server, UncountFlow has cleared
  // waiting_since, and the time when the flow was placed there is unknown.
  const TimePoint placed_at =
      record.IsWaiting() ? record.waiting_since : TimePoint{};
  record.established = true;
  record.acknowledged = packet.acknowledged_or_retransmission;
  ClearAnswerDeadline(record, *member);
  CountFlow(record, *member);
  if (!learned)
    context.backends.OnHandshake(*member, placed_at, context.now, context.out);
}

/** Resets a flow of an unreachable backend server, at most once per
 * kMinResetInterval. */
PacketAction ResetUnreachable(const PacketContext& context,
                              const OpaquePacket& packet,
                              FlowRecord& record) {
  if (record.reset_at != kNever &&
      record.reset_at + kMinResetInterval > context.now)
    return {};
  record.reset_at = context.now;
  return ResetFlow("backend_unreachable", packet, record.backend, context);
}

/** Handles a packet with an unknown tag. It is dropped while the backend server
 * may be missing from this balancer's list of VMs; after that the flow is
 * reset.
 */
PacketAction OnUnknownTag(const PacketContext& context,
                          const OpaquePacket& packet,
                          FlowRecord& record) {
  UncountFlow(record, context.backends);
  if (context.backends.Guard().DocumentsCoverFlow(record.first_packet_at,
                                                  context.now))
    return ResetFlow("backend_unknown", packet, record.backend, context);
  LogFlowDecision("flow_dropped", "backend_unknown", packet, record.backend,
                  Severity::kInfo, context);
  return {};
}

/** Handles a later packet without a route. It is dropped while the route may be
 * missing from this balancer's configuration; after that the flow is reset. */
PacketAction OnRemovedRoute(const PacketContext& context,
                            const OpaquePacket& packet,
                            FlowRecord& record) {
  if (!context.backends.Guard().DocumentsCoverFlow(record.first_packet_at,
                                                   context.now))
    return {};
  UncountFlow(record, context.backends);
  return ResetFlow("no_route", packet, record.backend, context);
}

/** Reports a failure signal for the flow's backend server if the flow waits for
 * an answer. */
void ReportUnanswered(FlowRecord& record,
                      FailureSignal failure_signal,
                      TimePoint now,
                      BackendPool& backends,
                      PacketOutput& out) {
  PoolMember* const member = backends.Find(record.backend);
  if (member == nullptr || !record.IsWaiting())
    return;
  backends.OnPacedLate(*member, record.waiting_since, now);
  backends.OnFailureSignal(*member, failure_signal, record.waiting_since, now,
                           out);
}

}  // namespace

PacketAction FlowShard::OnPacket(const PacketContext& context,
                                 const OpaquePacket& packet) {
  return packet.opens ? this->OnOpening(context, packet)
                      : this->OnLaterPacket(context, packet);
}

void FlowShard::StartAnswerDeadline(FlowRecord& record,
                                    PoolMember& member,
                                    TimePoint now,
                                    Milliseconds late_answer_after) {
  if (record.IsWaiting())
    return;
  record.waiting_since = now;
  ++member.waiting;
  this->answer_deadlines.push({now + late_answer_after, record.key, now});
}

FlowRecord& FlowShard::AddRecord(const PacketContext& context,
                                 const FlowKey& key) {
  this->evicted.clear();
  FlowRecord& record = this->flows.Add(key, context.now, this->evicted);
  for (FlowRecord& evicted : this->evicted)
    UncountFlow(evicted, context.backends);
  return record;
}

PacketAction FlowShard::OnOpening(const PacketContext& context,
                                  const OpaquePacket& packet) {
  FlowRecord* record = this->flows.Find(packet.key);
  if (record != nullptr && record->established) {
    PoolMember* const member = context.backends.Find(record->backend);
    if (IsRetransmission(*record, packet, context.now))
      return member == nullptr || IsEvacuated(*member, context.now)
                 ? PacketAction{}
                 : ForwardTo(*member);
    // The caller has reused its port for a new flow.
    UncountFlow(*record, context.backends);
    this->flows.Remove(*record);
    record = nullptr;
  }
  const OpaqueRoute* const route = context.routes.Find(packet.key.service);
  if (route == nullptr)
    return OnNoRoute(context, packet);
  VmId avoided;
  if (record == nullptr) {
    record = &this->AddRecord(context, packet.key);
  } else {
    avoided = record->backend;
    ReportUnanswered(*record, FailureSignal::kLateOpeningAnswer, context.now,
                     context.backends, context.out);
  }
  return this->PlaceFlow(context, packet, *route, avoided, *record);
}

PacketAction FlowShard::PlaceFlow(const PacketContext& context,
                                  const OpaquePacket& packet,
                                  const OpaqueRoute& route,
                                  VmId avoided,
                                  FlowRecord& record) {
  record.last_packet_at = context.now;
  record.opening_sequence = packet.sequence;
  record.next_sequence = packet.sequence;
  // In an opening packet this field holds the number of the retransmission.
  const uint32_t retransmission = packet.acknowledged_or_retransmission;
  const int64_t depth_limit =
      context.backends.QueueDepthLimitFor(retransmission);
  const PoolChoice choice =
      context.backends.Choose(route.ServiceOf(FlowIdOf(packet.key)), avoided,
                              depth_limit, context.now, context.random);
  if (choice.member == nullptr)
    return OnNoBackend(context, packet, choice.reason, avoided);
  if (retransmission < kLastRetransmission &&
      BackendPool::IsFull(*choice.member, depth_limit)) {
    UncountFlow(record, context.backends);
    record.backend = VmId{};
    LogFlowDecision("flow_delayed", "backend_full", packet, choice.member->vm,
                    Severity::kInfo, context);
    return {};
  }
  if (record.backend != choice.member->vm)
    UncountFlow(record, context.backends);
  CountFlow(record, *choice.member);
  this->StartAnswerDeadline(record, *choice.member, context.now,
                            kOpeningAnswerTimeout);
  LogFlowDecision("flow_placed", avoided == VmId{} ? choice.reason : "copy",
                  packet, choice.member->vm, Severity::kInfo, context);
  return ForwardTo(*choice.member);
}

PacketAction FlowShard::OnLaterPacket(const PacketContext& context,
                                      const OpaquePacket& packet) {
  FlowRecord* record = this->flows.Find(packet.key);
  const bool learned = record == nullptr;
  if (learned) {
    record = &this->AddRecord(context, packet.key);
    record->next_sequence = packet.sequence;
    record->acknowledged = packet.acknowledged_or_retransmission;
    record->tag = packet.tag;
  }
  record->last_packet_at = context.now;
  if (!record->established)
    Establish(context, packet, learned, *record);
  PoolMember* const member = context.backends.FindByTag(record->tag);
  if (member == nullptr)
    return OnUnknownTag(context, packet, *record);
  if (context.routes.Find(packet.key.service) == nullptr)
    return OnRemovedRoute(context, packet, *record);
  if (!packet.closes)
    CountFlow(*record, *member);
  const bool is_answered =
      this->UpdateSequence(context, packet, *record, *member);
  if (member->liveness.reachability == Reachability::kUnreachable &&
      !member->liveness.flows_kept && !is_answered &&
      !context.backends.IsIsolated())
    return ResetUnreachable(context, packet, *record);
  if (packet.closes || packet.resets)
    UncountFlow(*record, context.backends);
  return ForwardTo(*member);
}

bool FlowShard::UpdateSequence(const PacketContext& context,
                               const OpaquePacket& packet,
                               FlowRecord& record,
                               PoolMember& member) {
  const bool is_answered =
      IsAfter(packet.acknowledged_or_retransmission, record.acknowledged);
  if (is_answered) {
    record.acknowledged = packet.acknowledged_or_retransmission;
    context.backends.OnAlive(member, context.now, context.out);
    if (record.IsWaiting()) {
      const Microseconds time = context.now - record.waiting_since;
      BackendPool::OnAnswer(member, time);
      context.backends.OnPacedAnswer(member, time, context.now);
      context.backends.RecordLoad(member, packet.key.service, time,
                                  context.now);
    }
    ClearAnswerDeadline(record, member);
  }
  if (packet.length == 0)
    return is_answered;
  const uint32_t end = packet.sequence + packet.length;
  if (IsAfter(end, record.next_sequence)) {
    // Data that follows while an answer is awaited is more of one request. The
    // token of the flow covers its first request.
    const bool is_first = record.opening_sequence != 0 &&
                          record.next_sequence == record.opening_sequence;
    if (!record.IsWaiting() && !is_first)
      context.backends.GetColdLimit().OnFurtherRequest(member, context.now);
    record.next_sequence = end;
    const OpaqueRoute* const route = context.routes.Find(packet.key.service);
    this->StartAnswerDeadline(record, member, context.now,
                              route->late_answer_after);
  } else if (record.IsWaiting()) {
    context.backends.OnFailureSignal(member, FailureSignal::kRetransmission,
                                     context.now - kRecentAnswerAge,
                                     context.now, context.out);
  }
  return is_answered;
}

void FlowShard::ReportLateAnswers(BackendPool& backends,
                                  TimePoint now,
                                  PacketOutput& out) {
  while (!this->answer_deadlines.empty() &&
         this->answer_deadlines.top().due <= now) {
    const AnswerDeadline deadline = this->answer_deadlines.top();
    this->answer_deadlines.pop();
    FlowRecord* const record = this->flows.Find(deadline.key);
    if (record == nullptr || record->waiting_since != deadline.since)
      continue;
    ReportUnanswered(*record,
                     record->established ? FailureSignal::kLateAnswer
                                         : FailureSignal::kLateOpeningAnswer,
                     now, backends, out);
  }
}

void FlowShard::ExpireIdleFlows(BackendPool& backends, TimePoint idle_since) {
  this->flows.ScanNext(kEntriesScannedPerTick, [&](FlowRecord& record) {
    if (record.last_packet_at > idle_since)
      return;
    UncountFlow(record, backends);
    this->flows.Remove(record);
  });
}

void FlowShard::UncountFlowsOf(VmId vm, BackendPool& backends) {
  this->flows.ForEach([&](FlowRecord& record) {
    if (record.backend == vm)
      UncountFlow(record, backends);
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
