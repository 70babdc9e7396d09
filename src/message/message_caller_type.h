/** @file message_caller_type.h Messages between callers and balancers. */

#ifndef CUMINVANE_MESSAGE_MESSAGE_CALLER_TYPE_H_
#define CUMINVANE_MESSAGE_MESSAGE_CALLER_TYPE_H_

#include "message/message_type.h"

namespace cuminvane {

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

}  // namespace cuminvane

#endif  // CUMINVANE_MESSAGE_MESSAGE_CALLER_TYPE_H_
