/** @file target_func.h Merges the measurements of several balancers and
 * compares them with the targets of the classes. */

#ifndef CUMINVANE_SHELL_TARGET_FUNC_H_
#define CUMINVANE_SHELL_TARGET_FUNC_H_

#include <json/json.h>

#include <string>
#include <vector>

#include "shell/target_type.h"

namespace cuminvane {

/**
 * @param statuses JSON status of each balancer that answered.
 * @return First a report per class for the whole fleet, then one per class and
 * data centre.
 */
std::vector<TargetReport> CompareTargets(
    const std::vector<Json::Value>& statuses);

/** @return The report as a line of key=value pairs. */
std::string FormatTarget(const TargetReport& report);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_TARGET_FUNC_H_
