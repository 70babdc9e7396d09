/** @file output_type.h Output of the core: datagrams to send, log entries and
 * latency samples. The shell sends and logs them, and reuses the buffers. */

#ifndef CUMINVANE_DECISION_OUTPUT_TYPE_H_
#define CUMINVANE_DECISION_OUTPUT_TYPE_H_

#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/time_type.h"
#include "decision/decision_type.h"

namespace cuminvane {

/** Socket from which a datagram is sent: to callers (fabric), to backend
 * servers, or to other balancers (peer). */
enum class Channel : uint8_t { kFabric, kBackend, kPeer };
/** Number of channels. */
inline constexpr size_t kChannelCount = 3;

/** One datagram to send. */
struct Datagram {
  Channel channel = Channel::kFabric;
  Endpoint to;        ///< Destination address.
  std::string bytes;  ///< The whole message.

  bool operator==(const Datagram&) const = default;
};

/** A request to another balancer whose answer can be larger than a datagram.
 * The shell sends it over a connection of its own and reports how it ended. */
struct PeerFetch {
  uint8_t kind = 0;     ///< What is fetched; returned with the result.
  Endpoint peer;        ///< Balancer that is asked.
  std::string request;  ///< The whole message.

  bool operator==(const PeerFetch&) const = default;
};

/** Outcome of one request at this balancer, for the latency histograms. */
struct RequestSample {
  ClassId work_class;
  ResultCode code = ResultCode::kOk;
  /** Time from the arrival of the request to its end. */
  Microseconds latency{0};

  bool operator==(const RequestSample&) const = default;
};

/** Output of one call into the core. */
struct Output {
  std::vector<Datagram> datagrams;
  std::vector<Decision> decisions;
  std::vector<RequestSample> samples;
  std::vector<PeerFetch> fetches;

  /** Removes all output but keeps the allocated memory for the next call. */
  void Clear() {
    this->datagrams.clear();
    this->decisions.clear();
    this->samples.clear();
    this->fetches.clear();
  }
};

}  // namespace cuminvane

#endif  // CUMINVANE_DECISION_OUTPUT_TYPE_H_
