/** @file report_func.h Summarises runs and formats the summaries as text, JSON
 * and HTML. */

#ifndef CUMINVANE_EMULATE_REPORT_FUNC_H_
#define CUMINVANE_EMULATE_REPORT_FUNC_H_

#include <map>
#include <string>
#include <vector>

#include "emulate/world_base.h"

namespace cuminvane::emulate {

/** Summary of the requests of one kind. */
struct KindReport {
  size_t requests = 0;
  size_t in_target = 0;        ///< Answered within the target.
  size_t late = 0;             ///< Answered after the target.
  size_t shed = 0;             ///< Refused by full backend servers.
  size_t failed = 0;           ///< Flow lost, or failure reported.
  size_t deadline_passed = 0;  ///< Not answered before the deadline, or still
                               ///< pending at the end of the run.
  double earned_share = 0;  ///< Value of the answers, as a share of the value
                            ///< if all requests were answered in target.
  double p50_ms = 0;        ///< Median answer time; 0 if nothing was answered.
  /** 99th percentile of answer times; 0 if nothing was answered. */
  double p99_ms = 0;
};

/** Summary of the requests issued in one window of time. */
struct WindowReport {
  double from_s = 0;  ///< Start of the window, from the start of the load.
  double earned_share = 0;  ///< As a share of the value if all requests were
                            ///< answered in target.
  double p50_ms = 0;        ///< Median answer time; 0 if nothing was answered.
  /** 99th percentile of answer times; 0 if nothing was answered. */
  double p99_ms = 0;
};

/** Summary of one run. */
struct RunReport {
  std::string variant;
  uint64_t seed = 0;
  double earned_share = 0;  ///< Value of all answers, as a share of the value
                            ///< if all requests were answered in target.
  /** Lowest earned share of all windows. */
  double worst_window_earned_share = 0;
  double single_queue_earned_share = 0;  ///< Bound for any placement, see
                                         ///< SimulateSingleQueue().
  double single_queue_p99_ms = 0;  ///< 99th percentile of answer times in the
                                   ///< same simulation, in milliseconds.
  std::map<std::string, KindReport> kinds;
  std::vector<WindowReport> windows;  ///< In order of time; windows without
                                      ///< requests are left out.
  uint64_t sheds = 0;  ///< Attempts that full backend servers refused.
  std::map<std::string, double> imbalance;  ///< By service: slot time of the
                                            ///< busiest backend server / mean.
  std::vector<InvariantViolation> violations;
  uint64_t resets = 0;          ///< Resets sent by balancers.
  uint64_t checks = 0;          ///< Health checks by balancers.
  double peer_bytes_per_s = 0;  ///< Bytes that a balancer sends to others
                                ///< during the load, mean of all balancers.
  double start_bytes = 0;  ///< Bytes that a balancer sends to others before
                           ///< the load, mean of all balancers.
};

/** @return The summary of one run. */
RunReport Summarize(const Experiment& experiment,
                    const Variant& variant,
                    const WorldResult& result);

/** @return One `figure=` line for each figure, and one `broken` line for each
 * violation. */
std::string FormatText(const std::vector<RunReport>& reports);
/** @return All figures as one JSON array. */
std::string FormatJson(const std::vector<RunReport>& reports);
/** @return A self-contained HTML page with tables and plots. */
std::string FormatHtml(const Experiment& experiment,
                       const std::vector<RunReport>& reports);

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_REPORT_FUNC_H_
