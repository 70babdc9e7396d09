/** @file target_func.h Merges the balancers' histograms and compares them with
 * the targets. */

#ifndef CUMINVANE_SHELL_TARGET_FUNC_H_
#define CUMINVANE_SHELL_TARGET_FUNC_H_

#include <json/json.h>

#include <string>
#include <vector>

#include "shell/target_type.h"

namespace cuminvane {

/**
 * @param statuses Status of each balancer that answered.
 * @return One line for each class and the fleet, and one for each class and
 * data centre, in that order.
 */
std::vector<TargetReport> CompareTargets(
    const std::vector<Json::Value>& statuses);

/** @return The line as key=value pairs. */
std::string FormatTarget(const TargetReport& line);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_TARGET_FUNC_H_
