/** @file metrics_base.cc Implementation of counters and histograms. */

#include "shell/metrics_base.h"

#include <algorithm>
#include <array>
#include <ostream>

#include "decision/decision_func.h"
#include "document/config_func.h"

namespace cuminvane {
namespace {

/** Axis of answer times: 120 bins from 0.1 ms to 100 s, each about 12 % wide.
 */
constexpr unsigned kLatencyBins = 120;
constexpr double kMinLatencyMs = 0.1;
constexpr double kMaxLatencyMs = 100000;

LatencyHistogram MakeLatencyHistogram() {
  namespace histogram = boost::histogram;
  return histogram::make_histogram(
      histogram::axis::regular<double, histogram::axis::transform::log>(
          kLatencyBins, kMinLatencyMs, kMaxLatencyMs));
}

const char* LaneName(Channel channel) {
  switch (channel) {
    case Channel::kFabric:
      return "fabric";
    case Channel::kBackend:
      return "backend";
    case Channel::kPeer:
      return "peer";
  }
  return "";
}

void AddTraffic(Traffic& sum, const Traffic& addend) {
  sum.datagrams += addend.datagrams;
  sum.bytes += addend.bytes;
}

Json::Value TrafficToJson(const Traffic& traffic) {
  Json::Value json;
  json["datagrams"] = static_cast<Json::UInt64>(traffic.datagrams);
  json["bytes"] = static_cast<Json::UInt64>(traffic.bytes);
  return json;
}

/** Calls `visit` with the index and count of each bin. Index -1 is the
 * underflow bin, the number of bins is the overflow bin. */
template <class Visitor>
void ForEachBin(const LatencyHistogram& histogram, Visitor visit) {
  const int bins = histogram.axis().size();
  for (int bin = -1; bin <= bins; ++bin)
    visit(bin, static_cast<double>(histogram.at(bin)));
}

/** @return Upper edge in milliseconds of the bin that contains the quantile of
 * this fraction (0 to 1); 0 if the histogram is empty. */
double Quantile(const LatencyHistogram& histogram, double fraction) {
  double total = 0;
  ForEachBin(histogram, [&total](int, double count) { total += count; });
  double cumulative = 0;
  int found = histogram.axis().size();
  ForEachBin(histogram, [&](int bin, double count) {
    cumulative += count;
    if (cumulative >= fraction * total)
      found = std::min(found, bin);
  });
  return total == 0 ? 0 : histogram.axis().value(found + 1);
}

Json::Value HistogramToJson(const LatencyHistogram& histogram) {
  Json::Value bins(Json::arrayValue);
  ForEachBin(histogram, [&](int bin, double count) {
    if (count == 0)
      return;
    Json::Value entry;
    entry["upto_ms"] = histogram.axis().value(bin + 1);
    entry["count"] = static_cast<Json::UInt64>(count);
    bins.append(entry);
  });
  return bins;
}

}  // namespace

void Metrics::CountOutput(const Output& out) {
  const std::lock_guard lock(this->mutex);
  for (const Decision& decision : out.decisions) {
    ++this->events[{decision.topic, decision.event, decision.code}];
    if (decision.topic == Topic::kFlow &&
        std::string_view(decision.reason) == "cold_limit")
      ++this->cold_limited_flows;
  }
  for (const Datagram& datagram : out.datagrams) {
    AddTraffic(this->TrafficOf(datagram.channel).sent,
               {1, datagram.bytes.size()});
  }
  for (const RequestSample& sample : out.samples) {
    const auto class_entry =
        this->classes
            .try_emplace(sample.work_class,
                         ClassMetrics{MakeLatencyHistogram(), {}})
            .first;
    ++class_entry->second.requests_by_code[sample.code];
    if (sample.code == ResultCode::kOk)
      class_entry->second.answered_ms(
          std::chrono::duration<double, std::milli>(sample.latency).count());
  }
}

void Metrics::CountReceived(Channel channel, size_t bytes) {
  const std::lock_guard lock(this->mutex);
  AddTraffic(this->TrafficOf(channel).received, {1, bytes});
}

void Metrics::CountUnsent(Channel channel) {
  const std::lock_guard lock(this->mutex);
  ++this->TrafficOf(channel).unsent;
}

void Metrics::CountUnsentPackets(size_t count) {
  if (count == 0)
    return;
  const std::lock_guard lock(this->mutex);
  this->unsent_packets += count;
}

void Metrics::Merge(const Metrics& other) {
  const std::scoped_lock lock(this->mutex, other.mutex);
  this->unsent_packets += other.unsent_packets;
  this->cold_limited_flows += other.cold_limited_flows;
  for (const auto& [key, count] : other.events)
    this->events[key] += count;
  for (size_t channel = 0; channel < kChannelCount; ++channel) {
    AddTraffic(this->traffic[channel].sent, other.traffic[channel].sent);
    AddTraffic(this->traffic[channel].received,
               other.traffic[channel].received);
    this->traffic[channel].unsent += other.traffic[channel].unsent;
  }
  for (const auto& [id, metrics] : other.classes) {
    const auto class_entry =
        this->classes.try_emplace(id, ClassMetrics{MakeLatencyHistogram(), {}})
            .first;
    class_entry->second.answered_ms += metrics.answered_ms;
    for (const auto& [code, count] : metrics.requests_by_code)
      class_entry->second.requests_by_code[code] += count;
  }
}

Json::Value Metrics::ToJson(const Config& config) const {
  const std::lock_guard lock(this->mutex);
  Json::Value json;
  for (const auto& [key, count] : this->events) {
    std::string name = std::string(ToString(key.topic)) + "." + key.event;
    if (key.code != ResultCode::kOk)
      name += std::string(".") + ToString(key.code);
    json["events"][name] = static_cast<Json::UInt64>(count);
  }
  for (size_t channel = 0; channel < kChannelCount; ++channel) {
    Json::Value& entry =
        json["traffic"][LaneName(static_cast<Channel>(channel))];
    entry["sent"] = TrafficToJson(this->traffic[channel].sent);
    entry["received"] = TrafficToJson(this->traffic[channel].received);
    entry["unsent"] = static_cast<Json::UInt64>(this->traffic[channel].unsent);
  }
  for (const auto& [id, metrics] : this->classes) {
    const WorkClass* const work = FindClass(config, id);
    Json::Value& entry =
        json["classes"][work == nullptr ? ToString(id) : work->name];
    for (const auto& [code, count] : metrics.requests_by_code)
      entry["ends"][ToString(code)] = static_cast<Json::UInt64>(count);
    constexpr double kP50 = 0.5;
    constexpr double kP99 = 0.99;
    entry["p50_ms"] = Quantile(metrics.answered_ms, kP50);
    entry["p99_ms"] = Quantile(metrics.answered_ms, kP99);
    entry["answered_ms"] = HistogramToJson(metrics.answered_ms);
  }
  return json;
}

void Metrics::WriteText(const Config& config, std::ostream& out) const {
  const std::lock_guard lock(this->mutex);
  for (const auto& [key, count] : this->events) {
    out << "cuminvane_events_total{topic=\"" << ToString(key.topic)
        << "\",event=\"" << key.event << "\",code=\"" << ToString(key.code)
        << "\"} " << count << "\n";
  }
  for (size_t channel = 0; channel < kChannelCount; ++channel) {
    const LaneTraffic& traffic = this->traffic[channel];
    const std::string labels = std::string("{lane=\"") +
                               LaneName(static_cast<Channel>(channel)) + "\"} ";
    out << "cuminvane_sent_bytes_total" << labels << traffic.sent.bytes << "\n"
        << "cuminvane_received_bytes_total" << labels << traffic.received.bytes
        << "\n"
        << "cuminvane_unsent_total" << labels << traffic.unsent << "\n";
  }
  out << "cuminvane_unsent_total{lane=\"packets\"} " << this->unsent_packets
      << "\ncuminvane_cold_limited_flows " << this->cold_limited_flows << "\n";
  for (const auto& entry : this->classes) {
    const WorkClass* const work = FindClass(config, entry.first);
    const std::string name =
        work == nullptr ? ToString(entry.first) : work->name;
    const LatencyHistogram& answered = entry.second.answered_ms;
    double cumulative = 0;
    ForEachBin(answered, [&](int bin, double count) {
      cumulative += count;
      if (count != 0)
        out << "cuminvane_answer_ms_bucket{class=\"" << name << "\",le=\""
            << answered.axis().value(bin + 1) << "\"} " << cumulative << "\n";
    });
    out << "cuminvane_answer_ms_count{class=\"" << name << "\"} " << cumulative
        << "\n";
  }
}

}  // namespace cuminvane
