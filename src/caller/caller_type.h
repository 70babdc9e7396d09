/** @file caller_type.h Handles, events and datagrams of a caller. */

#ifndef CUMINVANE_CALLER_CALLER_TYPE_H_
#define CUMINVANE_CALLER_CALLER_TYPE_H_

#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/result_type.h"
#include "base/time_type.h"

namespace cuminvane {

/** Identifies a flow to the application. Valid from the call of OpenFlow on,
 * unlike the FlowId, which the balancer assigns when the flow opens. */
using FlowHandle = StrongId<struct FlowHandleTag, uint64_t>;
/** Identifies a request or a feed to the application. Unlike the RequestNumber
 * it never changes; a request that was not run may be resubmitted under a new
 * number. */
using RequestKey = StrongId<struct RequestKeyTag, uint64_t>;

/** An event that a caller reports to the application. */
struct CallerEvent {
  enum class Kind : uint8_t {
    kFlowOpened,
    kFlowOpenFailed,
    kRequestFinished,
    kFeedEvent
  };

  Kind kind = Kind::kRequestFinished;
  FlowHandle flow_handle;
  RequestKey request;    ///< Request or feed that the event is about; 0 for
                         ///< kFlowOpened and kFlowOpenFailed.
  FlowId flow;           ///< 0 if the flow is not open yet.
  RequestNumber number;  ///< Number of the request or feed inside the flow; 0
                         ///< if the request was never sent.
  ResultCode code = ResultCode::kOk;
  int64_t position = 0;  ///< With kFeedEvent: position of the event, in
                         ///< microseconds since the Unix epoch.
  std::string answer;    ///< With kRequestFinished and kOk: the whole answer.
                         ///< With kFeedEvent: content of the event.
  Microseconds latency{0};  ///< Time since OpenFlow or Send; 0 for kFeedEvent.
  uint32_t attempts = 0;    ///< Number of times the request was sent.

  bool operator==(const CallerEvent&) const = default;
};

/** A datagram for the application to send. */
struct CallerDatagram {
  Endpoint service;   ///< Destination.
  std::string bytes;  ///< Content of the datagram.

  bool operator==(const CallerDatagram&) const = default;
};

/** Datagrams to send and events to handle after a call of a Caller method. */
struct CallerOutput {
  std::vector<CallerDatagram> datagrams;
  std::vector<CallerEvent> events;

  void Clear() {
    this->datagrams.clear();
    this->events.clear();
  }
};

}  // namespace cuminvane

#endif  // CUMINVANE_CALLER_CALLER_TYPE_H_
