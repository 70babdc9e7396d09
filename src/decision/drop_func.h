/** @file drop_func.h Notes datagrams that are not acted on. */

#ifndef CUMINVANE_DECISION_DROP_FUNC_H_
#define CUMINVANE_DECISION_DROP_FUNC_H_

#include "decision/output_type.h"

namespace cuminvane {

/**
 * Logs and counts a datagram that is not acted on.
 * @param code Why.
 * @param source Where it came from, in one word.
 * @param out Receives the decision.
 */
inline void ReportDrop(ResultCode code, const char* source, Output& out) {
  Decision decision;
  decision.topic = Topic::kInput;
  decision.severity = Severity::kWarning;
  decision.event = "drop";
  decision.reason = source;
  decision.code = code;
  out.decisions.push_back(decision);
}

}  // namespace cuminvane

#endif  // CUMINVANE_DECISION_DROP_FUNC_H_
