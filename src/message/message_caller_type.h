/** @file message_caller_type.h Messages between callers and balancers. */

#ifndef CUMINVANE_MESSAGE_MESSAGE_CALLER_TYPE_H_
#define CUMINVANE_MESSAGE_MESSAGE_CALLER_TYPE_H_

#include "message/message_type.h"

namespace cuminvane {

/** A caller asks for a flow; runs no work. */
struct FlowOpen {
  static constexpr MessageType kType = MessageType::kFlowOpen;
  uint64_t nonce = 0;  ///< Matches the answer to the question.
  Blob padding;        ///< Ignored; see kFlowOpenPaddingBytes.

  bool operator==(const FlowOpen&) const = default;
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
struct MissingPartsQuery {
  static constexpr MessageType kType = MessageType::kMissingPartsQuery;
  FlowId flow;
  Blob token;
  RequestNumber number;
  RunId run;  ///< None where no part has come yet.
  VmInstance holder;
  std::vector<uint32_t> missing;

  bool operator==(const MissingPartsQuery&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value,
                       token,
                       number.value,
                       run.value,
                       holder,
                       missing)
};

/** A caller has the whole answer; its stored parts may go. */
struct AnswerReceived {
  static constexpr MessageType kType = MessageType::kAnswerReceived;
  FlowId flow;
  Blob token;
  RequestNumber number;
  VmInstance holder;

  bool operator==(const AnswerReceived&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, token, number.value, holder)
};

/** A caller gives a request up. */
struct CancelRequest {
  static constexpr MessageType kType = MessageType::kCancelRequest;
  FlowId flow;
  Blob token;
  RequestNumber number;
  VmInstance holder;

  bool operator==(const CancelRequest&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, token, number.value, holder)
};

/** A caller whose owner is lost asks for another; numbers up to `highest` stay
 * with the lost one. */
struct FlowReopen {
  static constexpr MessageType kType = MessageType::kFlowReopen;
  FlowId flow;
  Blob token;
  uint64_t nonce = 0;
  RequestNumber highest;  ///< Highest number sent so far in this flow.
  Blob padding;           ///< Ignored; see kFlowOpenPaddingBytes.
  bool keepalive =
      false;  ///< The flow is idle; it changes hands only if it must.

  bool operator==(const FlowReopen&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value,
                       token,
                       nonce,
                       highest.value,
                       padding,
                       keepalive)
};

/** A flow is open, or has another owner. */
struct FlowOpened {
  static constexpr MessageType kType = MessageType::kFlowOpened;
  uint64_t nonce = 0;
  FlowId flow;
  Blob token;
  int64_t server_time_us = 0;  ///< Microseconds since the epoch.
  uint16_t code = 0;    ///< A ResultCode; the flow is open only with kOk.
  RequestNumber fence;  ///< As in the token: the next number must be above it.

  bool operator==(const FlowOpened&) const = default;
  MSGPACK_DEFINE_ARRAY(nonce,
                       flow.value,
                       token,
                       server_time_us,
                       code,
                       fence.value)
};

/** One numbered part of an answer; parts of different runs never mix. */
struct AnswerPart {
  static constexpr MessageType kType = MessageType::kAnswerPart;
  FlowId flow;
  RequestNumber number;
  RunId run;
  VmInstance holder;
  uint32_t index = 0;  ///< Counts from 0.
  uint32_t count = 0;
  Blob payload;

  bool operator==(const AnswerPart&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value,
                       number.value,
                       run.value,
                       holder,
                       index,
                       count,
                       payload)
};

/** How a request ended without an answer. */
struct RequestOutcome {
  static constexpr MessageType kType = MessageType::kRequestOutcome;
  FlowId flow;
  RequestNumber number;
  uint16_t code = 0;  ///< A ResultCode.
  Blob token;         ///< For kMoved: the token to use from now on; else empty.
  RequestNumber fence;  ///< For kMoved: as in the token.

  bool operator==(const RequestOutcome&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, code, token, fence.value)
};

/** The request is recorded at `holder`; no further attempt is needed. */
struct RequestRecorded {
  static constexpr MessageType kType = MessageType::kRequestRecorded;
  FlowId flow;
  RequestNumber number;
  VmInstance holder;

  bool operator==(const RequestRecorded&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, holder)
};

/** A caller follows a feed, or goes on following it. */
struct FeedFollow {
  static constexpr MessageType kType = MessageType::kFeedFollow;
  FlowId flow;
  Blob token;
  RequestNumber number;  ///< Of the feed inside the flow.
  int64_t position = 0;  ///< Last event in hand; 0: from now on.
  uint32_t attempt = 0;  ///< Renewals in a row that were not answered.
  Blob topic;

  bool operator==(const FeedFollow&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value,
                       token,
                       number.value,
                       position,
                       attempt,
                       topic)
};

/** A caller stops following a feed. */
struct FeedUnfollow {
  static constexpr MessageType kType = MessageType::kFeedUnfollow;
  FlowId flow;
  Blob token;
  RequestNumber number;

  bool operator==(const FeedUnfollow&) const = default;
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
struct FeedFollowed {
  static constexpr MessageType kType = MessageType::kFeedFollowed;
  FlowId flow;
  RequestNumber number;

  bool operator==(const FeedFollowed&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value)
};

}  // namespace cuminvane

#endif  // CUMINVANE_MESSAGE_MESSAGE_CALLER_TYPE_H_
