/** @file message_caller_type.h Messages between callers and balancers. */

#ifndef CUMINVANE_MESSAGE_MESSAGE_CALLER_TYPE_H_
#define CUMINVANE_MESSAGE_MESSAGE_CALLER_TYPE_H_

#include "message/message_type.h"

namespace cuminvane {

/** A caller opens a flow. The message carries no work. */
struct FlowOpen {
  static constexpr MessageType kType = MessageType::kFlowOpen;
  uint64_t nonce = 0;  ///< Random number that FlowOpened returns, so that the
                       ///< caller can match the answer.
  Blob padding;        ///< Filler; see kFlowOpenPaddingBytes.

  bool operator==(const FlowOpen&) const = default;
  MSGPACK_DEFINE_ARRAY(nonce, padding)
};

/** A caller sends or retransmits a request inside a flow. */
struct Request {
  static constexpr MessageType kType = MessageType::kRequest;
  FlowId flow;
  Blob token;            ///< The flow's token.
  RequestNumber number;  ///< Number of the request inside the flow.
  ClassId work_class;
  int64_t deadline = 0;  ///< Deadline by the balancers' clock, in microseconds
                         ///< since the Unix epoch; equal in all attempts.
  uint32_t attempt = 0;  ///< 0 for the first transmission, then counts up.
  Blob payload;          ///< Content for the backend server.

  bool operator==(const Request&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value,
                       token,
                       number.value,
                       work_class.value,
                       deadline,
                       attempt,
                       payload)
};

/** A caller asks for the retransmission of parts of an answer, or for the state
 * of a request. */
struct MissingPartsQuery {
  static constexpr MessageType kType = MessageType::kMissingPartsQuery;
  FlowId flow;
  Blob token;
  RequestNumber number;
  RunId
      run;  ///< The run that the parts belong to; 0 if no part has arrived yet.
  VmInstance holder;  ///< Balancer that holds the request's record.
  std::vector<uint32_t>
      missing;  ///< Indexes of the parts to retransmit, from 0. Empty
                ///< to ask for the state of the request.

  bool operator==(const MissingPartsQuery&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value,
                       token,
                       number.value,
                       run.value,
                       holder,
                       missing)
};

/** A caller has received the whole answer; the holder may delete the stored
 * parts. */
struct AnswerReceived {
  static constexpr MessageType kType = MessageType::kAnswerReceived;
  FlowId flow;
  Blob token;
  RequestNumber number;
  VmInstance holder;  ///< Balancer that holds the request's record.

  bool operator==(const AnswerReceived&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, token, number.value, holder)
};

/** A caller cancels a request. */
struct CancelRequest {
  static constexpr MessageType kType = MessageType::kCancelRequest;
  FlowId flow;
  Blob token;
  RequestNumber number;
  VmInstance holder;  ///< Balancer that holds the request's record.

  bool operator==(const CancelRequest&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, token, number.value, holder)
};

/** A caller reopens a flow whose owner is lost and asks for a new owner. Also
 * serves as the keepalive of an idle flow. */
struct FlowReopen {
  static constexpr MessageType kType = MessageType::kFlowReopen;
  FlowId flow;
  Blob token;
  uint64_t nonce = 0;            ///< Random number that FlowOpened returns.
  RequestNumber highest_number;  ///< Highest request number sent in this flow.
                                 ///< Numbers up to it stay with the lost owner.
  Blob padding;                  ///< Filler; see kFlowOpenPaddingBytes.
  bool keepalive = false;  ///< The flow is idle; it gets a new owner only if
                           ///< its present owner is lost or stopping.

  bool operator==(const FlowReopen&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value,
                       token,
                       nonce,
                       highest_number.value,
                       padding,
                       keepalive)
};

/** A balancer answers FlowOpen or FlowReopen. */
struct FlowOpened {
  static constexpr MessageType kType = MessageType::kFlowOpened;
  uint64_t nonce = 0;  ///< Nonce of the answered message.
  FlowId flow;
  Blob token;  ///< The token to use from now on. Empty after a keepalive if the
               ///< flow keeps its owner.
  int64_t server_time_us = 0;  ///< The balancer's clock, in microseconds since
                               ///< the Unix epoch.
  uint16_t code = 0;           ///< ResultCode; the flow is open only with kOk.
  RequestNumber fence;  ///< The token's fence: new requests must have higher
                        ///< numbers.

  bool operator==(const FlowOpened&) const = default;
  MSGPACK_DEFINE_ARRAY(nonce,
                       flow.value,
                       token,
                       server_time_us,
                       code,
                       fence.value)
};

/** One numbered part of an answer, from balancer to caller. An answer is only
 * assembled from parts of one run. */
struct AnswerPart {
  static constexpr MessageType kType = MessageType::kAnswerPart;
  FlowId flow;
  RequestNumber number;
  RunId run;           ///< The run that produced the answer.
  VmInstance holder;   ///< Balancer that holds the request's record.
  uint32_t index = 0;  ///< Index of this part, from 0.
  uint32_t count = 0;  ///< Number of parts in the answer.
  Blob payload;        ///< Bytes of this part.

  bool operator==(const AnswerPart&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value,
                       number.value,
                       run.value,
                       holder,
                       index,
                       count,
                       payload)
};

/** A balancer reports the outcome of a request that has no answer. */
struct RequestOutcome {
  static constexpr MessageType kType = MessageType::kRequestOutcome;
  FlowId flow;
  RequestNumber number;
  uint16_t code = 0;    ///< ResultCode.
  Blob token;           ///< With kMoved the token to use from now on, otherwise
                        ///< empty.
  RequestNumber fence;  ///< With kMoved the fence of the new token.

  bool operator==(const RequestOutcome&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, code, token, fence.value)
};

/** A balancer acknowledges a request. The caller need not retransmit it. */
struct RequestRecorded {
  static constexpr MessageType kType = MessageType::kRequestRecorded;
  FlowId flow;
  RequestNumber number;
  VmInstance holder;  ///< Balancer that holds the request's record.

  bool operator==(const RequestRecorded&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, holder)
};

/** A caller starts to follow a feed, or renews it. */
struct FeedFollow {
  static constexpr MessageType kType = MessageType::kFeedFollow;
  FlowId flow;
  Blob token;
  RequestNumber number;  ///< Number of the feed inside the flow.
  int64_t position = 0;  ///< Position of the last event that the caller has, 0
                         ///< for events from now on.
  uint32_t attempt =
      0;  ///< Number of consecutive unanswered renewals before this message.
  Blob topic;  ///< Topic of the feed.

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
  RequestNumber number;  ///< Number of the feed inside the flow.

  bool operator==(const FeedUnfollow&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, token, number.value)
};

/** A balancer forwards one event of a feed to its caller. */
struct FeedEvent {
  static constexpr MessageType kType = MessageType::kFeedEvent;
  FlowId flow;
  RequestNumber number;  ///< Number of the feed inside the flow.
  int64_t position = 0;  ///< Time of the event, in microseconds since the Unix
                         ///< epoch; equal at all backend servers.
  int64_t previous = 0;  ///< Position of the preceding event, so that the
                         ///< caller detects gaps.
  Blob payload;          ///< Content of the event.

  bool operator==(const FeedEvent&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value, position, previous, payload)
};

/** A balancer confirms that a feed is being followed or has been renewed. */
struct FeedFollowed {
  static constexpr MessageType kType = MessageType::kFeedFollowed;
  FlowId flow;
  RequestNumber number;  ///< Number of the feed inside the flow.

  bool operator==(const FeedFollowed&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value)
};

}  // namespace cuminvane

#endif  // CUMINVANE_MESSAGE_MESSAGE_CALLER_TYPE_H_
