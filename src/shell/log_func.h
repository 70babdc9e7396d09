/** @file log_func.h Writes log lines of key=value pairs through Boost.Log, with
 * a level for each topic. */

#ifndef CUMINVANE_SHELL_LOG_FUNC_H_
#define CUMINVANE_SHELL_LOG_FUNC_H_

#include <string>

#include "base/time_type.h"
#include "decision/decision_type.h"

namespace cuminvane {

/**
 * Sets up logging to standard error.
 * @param process Name of the process, in every line.
 * @param levels Least severity by topic.
 * @param input_lines_per_s Most lines of bad input in a second.
 */
void StartLog(const std::string& process,
              const LogLevels& levels,
              int lines_per_s,
              int input_lines_per_s);

/** Changes the least severity of one topic; takes effect at once in all
 * threads. */
void SetLogLevel(Topic topic, Severity min_severity);

/** @return The levels in force. */
LogLevels CurrentLogLevels();

/** @return Whether a line of this topic and severity would be written. */
bool IsLogged(Topic topic, Severity severity);

/** Writes a decision; lines of bad input beyond the limit are only counted. */
void LogDecision(TimePoint now, const Decision& decision);

/**
 * Writes a line.
 * @param topic Its subject.
 * @param severity Its weight.
 * @param pairs `key=value` pairs, beginning with `event=`.
 */
void LogLine(Topic topic, Severity severity, const std::string& pairs);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_LOG_FUNC_H_
