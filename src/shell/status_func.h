/** @file status_func.h A balancer's status as JSON. */

#ifndef CUMINVANE_SHELL_STATUS_FUNC_H_
#define CUMINVANE_SHELL_STATUS_FUNC_H_

#include <json/json.h>

#include <map>
#include <string>

#include "document/settings_type.h"
#include "member/blackboard_base.h"
#include "packet/pool_type.h"
#include "request/token_plane_base.h"
#include "shell/metrics_base.h"

namespace cuminvane {

/** @return The status as one JSON object. */
std::string FormatStatus(const BlackboardView& blackboard,
                         const TokenPlaneLoad& load,
                         const std::map<VmId, BackendState>& backends,
                         const std::map<VmId, PoolMember>& pool,
                         const Metrics& metrics,
                         const Settings& settings,
                         TimePoint now);

/** @return Counters and histograms in the usual text format of metrics. */
std::string FormatMetrics(const BlackboardView& blackboard,
                          size_t flows,
                          const std::map<VmId, PoolMember>& backends,
                          const Metrics& metrics);

/** @return Whether the text is JSON; it is then in `value`. */
bool ParseJson(const std::string& text, Json::Value& value);

/** @return The value as one line. */
std::string WriteJson(const Json::Value& value);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_STATUS_FUNC_H_
