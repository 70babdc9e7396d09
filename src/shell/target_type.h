/** @file target_type.h A class's target beside what was measured of it. */

#ifndef CUMINVANE_SHELL_TARGET_TYPE_H_
#define CUMINVANE_SHELL_TARGET_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>

namespace cuminvane {

/** One line of `cuminvanectl targets`. */
struct TargetReport {
  std::string work_class;
  std::string data_centre;        ///< `all` for the fleet.
  int64_t latency_target_ms = 0;  ///< Target: time to the whole answer.
  double target_percent = 0;
  uint64_t requests = 0;  ///< Ended, however.
  uint64_t answered_in_time = 0;
  std::string
      most_common_failure;     ///< Name of the code, empty where none failed.
  uint64_t failures = 0;       ///< Ended otherwise than answered.
  double imbalance_limit = 0;  ///< Target, in percent.
  std::optional<double> imbalance;  ///< Flows of the service's busiest backend
                                    ///< server for each slot, above the mean,
                                    ///< in percent; none where few are open.

  bool operator==(const TargetReport&) const = default;

  /** @return Share of requests answered in time, in percent; 100 where there
   * were none. */
  double AnsweredInTimePercent() const {
    constexpr double kPercent = 100;
    return this->requests == 0
               ? kPercent
               : kPercent * static_cast<double>(this->answered_in_time) /
                     static_cast<double>(this->requests);
  }

  /** @return Whether enough is answered in time. */
  bool MeetsLatencyTarget() const {
    return this->AnsweredInTimePercent() >= this->target_percent;
  }
  /** @return Whether the flows are spread evenly enough, as far as known. */
  bool MeetsImbalanceTarget() const {
    return this->imbalance.value_or(0) <= this->imbalance_limit;
  }
  /** @return Whether the target is met. */
  bool MeetsTarget() const {
    return this->MeetsLatencyTarget() && this->MeetsImbalanceTarget();
  }

  /** @return What stands in the way, in one word. */
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
