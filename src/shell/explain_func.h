/** @file explain_func.h Finds in the logs of balancers what happened to a flow
 * and why. */

#ifndef CUMINVANE_SHELL_EXPLAIN_FUNC_H_
#define CUMINVANE_SHELL_EXPLAIN_FUNC_H_

#include <string>
#include <string_view>
#include <vector>

namespace cuminvane {

/** Log lines that concern one flow and the cause of what happened to it. */
struct Explanation {
  std::vector<std::string> lines;  ///< Lines about the flow, its backend
                                   ///< servers and concurrent events of the
                                   ///< balancers, ordered by time.
  std::string cause;  ///< One sentence; empty if no line names the flow.

  bool operator==(const Explanation&) const = default;
};

/**
 * @param log Log lines of any number of balancers, in any order.
 * @param id Number of the flow, or its caller's address as `A.B.C.D:PORT`.
 * @return The explanation; without lines and cause if no line names the flow.
 */
Explanation ExplainFlow(std::string_view log, const std::string& id);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_EXPLAIN_FUNC_H_
