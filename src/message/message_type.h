/** @file message_type.h Protocol constants, message types and the types that
 * several messages share. A message may only be changed by appending fields, so
 * that processes of different versions understand each other. */

#ifndef CUMINVANE_MESSAGE_MESSAGE_TYPE_H_
#define CUMINVANE_MESSAGE_MESSAGE_TYPE_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint_type.h"
#include "base/ids_type.h"

namespace cuminvane {

/** Version of the datagram header that this process sends and accepts. */
inline constexpr uint16_t kProtocolVersion = 1;
/** Largest datagram accepted or sent, in bytes. */
inline constexpr size_t kMaxDatagramBytes = 8192;
/** Size of the padding in FlowOpen and FlowReopen, in bytes. It keeps the
 * answer no larger than the message that an unverified sender sent, so that a
 * balancer can't be used for traffic amplification. */
inline constexpr size_t kFlowOpenPaddingBytes = 224;

/** Opaque bytes inside a datagram. Refers to the datagram's memory, so the
 * datagram must outlive it. */
using Blob = msgpack::type::raw_ref;

/**
 * @param text Bytes to refer to; must outlive the blob.
 * @return A blob that refers to the bytes without a copy.
 */
inline Blob MakeBlob(std::string_view text) {
  return {text.data(), static_cast<uint32_t>(text.size())};
}

/** @return The blob's bytes, without a copy. */
inline std::string_view AsStringView(const Blob& blob) {
  return {blob.ptr, blob.size};
}

/** Type of a message as the datagram header carries it. A number is never
 * reused for another type. */
enum class MessageType : uint8_t {
  // Caller to balancer.
  kFlowOpen = 1,
  kRequest = 2,
  kMissingPartsQuery = 3,
  kAnswerReceived = 4,
  kCancelRequest = 5,
  kFlowReopen = 6,
  kFeedFollow = 7,
  kFeedUnfollow = 8,
  // Balancer to caller.
  kFlowOpened = 16,
  kAnswerPart = 17,
  kRequestOutcome = 18,
  kRequestRecorded = 19,
  kFeedEvent = 20,
  kFeedFollowed = 21,
  // Balancer to backend server.
  kStartRun = 32,
  kCancelRun = 33,
  kMissingRunPartsQuery = 34,
  kRunAnswerReceived = 35,
  kSubscribe = 36,
  kUnsubscribe = 37,
  // Backend server to balancer.
  kRunAccepted = 48,
  kRunPart = 49,
  kRunRefused = 50,
  kCancelRunReply = 51,
  kRunLost = 52,
  kPublishedEvent = 53,
  kSubscribed = 54,
  // Between balancers.
  kPing = 64,
  kAck = 65,
  kPingRequest = 66,
  kRelayedPacket = 67,
  kDispatchIntent = 71,
  kDispatchIntentReply = 72,
  kReachabilityUpdate = 73,
  kDocumentPush = 74,
  kDocumentFetch = 75,
  kDocumentAnswer = 76,
  kServerLoadReport = 77,
  // Between the fabric and a balancer.
  kFabricPacket = 80,
};

/** One instance (start) of the process on a VM. Identifies balancers (owners,
 * witnesses, holders, peers) and backend servers. A default-constructed value
 * means none. */
struct VmInstance {
  VmId vm;
  Incarnation incarnation;  ///< Number of the instance.

  auto operator<=>(const VmInstance&) const = default;
  MSGPACK_DEFINE_ARRAY(vm.value, incarnation.value)
};

/** The addresses on the path between a caller and a balancer; answers to the
 * caller take the same path back. */
struct CallerPath {
  Endpoint caller;   ///< Address of the caller.
  Endpoint service;  ///< Service address that the caller sent to.
  Endpoint fabric;   ///< Fabric address that forwarded the packet.

  auto operator<=>(const CallerPath&) const = default;
  MSGPACK_DEFINE_ARRAY(caller, service, fabric)
};

/** A packet between a caller and a balancer, wrapped by the fabric or for it.
 */
struct FabricPacket {
  static constexpr MessageType kType = MessageType::kFabricPacket;
  Endpoint caller;   ///< Address of the caller.
  Endpoint service;  ///< Service address that the caller uses.
  Blob packet;       ///< The wrapped datagram.

  bool operator==(const FabricPacket&) const = default;
  MSGPACK_DEFINE_ARRAY(caller, service, packet)
};

}  // namespace cuminvane

#endif  // CUMINVANE_MESSAGE_MESSAGE_TYPE_H_
