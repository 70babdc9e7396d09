/** @file log_func.h Writes log lines of key=value pairs through Boost.Log, with
 * a minimum severity and rate limits. */

#ifndef CUMINVANE_SHELL_LOG_FUNC_H_
#define CUMINVANE_SHELL_LOG_FUNC_H_

#include <string>

#include "base/time_type.h"
#include "decision/decision_type.h"

namespace cuminvane {

/**
 * Sets up logging to standard output; lines are written by a thread of their
 * own.
 * @param process Name of the process that every line contains.
 * @param levels Minimum severity by topic.
 * @param lines_per_s Maximum lines of decisions below error severity per
 * second.
 * @param input_lines_per_s Maximum lines about invalid input per second.
 */
void StartLog(const std::string& process,
              const LogLevels& levels,
              int lines_per_s,
              int input_lines_per_s);

/** Sets the minimum severity of one topic, immediately for all threads. */
void SetLogLevel(Topic topic, Severity min_severity);

/** @return The current minimum severities. */
LogLevels CurrentLogLevels();

/** @return Whether a line of this topic and severity would be written. */
bool IsLogged(Topic topic, Severity severity);

/**
 * Writes a decision as a log line. Lines beyond the rate limits are dropped and
 * counted; decisions of error severity are subject only to the input limit.
 * @param now Current time, for the rate limits.
 * @param decision The decision.
 */
void LogDecision(TimePoint now, const Decision& decision);

/**
 * Writes a line if its topic's minimum severity allows; rate limits don't
 * apply.
 * @param topic Topic of the line.
 * @param severity Severity of the line.
 * @param pairs `key=value` pairs that start with `event=`.
 */
void LogLine(Topic topic, Severity severity, const std::string& pairs);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_LOG_FUNC_H_
