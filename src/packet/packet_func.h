/** @file packet_func.h Hashes and sequence arithmetic of opaque flows. */

#ifndef CUMINVANE_PACKET_PACKET_FUNC_H_
#define CUMINVANE_PACKET_PACKET_FUNC_H_

#include "packet/packet_type.h"

namespace cuminvane {

/** @return A number that identifies the flow in logs, the same at every
 * balancer. */
FlowId FlowIdOf(const FlowKey& key);

/** @return The tag of a backend server, the same at every balancer; never 0. */
FlowTag TagOf(VmId backend);

/** @return Whether `later` comes after `earlier` in wrapping sequence space. */
constexpr bool IsAfter(uint32_t later, uint32_t earlier) {
  return static_cast<int32_t>(later - earlier) > 0;
}

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_PACKET_FUNC_H_
