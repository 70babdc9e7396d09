/** @file metrics_base.h Counters of decisions and traffic and histograms of
 * answer times; one object per thread, merged for the status and metrics. */

#ifndef CUMINVANE_SHELL_METRICS_BASE_H_
#define CUMINVANE_SHELL_METRICS_BASE_H_

#include <json/json.h>
#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <mutex>
#include <string>

#include "decision/output_type.h"
#include "document/config_type.h"

namespace cuminvane {

/** Number of datagrams and of their bytes. */
struct Traffic {
  uint64_t datagrams = 0;
  uint64_t bytes = 0;

  bool operator==(const Traffic&) const = default;
};

/** Traffic of one lane. */
struct LaneTraffic {
  Traffic sent;
  Traffic received;
  uint64_t unsent = 0;  ///< Datagrams that the socket did not accept.

  bool operator==(const LaneTraffic&) const = default;
};

/** Key by which decisions are counted. */
struct EventKey {
  Topic topic = Topic::kRouting;
  const char* event = "";  ///< Name of the event; a string constant of the
                           ///< core, compared by address.
  ResultCode code = ResultCode::kOk;  ///< Result of the decision.

  auto operator<=>(const EventKey&) const = default;
};

/** Histogram of answer times in milliseconds, with a logarithmic axis. */
using LatencyHistogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::
        regular<double, boost::histogram::axis::transform::log>(1, 1.0, 2.0)));

/** Measurements of one class of work. */
struct ClassMetrics {
  LatencyHistogram answered_ms;  ///< Answer times of answered requests.
  /** Number of ended requests by final result code. */
  std::map<ResultCode, uint64_t> requests_by_code;
};

/** Counters and histograms; safe to use from several threads. */
class Metrics {
 public:
  /** Counts the decisions, sent datagrams and latency samples of an output. */
  void CountOutput(const Output& out);
  /** Counts a received datagram of that many bytes. */
  void CountReceived(Channel channel, size_t bytes);
  /** Counts a datagram that the socket did not accept. */
  void CountUnsent(Channel channel);

  /** Counts packets of opaque flows that the socket did not accept. */
  void CountUnsentPackets(size_t count);

  /** Adds the counts of another object to this one. */
  void Merge(const Metrics& other);

  /**
   * @param config Provides the names of classes; a class that it lacks appears
   * by its number.
   * @return All counts as JSON.
   */
  Json::Value ToJson(const Config& config) const;
  /**
   * Writes all counts in the Prometheus text format.
   * @param config Provides the names of classes, as in ToJson.
   * @param out Receives the text.
   */
  void WriteText(const Config& config, std::ostream& out) const;

 private:
  LaneTraffic& TrafficOf(Channel channel) {
    return this->traffic[static_cast<size_t>(channel)];
  }

  std::map<EventKey, uint64_t> events;  ///< Number of decisions by key.
  mutable std::mutex mutex;             ///< Guards all other members.
  std::array<LaneTraffic, kChannelCount> traffic;  ///< Indexed by lane.
  std::map<ClassId, ClassMetrics> classes;
  /** Flows that the rate limit of cold backend servers reset. */
  uint64_t cold_limited_flows = 0;
  uint64_t unsent_packets =
      0;  ///< Packets of opaque flows that the socket did not accept.
};

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_METRICS_BASE_H_
