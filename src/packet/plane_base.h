/** @file plane_base.h The packet plane: opaque flows of callers that hold no
 * token. */

#ifndef CUMINVANE_PACKET_PLANE_BASE_H_
#define CUMINVANE_PACKET_PLANE_BASE_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <queue>
#include <vector>

#include "core/board_base.h"
#include "core/guarded_type.h"
#include "core/message_func.h"
#include "packet/flow_table_base.h"
#include "packet/packet_func.h"
#include "packet/pool_base.h"
#include "packet/route_table_base.h"

namespace cuminvane {

/**
 * Decides about each packet of an opaque flow.
 *
 * An opening packet is placed on a backend server, whose tag is written into
 * the packet. Both ends carry the tag back, so any balancer routes any later
 * packet. What is remembered of a flow only tells more: which of two backend
 * servers that took copies of one opening packet has the flow, and what is
 * unanswered.
 *
 * @tparam Mutex Lock of every part.
 */
template <Lockable Mutex>
class PacketPlane {
 public:
  /**
   * @param data_centre This balancer's.
   * @param limits Bounds of the state and times of the decisions.
   */
  PacketPlane(std::string_view data_centre, const FlowLimits& limits)
      : pool(data_centre, limits) {
    for (size_t index = 0; index < limits.shards; ++index)
      this->shards.emplace_back(limits.remembered / limits.shards);
  }

  /** Takes over configuration and list of VMs from the blackboard. */
  void Sync(const BoardView& board, TimePoint now) {
    this->routes.With([&](Routes& known) {
      if (known.config == board.config.value)
        return;
      known.config = board.config.value;
      known.table = std::make_shared<const RouteTable>(*board.config.value);
    });
    const std::vector<VmId> restarted =
        this->pool.With([&](BackendPool& known) {
          return known.Sync(*board.vms.value, *board.config.value, now);
        });
    for (const VmId vm : restarted)
      this->UncountFlowsOf(vm);
  }

  /**
   * Decides about one packet.
   * @param now The present time.
   * @param packet What was read of it.
   * @param random The calling thread's engine.
   * @param out Receives log lines and checks.
   */
  PacketAction OnPacket(TimePoint now,
                        const OpaquePacket& packet,
                        RandomEngine& random,
                        PacketOutput& out) {
    const auto table =
        this->routes.With([](const Routes& known) { return known.table; });
    const Call call{now, *table, random, out};
    return this->ShardOf(packet.key).With([&](Shard& shard) {
      return this->pool.With([&](BackendPool& backends) {
        return packet.opens ? OnOpening(call, shard, backends, packet)
                            : OnOther(call, shard, backends, packet);
      });
    });
  }

  /** Takes the result of a check; where a backend server is lost, its flows
   * are reset so that callers can go elsewhere. */
  void OnCheck(TimePoint now,
               VmId vm,
               CheckResult result,
               const MemberView& members,
               RandomEngine& random,
               PacketOutput& out) {
    const bool lost = this->pool.With([&](BackendPool& backends) {
      return backends.OnCheck(vm, result, now, out) && !backends.IsIsolated();
    });
    if (!lost)
      return;
    this->ResetFlowsOf(vm, now, out);
    if (result == CheckResult::kSilent)
      this->Tell(vm, now, members, random, out);
  }

  /** Another balancer finds a backend server out of reach. */
  void OnReachNews(TimePoint now,
                   const ReachNews& news,
                   const MemberView& members,
                   RandomEngine& random,
                   PacketOutput& out) {
    const bool is_new = this->pool.With([&](BackendPool& backends) {
      PoolMember* const member = backends.Find(news.backend.vm);
      if (member == nullptr ||
          member->incarnation != news.backend.incarnation ||
          member->liveness.told_at + kNewsMemory > now)
        return false;
      member->liveness.told_at = now;
      backends.OnEvidence(*member, Evidence::kPeer, now, now, out);
      return true;
    });
    if (is_new)
      Pass(news, members, random, out);
  }

  /**
   * Does what is due.
   * @param flow_idle Flows silent for longer are forgotten.
   * @param near_balancers Live balancers of this data centre.
   */
  void Tick(TimePoint now,
            Milliseconds flow_idle,
            int near_balancers,
            PacketOutput& out) {
    this->pool.With([&](BackendPool& backends) {
      backends.Tick(now, near_balancers, out);
    });
    for (auto& guarded : this->shards) {
      guarded.With([&](Shard& shard) {
        this->pool.With([&](BackendPool& backends) {
          NoticeLate(shard, backends, now, out);
          ForgetIdle(shard, backends, now - flow_idle);
        });
      });
    }
  }

  /** @return Whether nearly all backend servers have gone silent at once. */
  bool IsIsolated() const {
    return this->pool.With(
        [](const BackendPool& backends) { return backends.IsIsolated(); });
  }
  /** @return Flows remembered. */
  size_t Flows() const {
    size_t flows = 0;
    for (const auto& guarded : this->shards)
      flows +=
          guarded.With([](const Shard& shard) { return shard.flows.Size(); });
    return flows;
  }
  /** @return A copy of what is known of the backend servers, for status. */
  std::map<VmId, PoolMember> Backends() const {
    return this->pool.With(
        [](const BackendPool& backends) { return backends.Members(); });
  }

 private:
  /** A caller waits 200 ms before it copies its opening packet; an answer takes
   * one round trip. */
  static constexpr Milliseconds kOpenWait{60};
  /** The last copy of an opening packet is placed in any case. */
  static constexpr uint32_t kLastCopy = 2;
  /** A caller's last copy of an opening packet comes 600 ms after the first;
   * with the way through the network it is here within this. */
  static constexpr Milliseconds kCopySpan{1500};
  /** A backend server that has answered something this recently is alive. */
  static constexpr Milliseconds kFreshLife{150};
  /** How long a tag or an address may be news to this balancer. */
  static constexpr Milliseconds kNewsDelay{1000};
  /** A lost reset is repeated with the caller's next packet, not sooner. */
  static constexpr Milliseconds kResetPause{50};
  /** News of one loss is passed on once within this. */
  static constexpr Milliseconds kNewsMemory{1500};
  static constexpr size_t kNewsFanout = 3;
  /** Places of each shard looked at in a tick. */
  static constexpr size_t kVisits = 16;

  /** What waits for an answer, and when that is late. */
  struct Wait {
    TimePoint due;
    FlowKey key;
    TimePoint since;

    bool operator<(const Wait& other) const { return this->due > other.due; }
  };

  /** Part of the flows. */
  struct Shard {
    explicit Shard(size_t limit) : flows(limit) {}
    FlowTable flows;
    std::priority_queue<Wait> waits;
    std::vector<FlowRecord> evicted;
  };

  struct Routes {
    std::shared_ptr<const Config> config;
    std::shared_ptr<const RouteTable> table =
        std::make_shared<const RouteTable>();
  };

  /** What one packet is decided with. */
  struct Call {
    TimePoint now;
    const RouteTable& routes;
    RandomEngine& random;
    PacketOutput& out;
  };

  Guarded<Shard, Mutex>& ShardOf(const FlowKey& key) {
    // The table uses the low bits of the same hash.
    return this->shards[(FlowIdOf(key).value >> 32) % this->shards.size()];
  }

  static void Log(const char* event,
                  const char* reason,
                  const OpaquePacket& packet,
                  VmId backend,
                  Severity severity,
                  const Call& call) {
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

  static PacketAction Reset(const char* reason,
                            const OpaquePacket& packet,
                            VmId backend,
                            const Call& call) {
    Log("flow_reset", reason, packet, backend, Severity::kInfo, call);
    return {PacketVerdict::kReset, {}, {}, {}};
  }

  static PacketAction Forward(const PoolMember& member) {
    return {PacketVerdict::kForward, member.address, member.vm, member.tag};
  }

  // Bookkeeping of flows and waits at their backend servers.

  static void Count(FlowRecord& record, PoolMember& member) {
    record.backend = member.vm;
    record.tag = member.tag;
    if (!record.counted)
      ++member.flows;
    record.counted = true;
  }

  static void StartWait(FlowRecord& record,
                        PoolMember& member,
                        Shard& shard,
                        TimePoint now,
                        Milliseconds late_after) {
    if (record.IsWaiting())
      return;
    record.waiting_since = now;
    record.checked = false;
    ++member.waiting;
    shard.waits.push({now + late_after, record.key, now});
  }

  static void EndWait(FlowRecord& record, PoolMember& member) {
    if (!record.IsWaiting())
      return;
    record.waiting_since = kNever;
    member.waiting = std::max(0, member.waiting - 1);
  }

  static void Uncount(FlowRecord& record, BackendPool& backends) {
    PoolMember* const member = backends.Find(record.backend);
    if (member != nullptr) {
      EndWait(record, *member);
      if (record.counted)
        member->flows = std::max(0, member->flows - 1);
    }
    record.counted = false;
    record.waiting_since = kNever;
  }

  static FlowRecord& AddRecord(const Call& call,
                               Shard& shard,
                               BackendPool& backends,
                               const FlowKey& key) {
    shard.evicted.clear();
    FlowRecord& record = shard.flows.Add(key, call.now, shard.evicted);
    for (FlowRecord& evicted : shard.evicted)
      Uncount(evicted, backends);
    return record;
  }

  // Opening packets.

  static PacketAction OnOpening(const Call& call,
                                Shard& shard,
                                BackendPool& backends,
                                const OpaquePacket& packet) {
    FlowRecord* record = shard.flows.Find(packet.key);
    if (record != nullptr && record->established) {
      PoolMember* const member = backends.Find(record->backend);
      if (IsCopy(*record, packet, call.now))
        return member == nullptr ? PacketAction{} : Forward(*member);
      // The caller's port is used again.
      Uncount(*record, backends);
      shard.flows.Forget(*record);
      record = nullptr;
    }
    const OpaqueRoute* const route = call.routes.Find(packet.key.service);
    if (route == nullptr)
      return OnNoRoute(call, packet);
    VmId avoided;
    if (record == nullptr) {
      record = &AddRecord(call, shard, backends, packet.key);
    } else {
      avoided = record->backend;
      NoticeUnanswered(*record, Evidence::kLateOpen, call.now, backends,
                       call.out);
    }
    return Place(call, shard, backends, packet, *route, avoided, *record);
  }

  /** @return Whether an opening packet is a late copy of the one that opened
   * the flow. */
  static bool IsCopy(const FlowRecord& record,
                     const OpaquePacket& packet,
                     TimePoint now) {
    if (record.opening_sequence != 0)
      return record.opening_sequence == packet.sequence;
    return record.opened_at + kCopySpan > now;
  }

  static PacketAction Place(const Call& call,
                            Shard& shard,
                            BackendPool& backends,
                            const OpaquePacket& packet,
                            const OpaqueRoute& route,
                            VmId avoided,
                            FlowRecord& record) {
    record.seen_at = call.now;
    record.opening_sequence = packet.sequence;
    record.next_sequence = packet.sequence;
    const PoolChoice choice = backends.Choose(
        route.ServiceOf(FlowIdOf(packet.key)), avoided, call.now, call.random);
    if (choice.member == nullptr)
      return Reset("no_backend", packet, VmId{}, call);
    if (packet.acknowledged < kLastCopy && backends.IsFull(*choice.member)) {
      Uncount(record, backends);
      record.backend = VmId{};
      Log("flow_delayed", "backend_full", packet, choice.member->vm,
          Severity::kInfo, call);
      return {};
    }
    if (record.backend != choice.member->vm)
      Uncount(record, backends);
    Count(record, *choice.member);
    StartWait(record, *choice.member, shard, call.now, kOpenWait);
    Log("flow_placed", avoided == VmId{} ? choice.reason : "copy", packet,
        choice.member->vm, Severity::kInfo, call);
    return Forward(*choice.member);
  }

  /** The first copy is not answered: the route may be news. */
  static PacketAction OnNoRoute(const Call& call, const OpaquePacket& packet) {
    if (packet.acknowledged != 0)
      return Reset("no_route", packet, VmId{}, call);
    Log("flow_dropped", "no_route", packet, VmId{}, Severity::kDebug, call);
    return {};
  }

  // Later packets.

  static PacketAction OnOther(const Call& call,
                              Shard& shard,
                              BackendPool& backends,
                              const OpaquePacket& packet) {
    FlowRecord* record = shard.flows.Find(packet.key);
    const bool learned = record == nullptr;
    if (learned) {
      record = &AddRecord(call, shard, backends, packet.key);
      record->next_sequence = packet.sequence;
      record->acknowledged = packet.acknowledged;
      record->tag = packet.tag;
    }
    record->seen_at = call.now;
    if (!record->established)
      Establish(call, backends, packet, learned, *record);
    PoolMember* const member = backends.FindTag(record->tag);
    if (member == nullptr)
      return OnUnknownTag(call, backends, packet, *record);
    if (call.routes.Find(packet.key.service) == nullptr)
      return OnDroppedRoute(call, backends, packet, *record);
    if (!packet.closes)
      Count(*record, *member);
    Follow(call, shard, backends, packet, *record, *member);
    if (member->liveness.reach == Reach::kUnreachable && !backends.IsIsolated())
      return ResetLost(call, packet, *record);
    if (packet.closes || packet.resets)
      Uncount(*record, backends);
    return Forward(*member);
  }

  /** The caller's first packet after the opening tells which backend server
   * has the flow, where two took copies of the opening packet. */
  static void Establish(const Call& call,
                        BackendPool& backends,
                        const OpaquePacket& packet,
                        bool learned,
                        FlowRecord& record) {
    PoolMember* const member =
        backends.FindTag(packet.tag.value == 0 ? record.tag : packet.tag);
    if (member == nullptr) {
      record.tag = packet.tag;
      Uncount(record, backends);
      return;
    }
    if (record.backend != member->vm)
      Uncount(record, backends);
    record.established = true;
    record.acknowledged = packet.acknowledged;
    EndWait(record, *member);
    Count(record, *member);
    if (!learned)
      backends.OnAlive(*member, call.now, call.out);
  }

  /** Follows what is sent and what is answered. */
  static void Follow(const Call& call,
                     Shard& shard,
                     BackendPool& backends,
                     const OpaquePacket& packet,
                     FlowRecord& record,
                     PoolMember& member) {
    if (IsAfter(packet.acknowledged, record.acknowledged)) {
      record.acknowledged = packet.acknowledged;
      member.liveness.alive_at = call.now;
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
      StartWait(record, member, shard, call.now, route->late_after);
    } else if (record.IsWaiting()) {
      backends.OnEvidence(member, Evidence::kRepeat, call.now - kFreshLife,
                          call.now, call.out);
    }
  }

  static PacketAction ResetLost(const Call& call,
                                const OpaquePacket& packet,
                                FlowRecord& record) {
    if (record.reset_at != kNever && record.reset_at + kResetPause > call.now)
      return {};
    record.reset_at = call.now;
    return Reset("backend_unreachable", packet, record.backend, call);
  }

  static PacketAction OnUnknownTag(const Call& call,
                                   BackendPool& backends,
                                   const OpaquePacket& packet,
                                   FlowRecord& record) {
    Uncount(record, backends);
    if (record.opened_at + kNewsDelay <= call.now)
      return Reset("backend_unknown", packet, record.backend, call);
    Log("flow_dropped", "backend_unknown", packet, record.backend,
        Severity::kInfo, call);
    return {};
  }

  static PacketAction OnDroppedRoute(const Call& call,
                                     BackendPool& backends,
                                     const OpaquePacket& packet,
                                     FlowRecord& record) {
    if (record.opened_at + kNewsDelay > call.now)
      return {};
    Uncount(record, backends);
    return Reset("no_route", packet, record.backend, call);
  }

  // What is late, lost or idle.

  static void NoticeUnanswered(FlowRecord& record,
                               Evidence evidence,
                               TimePoint now,
                               BackendPool& backends,
                               PacketOutput& out) {
    PoolMember* const member = backends.Find(record.backend);
    if (member == nullptr || !record.IsWaiting())
      return;
    record.checked = true;
    backends.OnEvidence(*member, evidence, record.waiting_since, now, out);
  }

  static void NoticeLate(Shard& shard,
                         BackendPool& backends,
                         TimePoint now,
                         PacketOutput& out) {
    while (!shard.waits.empty() && shard.waits.top().due <= now) {
      const Wait wait = shard.waits.top();
      shard.waits.pop();
      FlowRecord* const record = shard.flows.Find(wait.key);
      if (record == nullptr || record->waiting_since != wait.since)
        continue;
      NoticeUnanswered(
          *record,
          record->established ? Evidence::kLateAnswer : Evidence::kLateOpen,
          now, backends, out);
    }
  }

  static void ForgetIdle(Shard& shard,
                         BackendPool& backends,
                         TimePoint idle_since) {
    shard.flows.Visit(kVisits, [&](FlowRecord& record) {
      if (record.seen_at > idle_since)
        return;
      Uncount(record, backends);
      shard.flows.Forget(record);
    });
  }

  /** A start has none of the flows of the one before; one that it has all the
   * same counts again with its next packet. */
  void UncountFlowsOf(VmId vm) {
    for (auto& guarded : this->shards) {
      guarded.With([&](Shard& shard) {
        this->pool.With([&](BackendPool& backends) {
          shard.flows.ForEach([&](FlowRecord& record) {
            if (record.backend == vm)
              Uncount(record, backends);
          });
        });
      });
    }
  }

  void ResetFlowsOf(VmId vm, TimePoint now, PacketOutput& out) {
    int64_t count = 0;
    for (auto& guarded : this->shards) {
      guarded.With([&](Shard& shard) {
        shard.flows.ForEach([&](FlowRecord& record) {
          if (record.backend != vm || !record.established || !record.counted)
            return;
          record.reset_at = now;
          out.resets.push_back({record.key, record.acknowledged});
          ++count;
        });
      });
    }
    Decision decision;
    decision.topic = Topic::kFlow;
    decision.severity = Severity::kWarning;
    decision.event = "flows_reset";
    decision.reason = "backend_lost";
    decision.vm = vm;
    decision.count = count;
    out.common.decisions.push_back(decision);
  }

  void Tell(VmId vm,
            TimePoint now,
            const MemberView& members,
            RandomEngine& random,
            PacketOutput& out) {
    const Incarnation incarnation = this->pool.With([&](BackendPool& backends) {
      PoolMember* const member = backends.Find(vm);
      member->liveness.told_at = now;
      return member->incarnation;
    });
    Pass({{vm, incarnation}}, members, random, out);
  }

  static void Pass(const ReachNews& news,
                   const MemberView& members,
                   RandomEngine& random,
                   PacketOutput& out) {
    std::vector<MemberInfo> alive;
    std::ranges::copy_if(members.members, std::back_inserter(alive),
                         [](const MemberInfo& member) {
                           return member.State() == MemberState::kAlive;
                         });
    std::vector<MemberInfo> chosen;
    std::ranges::sample(alive, std::back_inserter(chosen), kNewsFanout, random);
    const std::string bytes = Encode(news);
    for (const MemberInfo& member : chosen)
      out.common.datagrams.push_back({Lane::kPeer, member.peer, bytes});
  }

  Guarded<Routes, Mutex> routes;
  Guarded<BackendPool, Mutex> pool;
  std::deque<Guarded<Shard, Mutex>> shards;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_PLANE_BASE_H_
