/** @file message_backend_type.h Messages between balancers and backend servers.
 */

#ifndef CUMINVANE_MESSAGE_MESSAGE_BACKEND_TYPE_H_
#define CUMINVANE_MESSAGE_MESSAGE_BACKEND_TYPE_H_

#include "message/message_type.h"

namespace cuminvane {

/** The load that a backend server reports with each of its messages. */
struct LoadReport {
  uint32_t slots =
      0;              ///< Number of requests that the server runs concurrently.
  uint32_t busy = 0;  ///< Number of slots in use.
  uint32_t queued = 0;    ///< Number of accepted requests that wait for a slot.
  bool draining = false;  ///< Whether the server takes no new work.
  Incarnation incarnation;  ///< Incarnation of the reporting server.

  bool operator==(const LoadReport&) const = default;
  MSGPACK_DEFINE_ARRAY(slots, busy, queued, draining, incarnation.value)
};

/** A balancer dispatches a request to a backend server. A backend server
 * executes each run id at most once, also if the message arrives twice. */
struct StartRun {
  static constexpr MessageType kType = MessageType::kStartRun;
  RunId run;
  Incarnation incarnation;  ///< Incarnation of the backend server that the
                            ///< request is meant for.
  FlowId flow;
  RequestNumber number;
  ClassId work_class;
  int64_t deadline = 0;  ///< Latest time at which the run may start, in
                         ///< microseconds since the Unix epoch.
  Blob payload;          ///< The caller's request.

  bool operator==(const StartRun&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value,
                       incarnation.value,
                       flow.value,
                       number.value,
                       work_class.value,
                       deadline,
                       payload)
};

/** A balancer withdraws a run. A run that has not started will never start,
 * even if its StartRun arrives after this message. */
struct CancelRun {
  static constexpr MessageType kType = MessageType::kCancelRun;
  RunId run;
  Incarnation incarnation;  ///< Incarnation of the backend server that the run
                            ///< was dispatched to.
  int64_t deadline = 0;     ///< Deadline of the run, in microseconds since the
                            ///< Unix epoch. The backend server keeps the
                            ///< withdrawal at least until then.

  bool operator==(const CancelRun&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, incarnation.value, deadline)
};

/** A balancer asks a backend server to retransmit parts of an answer, or asks
 * for the state of a run. */
struct MissingRunPartsQuery {
  static constexpr MessageType kType = MessageType::kMissingRunPartsQuery;
  RunId run;
  Incarnation incarnation;  ///< Incarnation of the backend server that the run
                            ///< was dispatched to.
  std::vector<uint32_t> missing;  ///< Indexes of the parts to retransmit, from
                                  ///< 0. Empty to ask for the state of the run.

  bool operator==(const MissingRunPartsQuery&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, incarnation.value, missing)
};

/** A balancer has received the whole answer of a run; the backend server may
 * delete its copy. */
struct RunAnswerReceived {
  static constexpr MessageType kType = MessageType::kRunAnswerReceived;
  RunId run;

  bool operator==(const RunAnswerReceived&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value)
};

/** A backend server has accepted a run: the run is queued or has started. */
struct RunAccepted {
  static constexpr MessageType kType = MessageType::kRunAccepted;
  RunId run;
  LoadReport load;

  bool operator==(const RunAccepted&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, load)
};

/** One numbered part of a run's answer, from backend server to balancer. */
struct RunPart {
  static constexpr MessageType kType = MessageType::kRunPart;
  RunId run;
  uint32_t index = 0;  ///< Index of this part, from 0.
  uint32_t count = 0;  ///< Number of parts in the answer.
  LoadReport load;
  Blob payload;  ///< Bytes of this part.

  bool operator==(const RunPart&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, index, count, load, payload)
};

/** A backend server has not executed a run and never will. */
struct RunRefused {
  static constexpr MessageType kType = MessageType::kRunRefused;
  RunId run;
  uint16_t code = 0;  ///< ResultCode with the reason.
  LoadReport load;

  bool operator==(const RunRefused&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, code, load)
};

/** A backend server answers a CancelRun. */
struct CancelRunReply {
  static constexpr MessageType kType = MessageType::kCancelRunReply;
  RunId run;
  bool started = false;  ///< False if the run has not started and never will.
  LoadReport load;

  bool operator==(const CancelRunReply&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, started, load)
};

/** A backend server has no record of a run, because the run was dispatched to
 * an earlier incarnation or its record has expired. */
struct RunLost {
  static constexpr MessageType kType = MessageType::kRunLost;
  RunId run;
  LoadReport load;

  bool operator==(const RunLost&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, load)
};

/** A balancer subscribes to a feed for a caller. The backend server pushes
 * events to this balancer until the lease expires or another balancer renews
 * the subscription. */
struct Subscribe {
  static constexpr MessageType kType = MessageType::kSubscribe;
  CallerPath path;  ///< Path to the caller. The backend server returns it with
                    ///< every event, so that balancers keep no feed state.
  FlowId flow;
  RequestNumber number;     ///< Number of the feed inside the flow.
  int64_t position = 0;     ///< Position of the last event that the caller has,
                            ///< 0 for events from now on.
  int64_t lease_until = 0;  ///< End of the lease, in microseconds since the
                            ///< Unix epoch.
  Blob topic;               ///< Topic to subscribe to.

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
  RequestNumber number;  ///< Number of the feed inside the flow.

  bool operator==(const Unsubscribe&) const = default;
  MSGPACK_DEFINE_ARRAY(flow.value, number.value)
};

/** A backend server pushes one feed event to the balancer that subscribed. */
struct PublishedEvent {
  static constexpr MessageType kType = MessageType::kPublishedEvent;
  CallerPath path;  ///< Path to the caller, as in Subscribe.
  FlowId flow;
  RequestNumber number;  ///< Number of the feed inside the flow.
  int64_t position = 0;  ///< Position of this event.
  int64_t previous = 0;  ///< Position of the preceding event of the feed.
  Blob payload;          ///< Content of the event.

  bool operator==(const PublishedEvent&) const = default;
  MSGPACK_DEFINE_ARRAY(path,
                       flow.value,
                       number.value,
                       position,
                       previous,
                       payload)
};

/** A backend server confirms a new or renewed subscription. */
struct Subscribed {
  static constexpr MessageType kType = MessageType::kSubscribed;
  CallerPath path;  ///< Path to the caller, as in Subscribe.
  FlowId flow;
  RequestNumber number;  ///< Number of the feed inside the flow.

  bool operator==(const Subscribed&) const = default;
  MSGPACK_DEFINE_ARRAY(path, flow.value, number.value)
};

}  // namespace cuminvane

#endif  // CUMINVANE_MESSAGE_MESSAGE_BACKEND_TYPE_H_
