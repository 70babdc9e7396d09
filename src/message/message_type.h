/** @file message_type.h Every message that processes exchange by datagram;
 * fields are only ever appended. */

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

/** Version of the envelope that this process speaks. */
inline constexpr uint16_t kProtocolVersion = 1;
/** Largest datagram accepted or sent, in bytes. */
inline constexpr size_t kMaxDatagramBytes = 8192;
/** Bytes an open message is padded to, so that its answer is never larger. */
inline constexpr size_t kFlowOpenPaddingBytes = 224;

/** Opaque bytes inside a datagram; refers to the datagram, which must outlive
 * it. */
using Blob = msgpack::type::raw_ref;

/** @return The bytes as a blob; the text must outlive it. */
inline Blob MakeBlob(std::string_view text) {
  return {text.data(), static_cast<uint32_t>(text.size())};
}

/** @return The blob's bytes. */
inline std::string_view AsStringView(const Blob& blob) {
  return {blob.ptr, blob.size};
}

/** Kind of a message; numbers never change meaning. */
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
  kDocumentDelta = 68,
  kDocumentPull = 69,
  kDocumentChunk = 70,
  kDispatchIntent = 71,
  kDispatchIntentReply = 72,
  kReachabilityUpdate = 73,
  // Between the fabric and a balancer.
  kFabricPacket = 80,
};

/** Which balancer holds a request's record, so that a caller can be sent back
 * to it. */
struct VmInstance {
  VmId vm;
  Incarnation incarnation;

  auto operator<=>(const VmInstance&) const = default;
  MSGPACK_DEFINE_ARRAY(vm.value, incarnation.value)
};

/** The way a caller's packet came, and its answer goes back. */
struct CallerPath {
  Endpoint caller;
  Endpoint service;
  Endpoint fabric;

  auto operator<=>(const CallerPath&) const = default;
  MSGPACK_DEFINE_ARRAY(caller, service, fabric)
};

/** A caller's packet on its way between fabric and balancer. */
struct FabricPacket {
  static constexpr MessageType kType = MessageType::kFabricPacket;
  Endpoint caller;
  Endpoint service;  ///< Address that the caller uses.
  Blob packet;

  bool operator==(const FabricPacket&) const = default;
  MSGPACK_DEFINE_ARRAY(caller, service, packet)
};

}  // namespace cuminvane

#endif  // CUMINVANE_MESSAGE_MESSAGE_TYPE_H_
