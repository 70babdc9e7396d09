/** @file metrics_base.h Counts decisions and measures answer times; one per
 * thread, merged for status. */

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

/** Bytes and datagrams of one kind. */
struct Traffic {
  uint64_t datagrams = 0;
  uint64_t bytes = 0;

  bool operator==(const Traffic&) const = default;
};

/** Bytes and datagrams of one lane. */
struct LaneTraffic {
  Traffic sent;
  Traffic received;
  uint64_t unsent = 0;  ///< Datagrams that the socket did not take.

  bool operator==(const LaneTraffic&) const = default;
};

/** What decisions are counted by. */
struct EventKey {
  Topic topic = Topic::kRouting;
  const char* event = "";  ///< A constant of the core, so its address tells it.
  ResultCode code = ResultCode::kOk;

  auto operator<=>(const EventKey&) const = default;
};

/** Answer times of one class, in milliseconds on a logarithmic axis. */
using LatencyHistogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::
        regular<double, boost::histogram::axis::transform::log>(1, 1.0, 2.0)));

/** What one class of work came to. */
struct ClassMetrics {
  LatencyHistogram answered_ms;
  std::map<ResultCode, uint64_t>
      requests_by_code;  ///< Requests by how they ended.
};

/** Counters and histograms; safe to use from several threads. */
class Metrics {
 public:
  /** Counts everything in an output. */
  void CountOutput(const Output& out);
  /** Counts a received datagram. */
  void CountReceived(Channel channel, size_t bytes);
  /** Counts a datagram that the socket did not take. */
  void CountUnsent(Channel channel);

  /** Counts packets of opaque flows that the socket did not take. */
  void CountUnsentPackets(size_t count);

  /** Adds another's counts to this one's. */
  void Merge(const Metrics& other);

  /** @return All counts, classes by the names of the configuration. */
  Json::Value ToJson(const Config& config) const;
  /** Writes all counts in the usual text format of metrics. */
  void WriteText(const Config& config, std::ostream& out) const;

 private:
  LaneTraffic& TrafficOf(Channel channel) {
    return this->traffic[static_cast<size_t>(channel)];
  }

  std::map<EventKey, uint64_t> events;
  mutable std::mutex mutex;
  std::array<LaneTraffic, kChannelCount> traffic;
  std::map<ClassId, ClassMetrics> classes;
  uint64_t unsent_packets = 0;
};

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_METRICS_BASE_H_
