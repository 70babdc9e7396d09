/** @file flow_shard_base.h One shard of the opaque flows, and the decisions
 * about their packets. */

#ifndef CUMINVANE_PACKET_FLOW_SHARD_BASE_H_
#define CUMINVANE_PACKET_FLOW_SHARD_BASE_H_

#include <queue>
#include <vector>

#include "packet/flow_table_base.h"
#include "packet/pool_base.h"
#include "packet/route_table_base.h"

namespace cuminvane {

/** The inputs of a decision about a packet, and its output. */
struct PacketContext {
  TimePoint now;             ///< The current time.
  const RouteTable& routes;  ///< Routes of the active configuration.
  BackendPool& backends;     ///< Backend servers that flows are placed on.
  RandomEngine& random;      ///< Random engine of the calling thread.
  PacketOutput& out;         ///< Receives log lines and health checks.
};

/** The flows whose hash selects this shard. Not thread-safe: callers hold the
 * shard's lock. */
class FlowShard {
 public:
  /** @param limit Maximum number of flow records. */
  explicit FlowShard(size_t limit) : flows(limit) {}

  /** Decides whether a packet is forwarded, reset or dropped. */
  PacketAction OnPacket(const PacketContext& context,
                        const OpaquePacket& packet);

  /** Sends the pool a failure signal for each flow whose answer is overdue. */
  void ReportLateAnswers(BackendPool& backends,
                         TimePoint now,
                         PacketOutput& out);
  /** Removes flows that had no packet after `idle_since`. Each call scans only
   * a few table entries. */
  void ExpireIdleFlows(BackendPool& backends, TimePoint idle_since);
  /**
   * Stops counting the flows of a restarted backend server, since the new
   * instance has none of the flows of the instance before. A flow that the new
   * instance does have is counted again with its next packet.
   * @param vm VM of the restarted backend server.
   */
  void UncountFlowsOf(VmId vm, BackendPool& backends);
  /**
   * Adds a reset for each established flow that is counted as open on an
   * unavailable backend server.
   * @param vm VM of the backend server.
   * @param resets Receives the resets.
   */
  void ResetFlowsOf(VmId vm, TimePoint now, std::vector<FlowReset>& resets);

  /** @return Number of flow records. */
  size_t Size() const { return this->flows.Size(); }

 private:
  /** When an unanswered flow is reported to the pool as late. */
  struct AnswerDeadline {
    TimePoint due;  ///< The answer is late from this time on.
    FlowKey key;    ///< Flow that waits for the answer.
    /** FlowRecord::waiting_since when the deadline was set; a different value
     * means that the answer has come and the deadline is obsolete. */
    TimePoint since;

    /** Orders the priority queue by the earliest deadline. */
    bool operator<(const AnswerDeadline& other) const {
      return this->due > other.due;
    }
  };

  /** Adds a record for a flow. Flows that are evicted to make room are no
   * longer counted for their backend servers. */
  FlowRecord& AddRecord(const PacketContext& context, const FlowKey& key);
  /**
   * Marks the flow as waiting for an answer, unless it is waiting already.
   * @param late_answer_after Time from `now` after which the answer is late.
   */
  void StartAnswerDeadline(FlowRecord& record,
                           PoolMember& member,
                           TimePoint now,
                           Milliseconds late_answer_after);

  /** Decides about an opening packet or a retransmission of it. */
  PacketAction OnOpening(const PacketContext& context,
                         const OpaquePacket& packet);
  /**
   * Chooses a backend server for a flow that is not established.
   * @param avoided Backend server that left the opening packet unanswered; 0
   * means none.
   */
  PacketAction PlaceFlow(const PacketContext& context,
                         const OpaquePacket& packet,
                         const OpaqueRoute& route,
                         VmId avoided,
                         FlowRecord& record);
  /** Decides about a packet that is not an opening packet. */
  PacketAction OnLaterPacket(const PacketContext& context,
                             const OpaquePacket& packet);
  /** Updates the flow's sequence numbers, and detects from them answers and
   * retransmitted data.
   * @return Whether the packet acknowledges a new answer. */
  bool UpdateSequence(const PacketContext& context,
                      const OpaquePacket& packet,
                      FlowRecord& record,
                      PoolMember& member);

  FlowTable flows;  ///< Records of the flows of this shard.
  /** Deadlines of waiting flows, earliest first; may contain obsolete ones. */
  std::priority_queue<AnswerDeadline> answer_deadlines;
  std::vector<FlowRecord> evicted;  ///< Buffer of AddRecord; a member so that
                                    ///< its memory is reused.
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_FLOW_SHARD_BASE_H_
