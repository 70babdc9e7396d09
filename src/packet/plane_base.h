/** @file plane_base.h The packet plane: forwards the packets of opaque flows,
 * which carry no token. */

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
 * The balancer chooses a backend server for the opening packet and writes the
 * tag of that backend server into the packet. Both ends of the flow send the
 * tag back in their packets, so any balancer can route any later packet. The
 * flow records of a balancer add only what the tag does not show: which backend
 * server has the flow if two accepted retransmissions of one opening packet,
 * and which data is unanswered.
 *
 * @tparam Mutex Type of the locks that guard routes, pool and shards.
 */
template <Lockable Mutex>
class PacketPlane {
 public:
  /**
   * @param data_centre Name of this balancer's data centre.
   * @param limits Numbers of shards and flow records, queue depths and times
   * of the decisions.
   */
  PacketPlane(std::string_view data_centre, const FlowLimits& limits)
      : pool(data_centre, limits) {
    for (size_t index = 0; index < limits.shards; ++index)
      this->shards.emplace_back(limits.max_flows / limits.shards);
  }

  /** Updates routes and pool from the configuration and the list of VMs on the
   * blackboard. */
  void Sync(const BlackboardView& blackboard, TimePoint now) {
    this->routes.WithLock([&](Routes& current) {
      if (current.config == blackboard.config.value)
        return;
      current.config = blackboard.config.value;
      current.table =
          std::make_shared<const RouteTable>(*blackboard.config.value);
    });
    const std::vector<VmId> restarted =
        this->pool.WithLock([&](BackendPool& backends) {
          return backends.Sync(*blackboard.vms.value, *blackboard.config.value,
                               now);
        });
    for (const VmId vm : restarted)
      this->UncountFlowsOf(vm);
  }

  /**
   * Decides about one packet.
   * @param now The current time.
   * @param packet Header fields of the packet.
   * @param random Random engine of the calling thread.
   * @param out Receives log lines and health checks.
   */
  PacketAction OnPacket(TimePoint now,
                        const OpaquePacket& packet,
                        RandomEngine& random,
                        PacketOutput& out) {
    const auto table = this->routes.WithLock(
        [](const Routes& current) { return current.table; });
    return this->ShardOf(packet.key).WithLock([&](FlowShard& shard) {
      return this->pool.WithLock([&](BackendPool& backends) {
        return shard.OnPacket({now, *table, backends, random, out}, packet);
      });
    });
  }

  /** Handles the result of a health check. If the flows of the backend server
   * are lost, they are reset so that callers can open new ones on other backend
   * servers; a time-out is also reported to other balancers. */
  void OnHealthCheckResult(TimePoint now,
                           VmId vm,
                           HealthCheckResult result,
                           const MemberView& members,
                           RandomEngine& random,
                           PacketOutput& out) {
    const bool flows_lost = this->pool.WithLock([&](BackendPool& backends) {
      return backends.OnHealthCheckResult(vm, result, now, out) &&
             !backends.IsIsolated();
    });
    if (!flows_lost)
      return;
    this->ResetFlowsOf(vm, now, out);
    if (result == HealthCheckResult::kTimedOut)
      this->ReportUnreachable(vm, now, members, random, out);
  }

  /** Handles a peer's report that a backend server is unreachable: starts a
   * health check and forwards the report. */
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
      GossipUpdate(update, members, random, out);
  }

  /** Merges a peer's report about the load of backend servers. */
  void OnServerLoadReport(TimePoint now,
                          const ServerLoadReport& report,
                          PacketOutput& out) {
    const bool logs_ignored = this->pool.WithLock([&](BackendPool& backends) {
      // The counter grows too fast for a line each while lists differ.
      return !backends.OnLoadReport(report, now) &&
             backends.LoadCounters().ignored % kIgnoredReportsPerLine == 1;
    });
    if (!logs_ignored)
      return;
    Decision decision;
    decision.topic = Topic::kReachability;
    decision.event = "load_report_ignored";
    decision.reason = "other_list";
    out.common.decisions.push_back(decision);
  }

  /** Sends a load report to a random live peer if one is due. */
  void SendServerLoad(TimePoint now,
                      const MemberView& members,
                      RandomEngine& random,
                      PacketOutput& out) {
    const std::string bytes = this->pool.WithLock([&](BackendPool& backends) {
      return backends.NextLoadReport(now, random);
    });
    if (!bytes.empty())
      SendToRandom(bytes, 1, members, random, out);
  }

  /** @return Counters of load reports. */
  ServerLoadCounters LoadCounters() const {
    return this->pool.WithLock(
        [](const BackendPool& backends) { return backends.LoadCounters(); });
  }

  /**
   * Runs periodic work: health checks, late answers and expiry of flows.
   * @param flow_idle_timeout Time without a packet after which a flow expires.
   * @param local_balancers Number of live balancers in this data centre,
   * including this one.
   * @param evidence What this balancer knows about its own state.
   */
  void Tick(TimePoint now,
            Milliseconds flow_idle_timeout,
            int local_balancers,
            const SelfEvidence& evidence,
            PacketOutput& out) {
    this->pool.WithLock([&](BackendPool& backends) {
      backends.Tick(now, local_balancers, evidence, out);
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

  /** @return Whether nearly all backend servers are suspected or unreachable,
   * which suggests that this balancer's own network has failed. */
  bool IsIsolated() const {
    return this->pool.WithLock(
        [](const BackendPool& backends) { return backends.IsIsolated(); });
  }
  /** @return Number of flow records. */
  size_t FlowCount() const {
    size_t flows = 0;
    for (const auto& guarded : this->shards)
      flows +=
          guarded.WithLock([](const FlowShard& shard) { return shard.Size(); });
    return flows;
  }
  /** @return The evacuated data centres, sorted by name. */
  std::vector<EvacuatedDataCentre> Evacuations() const {
    return this->pool.WithLock(
        [](const BackendPool& backends) { return backends.Evacuations(); });
  }
  /** @return A copy of the state of all backend servers, for the status page.
   */
  std::map<VmId, PoolMember> Backends() const {
    return this->pool.WithLock(
        [](const BackendPool& backends) { return backends.Members(); });
  }

 private:
  /** After a report about a backend server was sent or handled, peers' reports
   * about it are ignored for this time, so that the gossip ends. */
  static constexpr Milliseconds kUpdateSuppression{1500};
  /** One of this many ignored load reports is logged. */
  static constexpr uint64_t kIgnoredReportsPerLine = 100;
  /** Number of peers that a report is sent to (gossip). */
  static constexpr size_t kUpdateFanout = 3;

  /** The configuration and the route table made from it. */
  struct Routes {
    std::shared_ptr<const Config> config;
    std::shared_ptr<const RouteTable> table =
        std::make_shared<const RouteTable>();
  };

  Guarded<FlowShard, Mutex>& ShardOf(const FlowKey& key) {
    // The high bits of the hash select the shard, because the flow table
    // selects its entry by the low bits.
    return this->shards[(FlowIdOf(key).value >> 32) % this->shards.size()];
  }

  /** Stops counting the flows of a restarted backend server, since its new
   * instance has none of the old instance's flows. */
  void UncountFlowsOf(VmId vm) {
    for (auto& guarded : this->shards) {
      guarded.WithLock([&](FlowShard& shard) {
        this->pool.WithLock(
            [&](BackendPool& backends) { shard.UncountFlowsOf(vm, backends); });
      });
    }
  }

  /** Resets the open flows of an unavailable backend server. */
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
    decision.age = this->pool.WithLock([now](const BackendPool& backends) {
      return backends.Guard().DocumentAge(now);
    });
    out.common.decisions.push_back(decision);
  }

  /** Reports to some peers that a backend server is unreachable. */
  void ReportUnreachable(VmId vm,
                         TimePoint now,
                         const MemberView& members,
                         RandomEngine& random,
                         PacketOutput& out) {
    const Incarnation incarnation =
        this->pool.WithLock([&](BackendPool& backends) {
          PoolMember* const member = backends.Find(vm);
          // The lock was released since the check ended, so the backend server
          // may have been removed. The end of one that stops is no news.
          if (member == nullptr || MayBeStopping(*member, now))
            return Incarnation{};
          member->liveness.reported_at = now;
          return member->incarnation;
        });
    if (incarnation == Incarnation{})
      return;
    GossipUpdate({{vm, incarnation}}, members, random, out);
  }

  /** Sends a report to kUpdateFanout random live peers. */
  static void GossipUpdate(const ReachabilityUpdate& update,
                           const MemberView& members,
                           RandomEngine& random,
                           PacketOutput& out) {
    SendToRandom(Encode(update), kUpdateFanout, members, random, out);
  }

  /** Sends a datagram to `count` random live peers. */
  static void SendToRandom(const std::string& bytes,
                           size_t count,
                           const MemberView& members,
                           RandomEngine& random,
                           PacketOutput& out) {
    std::vector<MemberInfo> alive;
    std::ranges::copy_if(members.members, std::back_inserter(alive),
                         [](const MemberInfo& member) {
                           return member.State() == MemberState::kAlive;
                         });
    std::vector<MemberInfo> chosen;
    std::ranges::sample(alive, std::back_inserter(chosen),
                        static_cast<std::ptrdiff_t>(count), random);
    for (const MemberInfo& member : chosen)
      out.common.datagrams.push_back({Channel::kPeer, member.peer, bytes});
  }

  Guarded<Routes, Mutex> routes;
  /** Backend servers. If both locks are needed, the lock of a shard is taken
   * before the lock of the pool. */
  Guarded<BackendPool, Mutex> pool;
  /** Shards of the opaque flows, selected by ShardOf. */
  std::deque<Guarded<FlowShard, Mutex>> shards;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_PLANE_BASE_H_
