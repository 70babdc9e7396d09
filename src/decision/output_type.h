/** @file output_type.h What a decision sends and logs; the shell carries it out
 * and keeps the buffers. */

#ifndef CUMINVANE_DECISION_OUTPUT_TYPE_H_
#define CUMINVANE_DECISION_OUTPUT_TYPE_H_

#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/time_type.h"
#include "decision/decision_type.h"

namespace cuminvane {

/** Socket that a datagram leaves by. */
enum class Channel : uint8_t { kFabric, kBackend, kPeer };
inline constexpr size_t kChannelCount = 3;

/** One datagram to send. */
struct Datagram {
  Channel channel = Channel::kFabric;
  Endpoint to;
  std::string bytes;

  bool operator==(const Datagram&) const = default;
};

/** How one request ended at this balancer, for the histograms. */
struct RequestSample {
  ClassId work_class;
  ResultCode code = ResultCode::kOk;
  Microseconds latency{0};  ///< From the request's arrival to its end.

  bool operator==(const RequestSample&) const = default;
};

/** Everything that one call into the core decided. */
struct Output {
  std::vector<Datagram> datagrams;
  std::vector<Decision> decisions;
  std::vector<RequestSample> samples;

  /** Empties it; the memory stays for the next call. */
  void Clear() {
    this->datagrams.clear();
    this->decisions.clear();
    this->samples.clear();
  }
};

}  // namespace cuminvane

#endif  // CUMINVANE_DECISION_OUTPUT_TYPE_H_
