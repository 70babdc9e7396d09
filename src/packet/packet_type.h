/** @file packet_type.h Packets of opaque flows as the balancer reads them, and
 * the actions it can take on a packet. */

#ifndef CUMINVANE_PACKET_PACKET_TYPE_H_
#define CUMINVANE_PACKET_PACKET_TYPE_H_

#include <compare>
#include <cstdint>

#include "base/endpoint_type.h"
#include "base/ids_type.h"

namespace cuminvane {

/** The addresses of both ends of an opaque flow, as the caller uses them. */
struct FlowKey {
  Endpoint caller;   ///< Address and port of the caller.
  Endpoint service;  ///< Address of a class of work that the caller sends to.

  auto operator<=>(const FlowKey&) const = default;
};

/** Identifies a backend server inside packets; 0 means no backend server. */
using FlowTag = StrongId<struct FlowTagTag, uint32_t>;

/** Header fields that the balancer reads from a caller's packet; the payload is
 * not examined. */
struct OpaquePacket {
  FlowKey key;            ///< Flow of the packet.
  uint32_t sequence = 0;  ///< Sequence number of the first payload byte.
  /** Next byte that the caller expects from the backend server. In an opening
   * packet instead the number of the retransmission: 0 for the first packet. */
  uint32_t acknowledged_or_retransmission = 0;
  FlowTag tag;          ///< Tag that the caller received last on this flow.
  uint16_t length = 0;  ///< Length of the payload in bytes.
  bool opens = false;   ///< Opening packet of a flow.
  bool closes = false;  ///< The caller closes its side of the flow.
  bool resets = false;  ///< The caller resets the flow.

  bool operator==(const OpaquePacket&) const = default;
};

/** What the balancer does with a packet. */
enum class PacketActionType : uint8_t {
  kForward,  ///< Send the packet to a backend server.
  kReset,    ///< Drop the packet and send a reset to its caller.
  kDrop,     ///< Drop the packet without an answer.
};

/** Decision about one packet; `to`, `backend` and `tag` are set for kForward
 * only. */
struct PacketAction {
  PacketActionType type = PacketActionType::kDrop;
  Endpoint to;   ///< Address that the packet is sent to.
  VmId backend;  ///< The only backend server that may accept the packet.
  FlowTag tag;   ///< Tag to write into the packet.

  bool operator==(const PacketAction&) const = default;
};

/** A reset that ends a flow; sent to the flow's caller. */
struct FlowReset {
  FlowKey key;            ///< Flow to reset.
  uint32_t sequence = 0;  ///< A sequence number in the caller's receive window.

  bool operator==(const FlowReset&) const = default;
};

}  // namespace cuminvane

template <>
struct std::hash<cuminvane::FlowKey> {
  std::size_t operator()(const cuminvane::FlowKey& key) const noexcept;
};

#endif  // CUMINVANE_PACKET_PACKET_TYPE_H_
