/** @file plane_base.h The packet plane: opaque flows of callers that hold no
 * token. */

#ifndef CUMINVANE_PACKET_PLANE_BASE_H_
#define CUMINVANE_PACKET_PLANE_BASE_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

#include "base/guarded_type.h"
#include "member/blackboard_base.h"
#include "message/message_func.h"
#include "packet/flow_shard_base.h"
#include "packet/packet_func.h"

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
      this->shards.emplace_back(limits.max_flows / limits.shards);
  }

  /** Takes over configuration and list of VMs from the blackboard. */
  void Sync(const BlackboardView& blackboard, TimePoint now) {
    this->routes.WithLock([&](Routes& known) {
      if (known.config == blackboard.config.value)
        return;
      known.config = blackboard.config.value;
      known.table =
          std::make_shared<const RouteTable>(*blackboard.config.value);
    });
    const std::vector<VmId> restarted =
        this->pool.WithLock([&](BackendPool& known) {
          return known.Sync(*blackboard.vms.value, *blackboard.config.value,
                            now);
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
        this->routes.WithLock([](const Routes& known) { return known.table; });
    return this->ShardOf(packet.key).WithLock([&](FlowShard& shard) {
      return this->pool.WithLock([&](BackendPool& backends) {
        return shard.OnPacket({now, *table, backends, random, out}, packet);
      });
    });
  }

  /** Takes the result of a check; where a backend server is lost, its flows
   * are reset so that callers can go elsewhere. */
  void OnHealthCheckResult(TimePoint now,
                           VmId vm,
                           HealthCheckResult result,
                           const MemberView& members,
                           RandomEngine& random,
                           PacketOutput& out) {
    const bool lost = this->pool.WithLock([&](BackendPool& backends) {
      return backends.OnHealthCheckResult(vm, result, now, out) &&
             !backends.IsIsolated();
    });
    if (!lost)
      return;
    this->ResetFlowsOf(vm, now, out);
    if (result == HealthCheckResult::kTimedOut)
      this->ReportUnreachable(vm, now, members, random, out);
  }

  /** Another balancer finds a backend server out of reach. */
  void OnReachabilityUpdate(TimePoint now,
                            const ReachabilityUpdate& update,
                            const MemberView& members,
                            RandomEngine& random,
                            PacketOutput& out) {
    const bool is_new = this->pool.WithLock([&](BackendPool& backends) {
      PoolMember* const member = backends.Find(update.backend.vm);
      if (member == nullptr ||
          member->incarnation != update.backend.incarnation ||
          member->liveness.reported_at + kUpdateSuppression > now)
        return false;
      member->liveness.reported_at = now;
      backends.OnFailureSignal(*member, FailureSignal::kPeer, now, now, out);
      return true;
    });
    if (is_new)
      SendToSomePeers(update, members, random, out);
  }

  /**
   * Does what is due.
   * @param flow_idle_timeout Flows silent for longer are forgotten.
   * @param local_balancers Live balancers of this data centre.
   */
  void Tick(TimePoint now,
            Milliseconds flow_idle_timeout,
            int local_balancers,
            PacketOutput& out) {
    this->pool.WithLock([&](BackendPool& backends) {
      backends.Tick(now, local_balancers, out);
    });
    for (auto& guarded : this->shards) {
      guarded.WithLock([&](FlowShard& shard) {
        this->pool.WithLock([&](BackendPool& backends) {
          shard.ReportLateAnswers(backends, now, out);
          shard.ExpireIdleFlows(backends, now - flow_idle_timeout);
        });
      });
    }
  }

  /** @return Whether nearly all backend servers have gone silent at once. */
  bool IsIsolated() const {
    return this->pool.WithLock(
        [](const BackendPool& backends) { return backends.IsIsolated(); });
  }
  /** @return Flows remembered. */
  size_t Flows() const {
    size_t flows = 0;
    for (const auto& guarded : this->shards)
      flows +=
          guarded.WithLock([](const FlowShard& shard) { return shard.Size(); });
    return flows;
  }
  /** @return A copy of what is known of the backend servers, for status. */
  std::map<VmId, PoolMember> Backends() const {
    return this->pool.WithLock(
        [](const BackendPool& backends) { return backends.Members(); });
  }

 private:
  /** News of one loss is passed on once within this. */
  static constexpr Milliseconds kUpdateSuppression{1500};
  static constexpr size_t kUpdateFanout = 3;

  struct Routes {
    std::shared_ptr<const Config> config;
    std::shared_ptr<const RouteTable> table =
        std::make_shared<const RouteTable>();
  };

  Guarded<FlowShard, Mutex>& ShardOf(const FlowKey& key) {
    // The table uses the low bits of the same hash.
    return this->shards[(FlowIdOf(key).value >> 32) % this->shards.size()];
  }

  /** A start has none of the flows of the one before. */
  void UncountFlowsOf(VmId vm) {
    for (auto& guarded : this->shards) {
      guarded.WithLock([&](FlowShard& shard) {
        this->pool.WithLock(
            [&](BackendPool& backends) { shard.UncountFlowsOf(vm, backends); });
      });
    }
  }

  void ResetFlowsOf(VmId vm, TimePoint now, PacketOutput& out) {
    const size_t before = out.resets.size();
    for (auto& guarded : this->shards) {
      guarded.WithLock(
          [&](FlowShard& shard) { shard.ResetFlowsOf(vm, now, out.resets); });
    }
    Decision decision;
    decision.topic = Topic::kFlow;
    decision.severity = Severity::kWarning;
    decision.event = "flows_reset";
    decision.reason = "backend_lost";
    decision.vm = vm;
    decision.count = static_cast<int64_t>(out.resets.size() - before);
    out.common.decisions.push_back(decision);
  }

  void ReportUnreachable(VmId vm,
                         TimePoint now,
                         const MemberView& members,
                         RandomEngine& random,
                         PacketOutput& out) {
    const Incarnation incarnation =
        this->pool.WithLock([&](BackendPool& backends) {
          PoolMember* const member = backends.Find(vm);
          member->liveness.reported_at = now;
          return member->incarnation;
        });
    SendToSomePeers({{vm, incarnation}}, members, random, out);
  }

  static void SendToSomePeers(const ReachabilityUpdate& update,
                              const MemberView& members,
                              RandomEngine& random,
                              PacketOutput& out) {
    std::vector<MemberInfo> alive;
    std::ranges::copy_if(members.members, std::back_inserter(alive),
                         [](const MemberInfo& member) {
                           return member.State() == MemberState::kAlive;
                         });
    std::vector<MemberInfo> chosen;
    std::ranges::sample(alive, std::back_inserter(chosen), kUpdateFanout,
                        random);
    const std::string bytes = Encode(update);
    for (const MemberInfo& member : chosen)
      out.common.datagrams.push_back({Channel::kPeer, member.peer, bytes});
  }

  Guarded<Routes, Mutex> routes;
  Guarded<BackendPool, Mutex> pool;
  std::deque<Guarded<FlowShard, Mutex>> shards;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_PLANE_BASE_H_
