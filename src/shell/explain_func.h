/** @file explain_func.h Walks from a flow to what happened to it, in the logs
 * of balancers. */

#ifndef CUMINVANE_SHELL_EXPLAIN_FUNC_H_
#define CUMINVANE_SHELL_EXPLAIN_FUNC_H_

#include <string>
#include <string_view>
#include <vector>

namespace cuminvane {

/** What the logs say of one flow. */
struct Explanation {
  std::vector<std::string> lines;  ///< Of the flow, its backend servers, and
                                   ///< what else was wrong then; by time.
  std::string cause;               ///< One sentence; empty: flow not found.

  bool operator==(const Explanation&) const = default;
};

/**
 * @param log Lines of any number of balancers.
 * @param id A flow's number, or its caller's `A.B.C.D:PORT`.
 */
Explanation ExplainFlow(std::string_view log, const std::string& id);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_EXPLAIN_FUNC_H_
