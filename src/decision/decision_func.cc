/** @file decision_func.cc Formatting of decisions. */

#include "decision/decision_func.h"

#include <algorithm>

namespace cuminvane {
namespace {

constexpr std::array<const char*, kTopics.size()> kTopicNames = {
    "routing", "placement", "membership", "config",
    "input",   "process",   "flow",       "reach"};
constexpr std::array<const char*, 5> kSeverityNames = {
    "debug", "info", "warning", "error", "off"};

template <class Enum, size_t Size>
std::optional<Enum> ParseName(const std::array<const char*, Size>& names,
                              std::string_view name) {
  const auto found = std::ranges::find(names, name);
  if (found == names.end())
    return std::nullopt;
  return static_cast<Enum>(found - names.begin());
}

}  // namespace

const char* ToString(Topic topic) {
  return kTopicNames.at(static_cast<size_t>(topic));
}

const char* ToString(Severity severity) {
  return kSeverityNames.at(static_cast<size_t>(severity));
}

std::optional<Severity> ParseSeverity(std::string_view name) {
  return ParseName<Severity>(kSeverityNames, name);
}

std::optional<Topic> ParseTopic(std::string_view name) {
  return ParseName<Topic>(kTopicNames, name);
}

std::string FormatDecision(const Decision& decision) {
  std::string line = "event=";
  line += decision.event;
  if (decision.flow != FlowId{})
    line += " flow=" + ToString(decision.flow);
  if (decision.number != RequestNumber{})
    line += " request=" + ToString(decision.number);
  if (decision.vm != VmId{})
    line += " vm=" + ToString(decision.vm);
  if (!decision.data_centre.empty())
    line += " data_centre=" + decision.data_centre;
  if (decision.code != ResultCode::kOk) {
    line += " code=";
    line += ToString(decision.code);
  }
  if (decision.version != ConfigVersion{})
    line += " version=" + ToString(decision.version);
  if (decision.caller != Endpoint{})
    line += " caller=" + ToString(decision.caller) +
            " service=" + ToString(decision.service);
  if (decision.count != 0)
    line += " flows=" + std::to_string(decision.count);
  if (decision.age != Microseconds(0))
    line += " age_ms=" +
            std::to_string(
                std::chrono::duration_cast<Milliseconds>(decision.age).count());
  if (*decision.reason != '\0') {
    line += " reason=";
    line += decision.reason;
  }
  return line;
}

}  // namespace cuminvane
