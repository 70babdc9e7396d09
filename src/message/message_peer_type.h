/** @file message_peer_type.h Messages between balancers about requests and
 * callers' packets. The messages of membership, documents and reachability are
 * declared in member/, document/ and packet/. */

#ifndef CUMINVANE_MESSAGE_MESSAGE_PEER_TYPE_H_
#define CUMINVANE_MESSAGE_MESSAGE_PEER_TYPE_H_

#include "message/message_type.h"

namespace cuminvane {

/** An owner announces to its witness that it is about to dispatch a
 * non-idempotent request. Kept small, because every such request costs one. */
struct DispatchIntent {
  static constexpr MessageType kType = MessageType::kDispatchIntent;
  FlowId flow;
  RequestNumber number;
  VmInstance owner;  ///< The balancer that sends the intent.
  uint32_t remaining_ms =
      0;  ///< Time until the request's deadline, in milliseconds, rounded up.

  bool operator==(const DispatchIntent&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, owner, remaining_ms)
};

/**
 * A witness answers a DispatchIntent. The reply doesn't carry the witness's VM
 * id, because each request number has only one witness. It carries the
 * incarnation, because a restarted witness no longer knows for which owners its
 * previous instance had closed a flow, and must not answer in its place.
 */
struct DispatchIntentReply {
  static constexpr MessageType kType = MessageType::kDispatchIntentReply;
  FlowId flow;
  RequestNumber number;
  bool granted = false;  ///< False if the witness has fenced the owner off for
                         ///< this flow; the owner must then not dispatch.
  Incarnation incarnation;  ///< Incarnation of the witness.

  bool operator==(const DispatchIntentReply&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, granted, incarnation.value)
};

/** A caller's packet that one balancer relays to another. */
struct RelayedPacket {
  static constexpr MessageType kType = MessageType::kRelayedPacket;
  Endpoint caller;   ///< Address of the caller.
  Endpoint service;  ///< Service address that the caller sent to.
  Endpoint fabric;   ///< Fabric address that answers are sent to.
  Blob packet;       ///< The caller's datagram.
  uint8_t hops = 0;  ///< Number of relays so far, including this one.

  bool operator==(const RelayedPacket&) const = default;
  MSGPACK_DEFINE_ARRAY(caller, service, fabric, packet, hops)
};

}  // namespace cuminvane

#endif  // CUMINVANE_MESSAGE_MESSAGE_PEER_TYPE_H_
