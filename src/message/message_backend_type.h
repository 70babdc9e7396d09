/** @file message_backend_type.h Messages between balancers and backend servers.
 */

#ifndef CUMINVANE_MESSAGE_MESSAGE_BACKEND_TYPE_H_
#define CUMINVANE_MESSAGE_MESSAGE_BACKEND_TYPE_H_

#include "message/message_type.h"

namespace cuminvane {

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
struct StartRun {
  static constexpr MessageType kType = MessageType::kStartRun;
  RunId run;
  Incarnation incarnation;  ///< Of the backend server that is meant.
  FlowId flow;
  RequestNumber number;
  ClassId work_class;
  int64_t deadline =
      0;  ///< Not started after it; microseconds since the epoch.
  Blob payload;

  bool operator==(const StartRun&) const = default;
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
struct MissingRunPartsQuery {
  static constexpr MessageType kType = MessageType::kMissingRunPartsQuery;
  RunId run;
  Incarnation incarnation;  ///< Of the backend server the run was sent to.
  std::vector<uint32_t> missing;

  bool operator==(const MissingRunPartsQuery&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, incarnation.value, missing)
};

/** A balancer has the whole answer of a run. */
struct RunAnswerReceived {
  static constexpr MessageType kType = MessageType::kRunAnswerReceived;
  RunId run;

  bool operator==(const RunAnswerReceived&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value)
};

/** A backend server has taken a run. */
struct RunAccepted {
  static constexpr MessageType kType = MessageType::kRunAccepted;
  RunId run;
  LoadReport load;

  bool operator==(const RunAccepted&) const = default;
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
struct RunRefused {
  static constexpr MessageType kType = MessageType::kRunRefused;
  RunId run;
  uint16_t code = 0;
  LoadReport load;

  bool operator==(const RunRefused&) const = default;
  MSGPACK_DEFINE_ARRAY(run.value, code, load)
};

/** Answer to CancelRun. */
struct CancelRunReply {
  static constexpr MessageType kType = MessageType::kCancelRunReply;
  RunId run;
  bool started = false;  ///< False: it never started and never will.
  LoadReport load;

  bool operator==(const CancelRunReply&) const = default;
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

}  // namespace cuminvane

#endif  // CUMINVANE_MESSAGE_MESSAGE_BACKEND_TYPE_H_
