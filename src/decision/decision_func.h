/** @file decision_func.h Text forms of decisions, topics and severities. */

#ifndef CUMINVANE_DECISION_DECISION_FUNC_H_
#define CUMINVANE_DECISION_DECISION_FUNC_H_

#include <optional>
#include <string>
#include <string_view>

#include "decision/decision_type.h"

namespace cuminvane {

/** @return The topic's word in settings and logs. */
const char* ToString(Topic topic);
/** @return The severity's word in settings and logs. */
const char* ToString(Severity severity);
/** @return The severity, or nothing where the word names none. */
std::optional<Severity> ParseSeverity(std::string_view name);
/** @return The topic, or nothing where the word names none. */
std::optional<Topic> ParseTopic(std::string_view name);

/**
 * @param decision Any decision.
 * @return `key=value` pairs in one line, without those that do not apply.
 */
std::string FormatDecision(const Decision& decision);

}  // namespace cuminvane

#endif  // CUMINVANE_DECISION_DECISION_FUNC_H_
