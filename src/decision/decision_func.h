/** @file decision_func.h Text forms of decisions, topics and severities. */

#ifndef CUMINVANE_DECISION_DECISION_FUNC_H_
#define CUMINVANE_DECISION_DECISION_FUNC_H_

#include <optional>
#include <string>
#include <string_view>

#include "decision/decision_type.h"

namespace cuminvane {

/** @return Name of the topic in settings and logs. */
const char* ToString(Topic topic);
/** @return Name of the severity in settings and logs. */
const char* ToString(Severity severity);
/** @return The severity, or nothing if the name is unknown. */
std::optional<Severity> ParseSeverity(std::string_view name);
/** @return The topic, or nothing if the name is unknown. */
std::optional<Topic> ParseTopic(std::string_view name);

/**
 * @param decision Any decision.
 * @return One line of `key=value` pairs; fields without a value are left out.
 */
std::string FormatDecision(const Decision& decision);

}  // namespace cuminvane

#endif  // CUMINVANE_DECISION_DECISION_FUNC_H_
