/** @file explain_func.cc From a flow to its cause. */

#include "shell/explain_func.h"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>

namespace cuminvane {
namespace {

/** A log line and the pairs that the walk needs. */
struct LogEntry {
  std::string text;
  std::string time;
  std::string event;
  std::string reason;
  std::string flow;
  std::string caller;
  std::string vm;
};

/** A reason, and what it means for the flow. */
struct ReasonMeaning {
  std::string_view reason;
  std::string_view meaning;
};

constexpr std::array kReasonMeanings = {
    ReasonMeaning{
        "backend_unreachable",
        "its backend server answered neither its flows nor a check; the flow "
        "was reset so that the caller could go elsewhere"},
    ReasonMeaning{
        "backend_lost",
        "its backend server was lost; all its flows were reset at once"},
    ReasonMeaning{
        "backend_unknown",
        "its packets name a backend server that the platform does not list"},
    ReasonMeaning{"no_route",
                  "no class of the configuration has the address it uses"},
    ReasonMeaning{"no_backend",
                  "no backend server of its service took new flows"},
    ReasonMeaning{
        "backend_full",
        "its backend server was full; the next copy of the opening packet "
        "was awaited"},
    ReasonMeaning{
        "copy",
        "its opening packet was not answered in time and was placed again"},
};

std::string FindValue(const std::string& line, const std::string& key) {
  const std::string begin = " " + key + "=";
  size_t at = line.find(begin);
  if (at == std::string::npos && line.starts_with(key + "="))
    at = 0;
  else if (at == std::string::npos)
    return "";
  else
    ++at;
  at += key.size() + 1;
  return line.substr(at, line.find(' ', at) - at);
}

LogEntry ParseEntry(const std::string& line) {
  return {line,
          FindValue(line, "time"),
          FindValue(line, "event"),
          FindValue(line, "reason"),
          FindValue(line, "flow"),
          FindValue(line, "caller"),
          FindValue(line, "vm")};
}

/** Events that concern every flow while they last. */
bool IsProcessEvent(const LogEntry& entry) {
  constexpr std::array<std::string_view, 8> kEvents = {
      "started",          "stopping",          "finished", "platform_lost",
      "document_refused", "platform_regained", "reloaded", "lines_dropped"};
  return std::ranges::find(kEvents, entry.event) != kEvents.end();
}

std::string_view FindMeaning(const std::string& reason) {
  const auto* const cause =
      std::ranges::find(kReasonMeanings, reason, &ReasonMeaning::reason);
  return cause == kReasonMeanings.end() ? "" : cause->meaning;
}

}  // namespace

Explanation ExplainFlow(std::string_view log, const std::string& id) {
  std::vector<LogEntry> entries;
  std::istringstream lines{std::string(log)};
  for (std::string line; std::getline(lines, line);)
    entries.push_back(ParseEntry(line));
  std::ranges::stable_sort(entries, {}, &LogEntry::time);
  std::set<std::string> backends;
  std::string first_time;
  std::string last_time;
  for (const LogEntry& entry : entries) {
    if (entry.flow != id && entry.caller != id)
      continue;
    if (first_time.empty())
      first_time = entry.time;
    last_time = entry.time;
    if (!entry.vm.empty())
      backends.insert(entry.vm);
  }
  Explanation explanation;
  if (first_time.empty())
    return explanation;
  explanation.cause =
      "nothing went wrong at the balancers: the flow was placed and carried";
  for (const LogEntry& entry : entries) {
    const bool is_own = entry.flow == id || entry.caller == id;
    // A backend server may be lost after the flow's last line of its own.
    const bool is_of_backend = !is_own && entry.flow.empty() &&
                               backends.contains(entry.vm) &&
                               entry.time >= first_time;
    const bool is_concurrent = IsProcessEvent(entry) &&
                               entry.time >= first_time &&
                               entry.time <= last_time;
    if (!is_own && !is_of_backend && !is_concurrent)
      continue;
    explanation.lines.push_back(entry.text);
    const std::string_view meaning = FindMeaning(entry.reason);
    if (!meaning.empty())
      explanation.cause = std::string(meaning);
  }
  return explanation;
}

}  // namespace cuminvane
