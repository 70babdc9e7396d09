/** @file target_type.h A service-level target of a class of work and the
 * measurements compared with it. */

#ifndef CUMINVANE_SHELL_TARGET_TYPE_H_
#define CUMINVANE_SHELL_TARGET_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>

namespace cuminvane {

/** Targets and measurements of one class, in the whole fleet or one data
 * centre; one line of `cuminvanectl targets`. */
struct TargetReport {
  std::string work_class;   ///< Name of the class.
  std::string data_centre;  ///< Name of the data centre; `all` for the fleet.
  int64_t latency_target_ms = 0;  ///< Time within which a request must have its
                                  ///< whole answer to count as in time.
  double target_percent = 0;  ///< Minimum share of requests answered in time.
  uint64_t requests = 0;      ///< Ended requests, whatever the outcome.
  uint64_t answered_in_time = 0;  ///< Requests answered within the target.
  /** Name of the most frequent result code of failed requests; empty if none
   * failed. */
  std::string most_common_failure;
  uint64_t failures = 0;       ///< Requests that ended without an answer.
  double imbalance_limit = 0;  ///< Maximum of `imbalance`, in percent.
  /** Excess of flows per slot at the service's busiest backend server over the
   * mean, in percent; unset if too few flows are open or for a single data
   * centre. */
  std::optional<double> imbalance;

  bool operator==(const TargetReport&) const = default;

  /** @return Share of requests answered in time, in percent; 100 if there were
   * no requests. */
  double AnsweredInTimePercent() const {
    constexpr double kPercent = 100;
    return this->requests == 0
               ? kPercent
               : kPercent * static_cast<double>(this->answered_in_time) /
                     static_cast<double>(this->requests);
  }

  /** @return Whether enough requests were answered in time. */
  bool MeetsLatencyTarget() const {
    return this->AnsweredInTimePercent() >= this->target_percent;
  }
  /** @return Whether the imbalance is within its limit or unknown. */
  bool MeetsImbalanceTarget() const {
    return this->imbalance.value_or(0) <= this->imbalance_limit;
  }
  /** @return Whether both targets are met. */
  bool MeetsTarget() const {
    return this->MeetsLatencyTarget() && this->MeetsImbalanceTarget();
  }

  /** @return Why a target is missed: a result code, `late_answers`,
   * `imbalance`; `none` if both targets are met. */
  std::string MissCause() const {
    if (this->MeetsLatencyTarget())
      return this->MeetsImbalanceTarget() ? "none" : "imbalance";
    const uint64_t late =
        this->requests - this->answered_in_time - this->failures;
    return late > this->failures ? "late_answers" : this->most_common_failure;
  }
};

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_TARGET_TYPE_H_
