/** @file explain_func.cc Search of log lines that explain a flow. */

#include "shell/explain_func.h"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>

namespace cuminvane {
namespace {

/** A log line and the values of its keys that the search uses; empty if the
 * line lacks the key. */
struct LogEntry {
  std::string text;  ///< The whole line.
  std::string time;
  std::string event;
  std::string reason;
  std::string flow;
  std::string caller;
  std::string vm;
};

/** A value of `reason=` in log lines and its meaning for the flow. */
struct ReasonMeaning {
  std::string_view reason;
  std::string_view meaning;
};

constexpr std::array kReasonMeanings = {
    ReasonMeaning{
        "backend_unreachable",
        "its backend server answered neither its flows nor a check; the flow "
        "was reset so that the caller could connect to another one"},
    ReasonMeaning{
        "backend_lost",
        "its backend server was lost; all its flows were reset at once"},
    ReasonMeaning{
        "backend_unknown",
        "its packets name a backend server that the platform does not list"},
    ReasonMeaning{
        "no_route",
        "no class of the configuration uses the flow's service address"},
    ReasonMeaning{"no_backend",
                  "no backend server of its service took new flows"},
    ReasonMeaning{"evacuated",
                  "all data centres of its service that could take it are "
                  "evacuated"},
    ReasonMeaning{"cold_limit",
                  "the backend servers of its service were cold and their rate "
                  "limit left "
                  "this balancer nothing; the flow was reset at once"},
    ReasonMeaning{
        "backend_full",
        "its backend server was full; the retransmission of the opening "
        "packet was awaited"},
    ReasonMeaning{
        "copy",
        "its opening packet was not answered in time, so its retransmission "
        "was placed again"},
};

/** @return Value of `key=` in the line; empty if the line lacks the key. */
std::string FindValue(const std::string& line, const std::string& key) {
  const std::string pattern = " " + key + "=";
  size_t at = line.find(pattern);
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

/** @return Whether the event concerns the whole balancer and so every flow that
 * is open at that time. */
bool IsProcessEvent(const LogEntry& entry) {
  constexpr std::array<std::string_view, 8> kEvents = {
      "started",          "stopping",          "finished", "platform_lost",
      "document_refused", "platform_regained", "reloaded", "lines_dropped"};
  return std::ranges::find(kEvents, entry.event) != kEvents.end();
}

/** @return Meaning of the reason; empty if the reason is not a cause. */
std::string_view FindMeaning(const std::string& reason) {
  const auto* const found =
      std::ranges::find(kReasonMeanings, reason, &ReasonMeaning::reason);
  return found == kReasonMeanings.end() ? "" : found->meaning;
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
      "nothing went wrong at the balancers: the flow was placed and relayed";
  for (const LogEntry& entry : entries) {
    const bool is_own = entry.flow == id || entry.caller == id;
    // A backend server may fail after the last line that names the flow.
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
