/** @file flow_shard_base.h A part of the opaque flows, and every decision about
 * a packet of one of them. */

#ifndef CUMINVANE_PACKET_FLOW_SHARD_BASE_H_
#define CUMINVANE_PACKET_FLOW_SHARD_BASE_H_

#include <queue>
#include <vector>

#include "packet/flow_table_base.h"
#include "packet/pool_base.h"
#include "packet/route_table_base.h"

namespace cuminvane {

/** What a packet is decided with. */
struct PacketContext {
  TimePoint now;
  const RouteTable& routes;
  BackendPool& backends;
  RandomEngine& random;
  PacketOutput& out;
};

/** Some of the flows. Not for several threads. */
class FlowShard {
 public:
  /** @param limit Most flows remembered. */
  explicit FlowShard(size_t limit) : flows(limit) {}

  /** Decides about one packet. */
  PacketAction OnPacket(const PacketContext& context,
                        const OpaquePacket& packet);

  /** Gives the pool evidence of what has waited for too long. */
  void ReportLateAnswers(BackendPool& backends,
                         TimePoint now,
                         PacketOutput& out);
  /** Forgets flows that have been silent since before `idle_since`; looks at
   * some with each call. */
  void ExpireIdleFlows(BackendPool& backends, TimePoint idle_since);
  /** A start has none of the flows of the one before; one that it has all the
   * same counts again with its next packet. */
  void UncountFlowsOf(VmId vm, BackendPool& backends);
  /** Adds a reset for each open flow of a lost backend server. */
  void ResetFlowsOf(VmId vm, TimePoint now, std::vector<FlowReset>& resets);

  /** @return Number of flows. */
  size_t Size() const { return this->flows.Size(); }

 private:
  /** What waits for an answer, and when that is late. */
  struct AnswerDeadline {
    TimePoint due;
    FlowKey key;
    TimePoint since;

    bool operator<(const AnswerDeadline& other) const {
      return this->due > other.due;
    }
  };

  FlowRecord& AddRecord(const PacketContext& context, const FlowKey& key);
  void StartAnswerDeadline(FlowRecord& record,
                           PoolMember& member,
                           TimePoint now,
                           Milliseconds late_answer_after);

  PacketAction OnOpening(const PacketContext& context,
                         const OpaquePacket& packet);
  PacketAction PlaceFlow(const PacketContext& context,
                         const OpaquePacket& packet,
                         const OpaqueRoute& route,
                         VmId avoided,
                         FlowRecord& record);
  PacketAction OnLaterPacket(const PacketContext& context,
                             const OpaquePacket& packet);
  void UpdateSequence(const PacketContext& context,
                      const OpaquePacket& packet,
                      FlowRecord& record,
                      PoolMember& member);

  FlowTable flows;
  std::priority_queue<AnswerDeadline> answer_deadlines;
  std::vector<FlowRecord> evicted;  ///< Kept to save its memory.
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_FLOW_SHARD_BASE_H_
