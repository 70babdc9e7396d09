/** @file target_func.cc Merging and comparison of measurements with targets. */

#include "shell/target_func.h"

#include <algorithm>
#include <map>
#include <optional>
#include <sstream>

#include "base/result_type.h"

namespace cuminvane {
namespace {

/** Name of the whole fleet in place of a data centre. */
constexpr const char* kWholeFleet = "all";

/** Identifies a report; reports of the fleet sort before those of data centres.
 */
struct TargetKey {
  bool is_data_centre = false;  ///< False for a report of the whole fleet.
  std::string work_class;       ///< Name of the class.
  std::string data_centre;      ///< Name of the data centre, or kWholeFleet.

  auto operator<=>(const TargetKey&) const = default;
};

/** Sums over several balancers, from which a report is computed. */
struct TargetTotals {
  TargetReport report;  ///< Contains the sums of requests.
  /** Number of failed requests by name of the result code. */
  std::map<std::string, uint64_t> failures;
};

/** Open flows at one backend server, summed over all balancers. */
struct BackendLoad {
  uint64_t service_id = 0;  ///< Number of its service.
  double flows = 0;         ///< Number of open flows.
  int64_t slots = 1;        ///< Number of requests that it runs concurrently.
};

/** Minimum mean of flows per backend server; with fewer flows the imbalance is
 * mostly chance and not reported. */
constexpr double kMinFlowsPerBackend = 20;
constexpr double kPercent = 100;

/** @return Load of the backend servers that take new flows and have finished
 * their slow start, by VM. */
std::map<uint64_t, BackendLoad> LoadsByBackend(
    const std::vector<Json::Value>& statuses) {
  std::map<uint64_t, BackendLoad> loads;
  for (const Json::Value& status : statuses) {
    for (const char* const plane : {"backends", "opaque_backends"}) {
      for (const Json::Value& backend : status[plane]) {
        if (backend["leaving"].asBool() || backend["cold"].asBool())
          continue;
        BackendLoad& load = loads[backend["vm"].asUInt64()];
        load.service_id = backend["service"].asUInt64();
        load.flows +=
            backend["flows_placed"].asDouble() + backend["flows"].asDouble();
        load.slots = std::max<int64_t>(load.slots, backend["slots"].asInt64());
      }
    }
  }
  return loads;
}

/** @return Excess of flows per slot at the service's busiest backend server
 * over the service's mean, in percent; nothing if too few flows are open. */
std::optional<double> ImbalancePercent(
    const std::map<uint64_t, BackendLoad>& loads,
    uint64_t service) {
  double flows = 0;
  double slots = 0;
  double max_flows_per_slot = 0;
  size_t count = 0;
  for (const auto& [vm, load] : loads) {
    if (load.service_id != service)
      continue;
    const auto load_slots = static_cast<double>(load.slots);
    flows += load.flows;
    slots += load_slots;
    max_flows_per_slot = std::max(max_flows_per_slot, load.flows / load_slots);
    ++count;
  }
  if (count == 0 || flows < kMinFlowsPerBackend * static_cast<double>(count))
    return std::nullopt;
  return kPercent * (max_flows_per_slot * slots / flows - 1);
}

/** Adds one balancer's measurements of a class to the totals.
 * @param target The class's targets in the balancer's status.
 * @param measured The class's metrics in the same status.
 * @param totals Sums to add to.
 */
void AddClassMetrics(const Json::Value& target,
                     const Json::Value& measured,
                     TargetTotals& totals) {
  TargetReport& report = totals.report;
  report.latency_target_ms = target["answered_within_ms"].asInt64();
  report.target_percent = target["answered_percent"].asDouble();
  for (const std::string& code : measured["ends"].getMemberNames()) {
    // A moved request continues at another balancer, which counts its end.
    if (code == ToString(ResultCode::kMoved))
      continue;
    const uint64_t count = measured["ends"][code].asUInt64();
    report.requests += count;
    if (code != "ok") {
      totals.failures[code] += count;
      report.failures += count;
    }
  }
  for (const Json::Value& bin : measured["answered_ms"]) {
    // Answers in a histogram bin that extends beyond the target count as late.
    if (bin["upto_ms"].asDouble() <=
        static_cast<double>(report.latency_target_ms))
      report.answered_in_time += bin["count"].asUInt64();
  }
}

/** @return The report with the most common failure filled in. */
TargetReport FinishReport(TargetTotals totals) {
  uint64_t max_count = 0;
  for (const auto& [code, count] : totals.failures) {
    if (count > max_count) {
      max_count = count;
      totals.report.most_common_failure = code;
    }
  }
  return totals.report;
}

}  // namespace

std::vector<TargetReport> CompareTargets(
    const std::vector<Json::Value>& statuses) {
  std::map<TargetKey, TargetTotals> totals_by_key;
  const std::map<uint64_t, BackendLoad> loads = LoadsByBackend(statuses);
  for (const Json::Value& status : statuses) {
    const std::string data_centre = status["data_centre"].asString();
    for (const Json::Value& target : status["targets"]) {
      const std::string name = target["class"].asString();
      const Json::Value& measured = status["metrics"]["classes"][name];
      for (const TargetKey& key : {TargetKey{false, name, kWholeFleet},
                                   TargetKey{true, name, data_centre}}) {
        TargetTotals& totals = totals_by_key[key];
        totals.report.work_class = name;
        totals.report.data_centre = key.data_centre;
        AddClassMetrics(target, measured, totals);
        totals.report.imbalance_limit = target["imbalance_percent"].asDouble();
        if (!key.is_data_centre)
          totals.report.imbalance =
              ImbalancePercent(loads, target["service"].asUInt64());
      }
    }
  }
  std::vector<TargetReport> reports;
  reports.reserve(totals_by_key.size());
  for (const auto& [key, totals] : totals_by_key)
    reports.push_back(FinishReport(totals));
  return reports;
}

std::string FormatTarget(const TargetReport& report) {
  std::ostringstream out;
  out << "class=" << report.work_class << " data_centre=" << report.data_centre
      << " answered_within_ms=" << report.latency_target_ms
      << " target_percent=" << report.target_percent
      << " measured_percent=" << report.AnsweredInTimePercent()
      << " requests=" << report.requests;
  if (report.imbalance)
    out << " imbalance_percent=" << *report.imbalance
        << " imbalance_limit=" << report.imbalance_limit;
  out << " met=" << (report.MeetsTarget() ? "yes" : "no")
      << " cause=" << report.MissCause();
  return out.str();
}

}  // namespace cuminvane
