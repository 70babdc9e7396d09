/** @file target_func.cc Targets beside measurements. */

#include "shell/target_func.h"

#include <map>
#include <sstream>

#include "base/result_type.h"

namespace cuminvane {
namespace {

constexpr const char* kWholeFleet = "all";

/** Identifies a line; the fleet sorts before its data centres. */
struct LineKey {
  bool is_data_centre = false;
  std::string work_class;
  std::string data_centre;

  auto operator<=>(const LineKey&) const = default;
};

/** What a line is made of, over several balancers. */
struct Tally {
  TargetLine line;
  std::map<std::string, uint64_t> failures;  ///< By code.
};

void AddClass(const Json::Value& target,
              const Json::Value& measured,
              Tally& tally) {
  TargetLine& line = tally.line;
  line.within_ms = target["answered_within_ms"].asInt64();
  line.target_percent = target["answered_percent"].asDouble();
  for (const std::string& code : measured["ends"].getMemberNames()) {
    // A moved request goes on at another balancer and ends there.
    if (code == ToString(ResultCode::kMoved))
      continue;
    const uint64_t count = measured["ends"][code].asUInt64();
    line.requests += count;
    if (code != "ok") {
      tally.failures[code] += count;
      line.failures += count;
    }
  }
  for (const Json::Value& bin : measured["answered_ms"]) {
    // A bin that the target cuts counts as late.
    if (bin["upto_ms"].asDouble() <= static_cast<double>(line.within_ms))
      line.answered_in_time += bin["count"].asUInt64();
  }
}

TargetLine Close(Tally tally) {
  uint64_t most = 0;
  for (const auto& [code, count] : tally.failures) {
    if (count > most) {
      most = count;
      tally.line.most_common_failure = code;
    }
  }
  return tally.line;
}

}  // namespace

std::vector<TargetLine> CompareTargets(
    const std::vector<Json::Value>& statuses) {
  std::map<LineKey, Tally> tallies;
  for (const Json::Value& status : statuses) {
    const std::string data_centre = status["data_centre"].asString();
    for (const Json::Value& target : status["targets"]) {
      const std::string name = target["class"].asString();
      const Json::Value& measured = status["metrics"]["classes"][name];
      for (const LineKey& key : {LineKey{false, name, kWholeFleet},
                                 LineKey{true, name, data_centre}}) {
        Tally& tally = tallies[key];
        tally.line.work_class = name;
        tally.line.data_centre = key.data_centre;
        AddClass(target, measured, tally);
      }
    }
  }
  std::vector<TargetLine> lines;
  lines.reserve(tallies.size());
  for (const auto& [key, tally] : tallies)
    lines.push_back(Close(tally));
  return lines;
}

std::string FormatTarget(const TargetLine& line) {
  std::ostringstream out;
  out << "class=" << line.work_class << " data_centre=" << line.data_centre
      << " answered_within_ms=" << line.within_ms
      << " target_percent=" << line.target_percent
      << " measured_percent=" << line.MeasuredPercent()
      << " requests=" << line.requests
      << " met=" << (line.IsMet() ? "yes" : "no") << " cause=" << line.Cause();
  return out.str();
}

}  // namespace cuminvane
