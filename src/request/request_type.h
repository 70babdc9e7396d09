/** @file request_type.h State that a balancer retains for one request. */

#ifndef CUMINVANE_REQUEST_REQUEST_TYPE_H_
#define CUMINVANE_REQUEST_REQUEST_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/result_type.h"
#include "base/time_type.h"
#include "message/message_type.h"
#include "request/token_type.h"

namespace cuminvane {

/** Progress of a request. */
enum class RequestState : uint8_t {
  kAwaitingWitness,  ///< Not dispatched; waits for the witness to reply to
                     ///< the DispatchIntent.
  kSent,             ///< Run sent to a backend server; not acknowledged yet.
  kAccepted,         ///< Run acknowledged by a backend server.
  kWithdrawing,  ///< Withdrawal of the run requested; the backend server has
                 ///< not replied yet whether the run had started.
  kAnswered,     ///< Whole answer received; its parts are dropped on delivery.
  kNotRun,       ///< Ended; the request was not run and never will be.
  kUnknown,      ///< Ended; the request may have been run and is never
                 ///< sent again.
};

/** @return Whether a request in this state has not ended. */
constexpr bool IsOpen(RequestState state) {
  return state == RequestState::kAwaitingWitness ||
         state == RequestState::kSent || state == RequestState::kAccepted ||
         state == RequestState::kWithdrawing;
}

/** Record of one request. It is retained until after the request's deadline, so
 * that no late duplicate is run, unless it is evicted from a full window. */
struct RequestRecord {
  RequestNumber number;     ///< Number that the caller gave the request.
  ClassId work_class;       ///< Class of work that the caller named.
  bool idempotent = false;  ///< The request may safely be run more than once.
  /** Hash of class, deadline and payload; distinguishes a retransmission from
   * another request with the same number. */
  uint64_t fingerprint = 0;
  TimePoint arrived_at;  ///< When the request arrived at this balancer.
  TimePoint deadline;    ///< The request is not dispatched after this time.
  /** Time after which the record of an ended request is removed. Later than the
   * deadline, so that a duplicate that arrives after the removal is refused
   * because its deadline has passed. */
  TimePoint expires_at;
  /** Next expiry of the record's timer, which triggers the retransmission, poll
   * or deadline of an open request, or the removal of an ended request. */
  TimePoint next_timer_at = kNever;
  RequestState state = RequestState::kSent;
  /** Final result code; kPending while the request is open. */
  ResultCode code = ResultCode::kPending;
  bool cancelled = false;  ///< The caller has cancelled the request.
  bool delivered = false;  ///< The caller has acknowledged the whole answer.
  RunId run;               ///< Current run; 0 before the first dispatch.
  VmId backend;            ///< Backend server of the current run.
  /** Incarnation of `backend` that the current run was sent to. */
  Incarnation backend_incarnation;
  int intents_sent = 0;      ///< Transmissions of the intent to the witness.
  int dispatches = 0;        ///< Runs sent so far.
  int unanswered_polls = 0;  ///< Status queries sent since the backend
                             ///< server's last message about the run.
  CallerPath path;      ///< Route back to the caller; updated by its packets.
  FlowToken token;      ///< Token that the request arrived with.
  std::string payload;  ///< Empty once the request can't be dispatched again.
  /** Parts of the answer by index; a part that has not been received is empty.
   */
  std::vector<std::string> parts;
  /** Whether each part has been received; has the same size as `parts`. */
  std::vector<bool> has_part;
  size_t parts_received = 0;  ///< Number of parts received so far.
  size_t answer_bytes = 0;    ///< Total size of the received parts in bytes.

  bool operator==(const RequestRecord&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_REQUEST_TYPE_H_
