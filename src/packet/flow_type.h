/** @file flow_type.h The state that a balancer keeps of one opaque flow. */

#ifndef CUMINVANE_PACKET_FLOW_TYPE_H_
#define CUMINVANE_PACKET_FLOW_TYPE_H_

#include "base/time_type.h"
#include "packet/packet_type.h"

namespace cuminvane {

/** Soft state of one opaque flow: if it is lost, the balancer learns it again
 * from the flow's next packets. */
struct FlowRecord {
  FlowKey key;   ///< Addresses of both ends.
  VmId backend;  ///< Backend server of the flow; 0 means none yet.
  FlowTag tag;   ///< Tag of the backend server; 0 means unknown.
  uint32_t opening_sequence = 0;  ///< Sequence number of the opening packet; 0
                                  ///< if this balancer did not see it.
  uint32_t next_sequence = 0;  ///< Sequence number after the last byte that the
                               ///< caller has sent.
  uint32_t acknowledged = 0;   ///< Highest sequence number that the caller has
                               ///< acknowledged to the backend server.
  bool established = false;  ///< A packet after the opening packet has passed.
  bool counted = false;      ///< Included in PoolMember::flows of `backend`.
  TimePoint last_packet_at;  ///< Arrival of the last packet; TimePoint{} marks
                             ///< a free table entry.
  /** Arrival of the first packet of the flow that this balancer received. */
  TimePoint first_packet_at;
  /** When the unanswered data or opening packet was first sent; kNever if
   * nothing is unanswered. */
  TimePoint waiting_since = kNever;
  /** When the last reset was sent; kNever if none. */
  TimePoint reset_at = kNever;

  bool operator==(const FlowRecord&) const = default;

  /** @return Whether the table entry holds no flow. */
  bool IsFree() const { return this->last_packet_at == TimePoint{}; }
  /** @return Whether data or an opening packet is unanswered. */
  bool IsWaiting() const { return this->waiting_since != kNever; }
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_FLOW_TYPE_H_
