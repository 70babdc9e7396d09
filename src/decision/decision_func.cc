/** @file decision_func.cc Formatting of decisions. */

#include "decision/decision_func.h"

#include <algorithm>

namespace cuminvane {
namespace {

constexpr std::array<const char*, kTopics.size()> kTopicWords = {
    "routing", "placement", "membership", "config",
    "input",   "process",   "flow",       "reach"};
constexpr std::array<const char*, 5> kSeverityNames = {
    "debug", "info", "warning", "error", "off"};

template <class Enum, size_t Size>
std::optional<Enum> ParseWord(const std::array<const char*, Size>& words,
                              std::string_view word) {
  const auto found = std::ranges::find(words, word);
  if (found == words.end())
    return std::nullopt;
  return static_cast<Enum>(found - words.begin());
}

}  // namespace

const char* ToString(Topic topic) {
  return kTopicWords.at(static_cast<size_t>(topic));
}

const char* ToString(Severity severity) {
  return kSeverityNames.at(static_cast<size_t>(severity));
}

std::optional<Severity> ParseSeverity(std::string_view word) {
  return ParseWord<Severity>(kSeverityNames, word);
}

std::optional<Topic> ParseTopic(std::string_view word) {
  return ParseWord<Topic>(kTopicWords, word);
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
