/** @file flow_type.h What a balancer remembers of one opaque flow; all of it
 * can be learned again from the flow's next packets. */

#ifndef CUMINVANE_PACKET_FLOW_TYPE_H_
#define CUMINVANE_PACKET_FLOW_TYPE_H_

#include "base/time_type.h"
#include "packet/packet_type.h"

namespace cuminvane {

/** Soft state of one opaque flow. */
struct FlowRecord {
  FlowKey key;
  VmId backend;
  FlowTag tag;  ///< Of the backend server's start; 0: not known.
  uint32_t opening_sequence = 0;  ///< Of the opening packet, where one came.
  uint32_t next_sequence = 0;     ///< End of the caller's data seen so far.
  uint32_t acknowledged = 0;      ///< Of the backend server's data.
  bool established = false;  ///< A packet other than an opening one has passed.
  bool counted = false;      ///< Counts among the backend server's flows.
  TimePoint last_packet_at;  ///< Last packet; the end of time for a free place.
  TimePoint first_packet_at;         ///< First packet seen here.
  TimePoint waiting_since = kNever;  ///< First send of what is unanswered.
  TimePoint reset_at = kNever;       ///< Last reset that was sent.

  bool operator==(const FlowRecord&) const = default;

  /** @return Whether the place holds no flow. */
  bool IsFree() const { return this->last_packet_at == TimePoint{}; }
  /** @return Whether data or an opening packet waits for its answer. */
  bool IsWaiting() const { return this->waiting_since != kNever; }
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_FLOW_TYPE_H_
