/** @file token_type.h The flow token: the state of a flow that a balancer
 * needs. The caller receives it when the flow is opened and sends it with its
 * packets. */

#ifndef CUMINVANE_REQUEST_TOKEN_TYPE_H_
#define CUMINVANE_REQUEST_TOKEN_TYPE_H_

#include <msgpack.hpp>

#include "base/ids_type.h"
#include "message/message_type.h"

namespace cuminvane {

/** Content of a token, authenticated by the token's MAC. */
struct FlowToken {
  KeyNumber key;  ///< Key of the token's MAC.
  FlowId flow;
  ServiceId service;
  VmId backend;  ///< Backend server chosen when the flow was opened.
  Incarnation backend_incarnation;  ///< Incarnation of `backend` then.
  VmInstance owner;     ///< The only balancer instance that may dispatch the
                        ///< flow's non-idempotent requests.
  RequestNumber fence;  ///< The owner must not dispatch non-idempotent requests
                        ///< with this or a lower number; they belong to earlier
                        ///< owners. 0 if there were none.
  VmInstance witness;   ///< Must acknowledge an intent before the owner
                        ///< dispatches a non-idempotent request.
                        ///< Default-constructed if the flow has no witness.

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
