/** @file message_peer_type.h Messages between balancers about requests and
 * callers' packets; those of membership and documents stand with them. */

#ifndef CUMINVANE_MESSAGE_MESSAGE_PEER_TYPE_H_
#define CUMINVANE_MESSAGE_MESSAGE_PEER_TYPE_H_

#include "message/message_type.h"

namespace cuminvane {

/** An owner tells its witness that it is about to dispatch a request; small,
 * since each such request costs one. */
struct DispatchIntent {
  static constexpr MessageType kType = MessageType::kDispatchIntent;
  FlowId flow;
  RequestNumber number;
  VmInstance owner;
  uint32_t remaining_ms =
      0;  ///< Time left until the request's deadline, rounded up.

  bool operator==(const DispatchIntent&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, owner, remaining_ms)
};

/**
 * A witness answers an intent. A number has one witness only, so its VM need
 * not be named; but a later start of it does not know what the one before it
 * closed, and must not speak for it.
 */
struct DispatchIntentReply {
  static constexpr MessageType kType = MessageType::kDispatchIntentReply;
  FlowId flow;
  RequestNumber number;
  bool granted = false;     ///< False: the owner is closed for the flow.
  Incarnation incarnation;  ///< Of the witness that speaks.

  bool operator==(const DispatchIntentReply&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, granted, incarnation.value)
};

/** A caller's packet handed from one balancer to another. */
struct RelayedPacket {
  static constexpr MessageType kType = MessageType::kRelayedPacket;
  Endpoint caller;
  Endpoint service;
  Endpoint fabric;  ///< Where answers go out.
  Blob packet;
  uint8_t hops = 0;  ///< Relays so far, this one included.

  bool operator==(const RelayedPacket&) const = default;
  MSGPACK_DEFINE_ARRAY(caller, service, fabric, packet, hops)
};

}  // namespace cuminvane

#endif  // CUMINVANE_MESSAGE_MESSAGE_PEER_TYPE_H_
