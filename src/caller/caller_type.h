/** @file caller_type.h What a caller asks for and what it gets back. */

#ifndef CUMINVANE_CALLER_CALLER_TYPE_H_
#define CUMINVANE_CALLER_CALLER_TYPE_H_

#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/result_type.h"
#include "base/time_type.h"

namespace cuminvane {

/** A flow as its caller knows it, before and after it is open. */
using FlowHandle = StrongId<struct FlowHandleTag, uint64_t>;
/** A request as its caller knows it; its number in the flow may change while it
 * was not run. */
using RequestKey = StrongId<struct RequestKeyTag, uint64_t>;

/** Something a caller is told. */
struct CallerEvent {
  enum class Kind : uint8_t {
    kFlowOpened,
    kFlowOpenFailed,
    kRequestFinished,
    kFeedEvent
  };

  Kind kind = Kind::kRequestFinished;
  FlowHandle flow_handle;
  RequestKey request;
  FlowId flow;
  RequestNumber number;
  ResultCode code = ResultCode::kOk;
  int64_t position = 0;     ///< Of a feed's event.
  std::string answer;       ///< The whole answer, with kOk.
  Microseconds latency{0};  ///< From the request, or the open, to this event.
  uint32_t attempts = 0;    ///< Times the request was sent.

  bool operator==(const CallerEvent&) const = default;
};

/** A datagram a caller sends to a service. */
struct CallerDatagram {
  Endpoint service;
  std::string bytes;

  bool operator==(const CallerDatagram&) const = default;
};

/** Everything that one call into the caller's core decided. */
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
