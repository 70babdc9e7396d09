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
inline constexpr size_t kDatagramLimit = 8192;
/** Bytes an open message is padded to, so that its answer is never larger. */
inline constexpr size_t kOpenPadding = 224;

/** Opaque bytes inside a datagram; refers to the datagram, which must outlive
 * it. */
using Blob = msgpack::type::raw_ref;

/** @return The bytes as a blob; the text must outlive it. */
inline Blob MakeBlob(std::string_view text) {
  return {text.data(), static_cast<uint32_t>(text.size())};
}

/** @return The blob's bytes. */
inline std::string_view View(const Blob& blob) {
  return {blob.ptr, blob.size};
}

/** Kind of a message; numbers never change meaning. */
enum class MessageType : uint8_t {
  // Caller to balancer.
  kOpen = 1,
  kRequest = 2,
  kNeedParts = 3,
  kDone = 4,
  kCancel = 5,
  kReopen = 6,
  kFollow = 7,
  kUnfollow = 8,
  // Balancer to caller.
  kOpened = 16,
  kPart = 17,
  kVerdict = 18,
  kReceipt = 19,
  kFeedEvent = 20,
  kFollowing = 21,
  // Balancer to backend server.
  kRun = 32,
  kCancelRun = 33,
  kNeedRunParts = 34,
  kRunDone = 35,
  kSubscribe = 36,
  kUnsubscribe = 37,
  // Backend server to balancer.
  kAccepted = 48,
  kRunPart = 49,
  kRefused = 50,
  kCancelReply = 51,
  kRunLost = 52,
  kPublishedEvent = 53,
  kSubscribed = 54,
  // Between balancers.
  kPing = 64,
  kAck = 65,
  kPingRequest = 66,
  kRelay = 67,
  kDocumentDelta = 68,
  kDocumentPull = 69,
  kDocumentChunk = 70,
  kIntent = 71,
  kIntentReply = 72,
  kReachNews = 73,
  // Between the fabric and a balancer.
  kFabricPacket = 80,
};

/** Which balancer holds a request's record, so that a caller can be sent back
 * to it. */
struct Holder {
  VmId vm;
  Incarnation incarnation;

  auto operator<=>(const Holder&) const = default;
  MSGPACK_DEFINE_ARRAY(vm.value, incarnation.value)
};

/** A caller asks for a flow; runs no work. */
struct Open {
  static constexpr MessageType kType = MessageType::kOpen;
  uint64_t nonce = 0;  ///< Matches the answer to the question.
  Blob padding;        ///< Ignored; see kOpenPadding.

  bool operator==(const Open&) const = default;
  MSGPACK_DEFINE_ARRAY(nonce, padding)
};

/** A caller's request inside a flow. */
struct Request {
  static constexpr MessageType kType = MessageType::kRequest;
  FlowId flow;
  Blob token;
  RequestNumber number;
  ClassId work_class;
  int64_t deadline =
      0;  ///< Microseconds since the epoch; the same in every attempt.
  uint32_t attempt = 0;  ///< Counts from 0.
  Blob payload;

  bool operator==(const Request&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value,
                       token,
                       number.value,
                       work_class.value,
                       deadline,
                       attempt,
                       payload)
};

/** A caller asks for parts it lacks; an empty list asks how the request stands.
 */
struct NeedParts {
  static constexpr MessageType kType = MessageType::kNeedParts;
  FlowId flow;
  Blob token;
  RequestNumber number;
  RunId run;  ///< None where no part has come yet.
  Holder holder;
  std::vector<uint32_t> missing;

  bool operator==(const NeedParts&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value,
                       token,
                       number.value,
                       run.value,
                       holder,
                       missing)
};

/** A caller has the whole answer; its stored parts may go. */
struct Done {
  static constexpr MessageType kType = MessageType::kDone;
  FlowId flow;
  Blob token;
  RequestNumber number;
  Holder holder;

  bool operator==(const Done&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, token, number.value, holder)
};

/** A caller gives a request up. */
struct Cancel {
  static constexpr MessageType kType = MessageType::kCancel;
  FlowId flow;
  Blob token;
  RequestNumber number;
  Holder holder;

  bool operator==(const Cancel&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, token, number.value, holder)
};

/** A caller whose owner is lost asks for another; numbers up to `highest` stay
 * with the lost one. */
struct Reopen {
  static constexpr MessageType kType = MessageType::kReopen;
  FlowId flow;
  Blob token;
  uint64_t nonce = 0;
  RequestNumber highest;  ///< Highest number sent so far in this flow.
  Blob padding;           ///< Ignored; see kOpenPadding.
  bool keepalive =
      false;  ///< The flow is idle; it changes hands only if it must.

  bool operator==(const Reopen&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value,
                       token,
                       nonce,
                       highest.value,
                       padding,
                       keepalive)
};

/** A flow is open, or has another owner. */
struct Opened {
  static constexpr MessageType kType = MessageType::kOpened;
  uint64_t nonce = 0;
  FlowId flow;
  Blob token;
  int64_t server_time = 0;  ///< Microseconds since the epoch.
  uint16_t code = 0;        ///< A ResultCode; the flow is open only with kOk.
  RequestNumber fence;  ///< As in the token: the next number must be above it.

  bool operator==(const Opened&) const = default;
  MSGPACK_DEFINE_ARRAY(nonce, flow.value, token, server_time, code, fence.value)
};

/** One numbered part of an answer; parts of different runs never mix. */
struct Part {
  static constexpr MessageType kType = MessageType::kPart;
  FlowId flow;
  RequestNumber number;
  RunId run;
  Holder holder;
  uint32_t index = 0;  ///< Counts from 0.
  uint32_t count = 0;
  Blob payload;

  bool operator==(const Part&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value,
                       number.value,
                       run.value,
                       holder,
                       index,
                       count,
                       payload)
};

/** How a request ended without an answer. */
struct Verdict {
  static constexpr MessageType kType = MessageType::kVerdict;
  FlowId flow;
  RequestNumber number;
  uint16_t code = 0;  ///< A ResultCode.
  Blob token;         ///< For kMoved: the token to use from now on; else empty.
  RequestNumber fence;  ///< For kMoved: as in the token.

  bool operator==(const Verdict&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, code, token, fence.value)
};

/** The request is recorded at `holder`; no further attempt is needed. */
struct Receipt {
  static constexpr MessageType kType = MessageType::kReceipt;
  FlowId flow;
  RequestNumber number;
  Holder holder;

  bool operator==(const Receipt&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, holder)
};

/** How busy a backend server says it is. */
struct LoadReport {
  uint32_t slots = 0;
  uint32_t busy = 0;
  uint32_t queued = 0;
  bool draining = false;
  Incarnation incarnation;  ///< Of the backend server that speaks.

  bool operator==(const LoadReport&) const = default;
  MSGPACK_DEFINE_ARRAY(slots, busy, queued, draining, incarnation.value)
};

/** A balancer has a backend server run a request; a run id is run at most once.
 */
struct Run {
  static constexpr MessageType kType = MessageType::kRun;
  RunId run;
  Incarnation incarnation;  ///< Of the backend server that is meant.
  FlowId flow;
  RequestNumber number;
  ClassId work_class;
  int64_t deadline =
      0;  ///< Not started after it; microseconds since the epoch.
  Blob payload;

  bool operator==(const Run&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value,
                       incarnation.value,
                       flow.value,
                       number.value,
                       work_class.value,
                       deadline,
                       payload)
};

/** A balancer withdraws a run; one that has not started never starts, even if
 * it arrives later. */
struct CancelRun {
  static constexpr MessageType kType = MessageType::kCancelRun;
  RunId run;
  Incarnation incarnation;  ///< Of the backend server the run was sent to.
  int64_t deadline =
      0;  ///< Of the run; until then the withdrawal is remembered.

  bool operator==(const CancelRun&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, incarnation.value, deadline)
};

/** A balancer asks for parts of an answer again; an empty list asks how the run
 * stands. */
struct NeedRunParts {
  static constexpr MessageType kType = MessageType::kNeedRunParts;
  RunId run;
  Incarnation incarnation;  ///< Of the backend server the run was sent to.
  std::vector<uint32_t> missing;

  bool operator==(const NeedRunParts&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, incarnation.value, missing)
};

/** A balancer has the whole answer of a run. */
struct RunDone {
  static constexpr MessageType kType = MessageType::kRunDone;
  RunId run;

  bool operator==(const RunDone&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value)
};

/** A backend server has taken a run. */
struct Accepted {
  static constexpr MessageType kType = MessageType::kAccepted;
  RunId run;
  LoadReport load;

  bool operator==(const Accepted&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, load)
};

/** One part of a run's answer. */
struct RunPart {
  static constexpr MessageType kType = MessageType::kRunPart;
  RunId run;
  uint32_t index = 0;
  uint32_t count = 0;
  LoadReport load;
  Blob payload;

  bool operator==(const RunPart&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, index, count, load, payload)
};

/** A backend server did not and will not run a run. */
struct Refused {
  static constexpr MessageType kType = MessageType::kRefused;
  RunId run;
  uint16_t code = 0;
  LoadReport load;

  bool operator==(const Refused&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, code, load)
};

/** Answer to CancelRun. */
struct CancelReply {
  static constexpr MessageType kType = MessageType::kCancelReply;
  RunId run;
  bool started = false;  ///< False: it never started and never will.
  LoadReport load;

  bool operator==(const CancelReply&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, started, load)
};

/** A backend server knows nothing of a run: it was sent to an earlier
 * incarnation, or is long over. */
struct RunLost {
  static constexpr MessageType kType = MessageType::kRunLost;
  RunId run;
  LoadReport load;

  bool operator==(const RunLost&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, load)
};

/** The way a caller's packet came, and its answer goes back. */
struct CallerPath {
  Endpoint caller;
  Endpoint service;
  Endpoint fabric;

  auto operator<=>(const CallerPath&) const = default;
  MSGPACK_DEFINE_ARRAY(caller, service, fabric)
};

/** A caller follows a feed, or goes on following it. */
struct Follow {
  static constexpr MessageType kType = MessageType::kFollow;
  FlowId flow;
  Blob token;
  RequestNumber number;  ///< Of the feed inside the flow.
  int64_t position = 0;  ///< Last event in hand; 0: from now on.
  uint32_t attempt = 0;  ///< Renewals in a row that were not answered.
  Blob topic;

  bool operator==(const Follow&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value,
                       token,
                       number.value,
                       position,
                       attempt,
                       topic)
};

/** A caller stops following a feed. */
struct Unfollow {
  static constexpr MessageType kType = MessageType::kUnfollow;
  FlowId flow;
  Blob token;
  RequestNumber number;

  bool operator==(const Unfollow&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, token, number.value)
};

/** One event of a feed, on its way to a caller. */
struct FeedEvent {
  static constexpr MessageType kType = MessageType::kFeedEvent;
  FlowId flow;
  RequestNumber number;
  int64_t position = 0;  ///< Time of the event, microseconds since the epoch;
                         ///< the same at every backend server.
  int64_t previous = 0;  ///< Position of the event before it; shows a gap.
  Blob payload;

  bool operator==(const FeedEvent&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, position, previous, payload)
};

/** A feed is being followed. */
struct Following {
  static constexpr MessageType kType = MessageType::kFollowing;
  FlowId flow;
  RequestNumber number;

  bool operator==(const Following&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value)
};

/** A balancer has a backend server push a feed to it, until the lease ends or
 * another balancer renews it. */
struct Subscribe {
  static constexpr MessageType kType = MessageType::kSubscribe;
  CallerPath path;  ///< Comes back with every event, so that the balancer need
                    ///< not remember it.
  FlowId flow;
  RequestNumber number;
  int64_t position = 0;
  int64_t lease_until = 0;  ///< Microseconds since the epoch.
  Blob topic;

  bool operator==(const Subscribe&) const = default;
  MSGPACK_DEFINE_ARRAY(path,
                       flow.value,
                       number.value,
                       position,
                       lease_until,
                       topic)
};

/** A balancer ends a subscription. */
struct Unsubscribe {
  static constexpr MessageType kType = MessageType::kUnsubscribe;
  FlowId flow;
  RequestNumber number;

  bool operator==(const Unsubscribe&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value)
};

/** A backend server pushes one event. */
struct PublishedEvent {
  static constexpr MessageType kType = MessageType::kPublishedEvent;
  CallerPath path;
  FlowId flow;
  RequestNumber number;
  int64_t position = 0;
  int64_t previous = 0;
  Blob payload;

  bool operator==(const PublishedEvent&) const = default;
  MSGPACK_DEFINE_ARRAY(path,
                       flow.value,
                       number.value,
                       position,
                       previous,
                       payload)
};

/** A backend server has taken or renewed a subscription. */
struct Subscribed {
  static constexpr MessageType kType = MessageType::kSubscribed;
  CallerPath path;
  FlowId flow;
  RequestNumber number;

  bool operator==(const Subscribed&) const = default;
  MSGPACK_DEFINE_ARRAY(path, flow.value, number.value)
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

/** An owner tells its witness that it is about to dispatch a request; small,
 * since each such request costs one. */
struct Intent {
  static constexpr MessageType kType = MessageType::kIntent;
  FlowId flow;
  RequestNumber number;
  Holder owner;
  uint32_t left_ms =
      0;  ///< Time left until the request's deadline, rounded up.

  bool operator==(const Intent&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, owner, left_ms)
};

/**
 * A witness answers an intent. A number has one witness only, so its VM need
 * not be named; but a later start of it does not know what the one before it
 * closed, and must not speak for it.
 */
struct IntentReply {
  static constexpr MessageType kType = MessageType::kIntentReply;
  FlowId flow;
  RequestNumber number;
  bool granted = false;     ///< False: the owner is closed for the flow.
  Incarnation incarnation;  ///< Of the witness that speaks.

  bool operator==(const IntentReply&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, granted, incarnation.value)
};

/** A caller's packet handed from one balancer to another. */
struct Relay {
  static constexpr MessageType kType = MessageType::kRelay;
  Endpoint caller;
  Endpoint service;
  Endpoint fabric;  ///< Where answers go out.
  Blob packet;
  uint8_t hops = 0;  ///< Relays so far, this one included.

  bool operator==(const Relay&) const = default;
  MSGPACK_DEFINE_ARRAY(caller, service, fabric, packet, hops)
};

}  // namespace cuminvane

#endif  // CUMINVANE_MESSAGE_MESSAGE_TYPE_H_
