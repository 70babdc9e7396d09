/** @file packet_type.h Packets of opaque flows as the balancer sees them, and
 * what it does with one. */

#ifndef CUMINVANE_PACKET_PACKET_TYPE_H_
#define CUMINVANE_PACKET_PACKET_TYPE_H_

#include <compare>
#include <cstdint>

#include "base/endpoint_type.h"
#include "base/ids_type.h"

namespace cuminvane {

/** The two ends of an opaque flow as its caller knows them. */
struct FlowKey {
  Endpoint caller;
  Endpoint service;  ///< An address of a class.

  auto operator<=>(const FlowKey&) const = default;
};

/** Identifies a backend server inside packets; 0 means none. */
using FlowTag = StrongId<struct FlowTagTag, uint32_t>;

/** What the balancer reads of a caller's packet; the payload stays opaque. */
struct OpaquePacket {
  FlowKey key;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;  ///< In an opening packet: which copy it is.
  FlowTag tag;                ///< Last one that the caller got on this flow.
  uint16_t length = 0;        ///< Bytes of payload.
  bool opens = false;
  bool closes = false;
  bool resets = false;

  bool operator==(const OpaquePacket&) const = default;
};

enum class PacketActionType : uint8_t { kForward, kReset, kDrop };

/** What to do with one packet. */
struct PacketAction {
  PacketActionType type = PacketActionType::kDrop;
  Endpoint to;   ///< For kForward.
  VmId backend;  ///< For kForward: the only one that may take it.
  FlowTag tag;   ///< For kForward: written into the packet.

  bool operator==(const PacketAction&) const = default;
};

/** A reset of a flow, sent to its caller. */
struct FlowReset {
  FlowKey key;
  uint32_t sequence = 0;  ///< Within the caller's receive window.

  bool operator==(const FlowReset&) const = default;
};

}  // namespace cuminvane

template <>
struct std::hash<cuminvane::FlowKey> {
  std::size_t operator()(const cuminvane::FlowKey& key) const noexcept;
};

#endif  // CUMINVANE_PACKET_PACKET_TYPE_H_
