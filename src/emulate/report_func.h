/** @file report_func.h What runs came to: figures, JSON, and a page with plots.
 */

#ifndef CUMINVANE_EMULATE_REPORT_FUNC_H_
#define CUMINVANE_EMULATE_REPORT_FUNC_H_

#include <map>
#include <string>
#include <vector>

#include "emulate/world_base.h"

namespace cuminvane::emulate {

/** What one kind of request came to. */
struct KindReport {
  size_t asked = 0;
  size_t in_target = 0;
  size_t late = 0;
  size_t shed = 0;
  size_t cut = 0;
  size_t deadline = 0;
  double worth = 0;  ///< Earned / owed.
  double p50_ms = 0;
  double p99_ms = 0;
};

/** What the requests of one stretch of time came to. */
struct WindowReport {
  double from_s = 0;
  double worth = 0;
  double p50_ms = 0;
  double p99_ms = 0;
};

/** What one run came to. */
struct RunReport {
  std::string variant;
  uint64_t seed = 0;
  double worth = 0;
  double worst_window = 0;
  double single_queue_earned_share =
      0;                           ///< With one queue before all slots, and no
  double single_queue_p99_ms = 0;  ///< faults: no placement can do better.
  std::map<std::string, KindReport> kinds;
  std::vector<WindowReport> windows;
  std::map<std::string, double> imbalance;  ///< Busiest / mean, by service.
  std::vector<InvariantViolation> violations;
  uint64_t resets = 0;
  uint64_t checks = 0;
  double peer_bytes_per_s = 0;  ///< Of one balancer, during the load.
  double start_bytes = 0;       ///< Of one balancer, at the start of the fleet.
};

/** @return The figures of one run. */
RunReport Summarize(const Experiment& experiment,
                    const Variant& variant,
                    const WorldResult& result);

/** @return One `figure=` line for each figure. */
std::string FormatText(const std::vector<RunReport>& reports);
/** @return All figures as one JSON array. */
std::string FormatJson(const std::vector<RunReport>& reports);
/** @return A page with plots that needs nothing else. */
std::string FormatHtml(const Experiment& experiment,
                       const std::vector<RunReport>& reports);

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_REPORT_FUNC_H_
