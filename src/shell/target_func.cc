/** @file target_func.cc Targets beside measurements. */

#include "shell/target_func.h"

#include <algorithm>
#include <map>
#include <optional>
#include <sstream>

#include "base/result_type.h"

namespace cuminvane {
namespace {

constexpr const char* kWholeFleet = "all";

/** Identifies a line; the fleet sorts before its data centres. */
struct TargetKey {
  bool is_data_centre = false;
  std::string work_class;
  std::string data_centre;

  auto operator<=>(const TargetKey&) const = default;
};

/** What a line is made of, over several balancers. */
struct TargetTotals {
  TargetReport line;
  std::map<std::string, uint64_t> failures;  ///< By code.
};

/** Flows at one backend server, over all balancers. */
struct BackendLoad {
  uint64_t service = 0;
  double flows = 0;
  int64_t slots = 1;
};

/** Below this mean of flows for each backend server chance decides. */
constexpr double kMinFlowsPerBackend = 20;
constexpr double kPercent = 100;

/** @return The backend servers that take flows, by VM. */
std::map<uint64_t, BackendLoad> LoadsByBackend(
    const std::vector<Json::Value>& statuses) {
  std::map<uint64_t, BackendLoad> loads;
  for (const Json::Value& status : statuses) {
    for (const char* const plane : {"backends", "opaque_backends"}) {
      for (const Json::Value& backend : status[plane]) {
        if (backend["leaving"].asBool() || backend["cold"].asBool())
          continue;
        BackendLoad& one = loads[backend["vm"].asUInt64()];
        one.service = backend["service"].asUInt64();
        one.flows +=
            backend["flows_placed"].asDouble() + backend["flows"].asDouble();
        one.slots = std::max<int64_t>(one.slots, backend["slots"].asInt64());
      }
    }
  }
  return loads;
}

/** @return How far the service's busiest backend server is above the mean, in
 * percent; none where too few flows are open. */
std::optional<double> ImbalancePercent(
    const std::map<uint64_t, BackendLoad>& loads,
    uint64_t service) {
  double flows = 0;
  double slots = 0;
  double most = 0;
  size_t count = 0;
  for (const auto& [vm, one] : loads) {
    if (one.service != service)
      continue;
    const auto load_slots = static_cast<double>(one.slots);
    flows += one.flows;
    slots += load_slots;
    most = std::max(most, one.flows / load_slots);
    ++count;
  }
  if (count == 0 || flows < kMinFlowsPerBackend * static_cast<double>(count))
    return std::nullopt;
  return kPercent * (most * slots / flows - 1);
}

void AddClassMetrics(const Json::Value& target,
                     const Json::Value& measured,
                     TargetTotals& totals) {
  TargetReport& line = totals.line;
  line.latency_target_ms = target["answered_within_ms"].asInt64();
  line.target_percent = target["answered_percent"].asDouble();
  for (const std::string& code : measured["ends"].getMemberNames()) {
    // A moved request goes on at another balancer and ends there.
    if (code == ToString(ResultCode::kMoved))
      continue;
    const uint64_t count = measured["ends"][code].asUInt64();
    line.requests += count;
    if (code != "ok") {
      totals.failures[code] += count;
      line.failures += count;
    }
  }
  for (const Json::Value& bin : measured["answered_ms"]) {
    // A bin that the target cuts counts as late.
    if (bin["upto_ms"].asDouble() <=
        static_cast<double>(line.latency_target_ms))
      line.answered_in_time += bin["count"].asUInt64();
  }
}

TargetReport FinishReport(TargetTotals totals) {
  uint64_t most = 0;
  for (const auto& [code, count] : totals.failures) {
    if (count > most) {
      most = count;
      totals.line.most_common_failure = code;
    }
  }
  return totals.line;
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
        totals.line.work_class = name;
        totals.line.data_centre = key.data_centre;
        AddClassMetrics(target, measured, totals);
        totals.line.imbalance_limit = target["imbalance_percent"].asDouble();
        if (!key.is_data_centre)
          totals.line.imbalance =
              ImbalancePercent(loads, target["service"].asUInt64());
      }
    }
  }
  std::vector<TargetReport> lines;
  lines.reserve(totals_by_key.size());
  for (const auto& [key, totals] : totals_by_key)
    lines.push_back(FinishReport(totals));
  return lines;
}

std::string FormatTarget(const TargetReport& line) {
  std::ostringstream out;
  out << "class=" << line.work_class << " data_centre=" << line.data_centre
      << " answered_within_ms=" << line.latency_target_ms
      << " target_percent=" << line.target_percent
      << " measured_percent=" << line.AnsweredInTimePercent()
      << " requests=" << line.requests;
  if (line.imbalance)
    out << " imbalance_percent=" << *line.imbalance
        << " imbalance_limit=" << line.imbalance_limit;
  out << " met=" << (line.MeetsTarget() ? "yes" : "no")
      << " cause=" << line.MissCause();
  return out.str();
}

}  // namespace cuminvane
