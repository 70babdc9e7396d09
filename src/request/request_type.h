/** @file request_type.h What a balancer remembers of one request. */

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

/** How far a request has come. */
enum class RequestState : uint8_t {
  kAwaitingWitness,  ///< The witness was told; not sent yet.
  kSent,  ///< Sent to a backend server that has not said yet that it has it.
  kAccepted,     ///< A backend server has it.
  kWithdrawing,  ///< Cancellation asked for; whether it started is not known
                 ///< yet.
  kAnswered,     ///< The whole answer is here, or was delivered.
  kNotRun,       ///< Not run, and it never will be.
  kUnknown,      ///< May have been run; never sent again.
};

/** @return Whether the state can still change. */
constexpr bool IsOpen(RequestState state) {
  return state == RequestState::kAwaitingWitness ||
         state == RequestState::kSent || state == RequestState::kAccepted ||
         state == RequestState::kWithdrawing;
}

/** The record of one request; it outlives the request's deadline, so that no
 * late duplicate is run. */
struct RequestRecord {
  RequestNumber number;
  ClassId work_class;
  bool idempotent = false;
  uint64_t fingerprint = 0;  ///< Of class, deadline and payload; tells a repeat
                             ///< from a number used twice.
  TimePoint arrived_at;
  TimePoint deadline;
  TimePoint expires_at;  ///< After the deadline; from then on a duplicate is
                         ///< refused by its deadline alone.
  TimePoint next_timer_at = kNever;  ///< When to look at it again.
  RequestState state = RequestState::kSent;
  ResultCode code = ResultCode::kPending;
  bool cancelled = false;  ///< The caller has given it up.
  bool delivered = false;  ///< The caller has the whole answer.
  RunId run;
  VmId backend;
  Incarnation backend_incarnation;
  int intents_sent = 0;  ///< Times the witness was told.
  int dispatches = 0;
  int unanswered_polls = 0;  ///< Questions the backend server did not answer.
  CallerPath path;
  FlowToken token;
  std::string payload;  ///< Kept while it may have to be sent again.
  std::vector<std::string>
      parts;                   ///< Of the answer; empty strings are missing.
  std::vector<bool> has_part;  ///< Which parts are here.
  size_t parts_received = 0;   ///< Number of parts here.
  size_t answer_bytes = 0;

  bool operator==(const RequestRecord&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_REQUEST_TYPE_H_
