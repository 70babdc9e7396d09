/** @file drop_func.h Log entries for dropped datagrams. */

#ifndef CUMINVANE_DECISION_DROP_FUNC_H_
#define CUMINVANE_DECISION_DROP_FUNC_H_

#include "decision/output_type.h"

namespace cuminvane {

/**
 * Reports a dropped datagram, so that it is logged and counted.
 * @param code Error for which the datagram was dropped.
 * @param source Kind of sender, one word, for example `peer`.
 * @param out Receives the log entry.
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
