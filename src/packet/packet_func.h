/** @file packet_func.h Hashes of flow addresses and VM ids, and comparison of
 * sequence numbers. */

#ifndef CUMINVANE_PACKET_PACKET_FUNC_H_
#define CUMINVANE_PACKET_PACKET_FUNC_H_

#include "packet/packet_type.h"

namespace cuminvane {

/** @return Hash of the flow's addresses; the same at every balancer. It
 * identifies the flow in logs and selects its shard, table entry and service.
 */
FlowId FlowIdOf(const FlowKey& key);

/** @return Tag of the backend server; the same at every balancer, never 0. */
FlowTag TagOf(VmId backend);

/** @return Whether `later` follows `earlier`; sequence numbers wrap around at
 * 2^32. */
constexpr bool IsAfter(uint32_t later, uint32_t earlier) {
  return static_cast<int32_t>(later - earlier) > 0;
}

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_PACKET_FUNC_H_
