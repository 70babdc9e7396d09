/** @file token_type.h The flow token: what a balancer needs to know of a flow,
 * carried by the flow itself. */

#ifndef CUMINVANE_REQUEST_TOKEN_TYPE_H_
#define CUMINVANE_REQUEST_TOKEN_TYPE_H_

#include <msgpack.hpp>

#include "base/ids_type.h"
#include "message/message_type.h"

namespace cuminvane {

/** The signed content of a token. */
struct FlowToken {
  KeyNumber key;  ///< Key its MAC was made with.
  FlowId flow;
  ServiceId service;
  VmId backend;  ///< Backend server chosen when the flow opened.
  Incarnation backend_incarnation;
  VmInstance owner;  ///< Only this start of this balancer dispatches the flow's
                     ///< non-idempotent work.
  RequestNumber fence;  ///< Numbers up to here belong to earlier owners.
  VmInstance witness;   ///< Must have each intent of the owner; none: the owner
                        ///< dispatches alone.

  bool operator==(const FlowToken&) const = default;
  MSGPACK_DEFINE_ARRAY(key.value,
                       flow.value,
                       service.value,
                       backend.value,
                       backend_incarnation.value,
                       owner,
                       fence.value,
                       witness)
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_TOKEN_TYPE_H_
