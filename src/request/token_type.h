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
  KeyNumber key;      ///< Number of the key that the MAC is computed with.
  FlowId flow;        ///< Flow that the token belongs to.
  ServiceId service;  ///< Service that the flow was opened for.
  VmId backend;       ///< Backend server chosen when the flow was opened.
  Incarnation backend_incarnation;  ///< Incarnation of `backend` at that time.
  /** The only balancer instance that may dispatch the flow's non-idempotent
   * requests. */
  VmInstance owner;
  /** The owner must not dispatch non-idempotent requests with this or a lower
   * number, because they belong to earlier owners. 0 means that no number is
   * fenced. */
  RequestNumber fence;
  /** Balancer instance that must acknowledge an intent before the owner
   * dispatches a non-idempotent request. Default-constructed if the flow has no
   * witness. */
  VmInstance witness;

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
