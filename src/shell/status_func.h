/** @file status_func.h Formats a balancer's status as JSON and its metrics as
 * text. */

#ifndef CUMINVANE_SHELL_STATUS_FUNC_H_
#define CUMINVANE_SHELL_STATUS_FUNC_H_

#include <json/json.h>

#include <map>
#include <string>
#include <vector>

#include "document/settings_type.h"
#include "member/blackboard_base.h"
#include "packet/evacuation_base.h"
#include "packet/pool_type.h"
#include "request/token_plane_base.h"
#include "shell/metrics_base.h"

namespace cuminvane {

/**
 * @param blackboard Snapshot of the shared state: documents, members, own
 * state.
 * @param load Numbers of flows and requests.
 * @param backends Backend servers of requests.
 * @param opaque_backends Backend servers of opaque flows.
 * @param evacuations Evacuated data centres.
 * @param metrics Counters, merged over all threads.
 * @param settings Settings of the process.
 * @param now Current time.
 * @return The status as one line of JSON.
 */
std::string FormatStatus(const BlackboardView& blackboard,
                         const TokenPlaneLoad& load,
                         const std::map<VmId, BackendState>& backends,
                         const std::map<VmId, PoolMember>& opaque_backends,
                         const std::vector<EvacuatedDataCentre>& evacuations,
                         const Metrics& metrics,
                         const Settings& settings,
                         TimePoint now);

/**
 * @param blackboard Snapshot of the shared state: documents and members.
 * @param flows Number of opaque flows in the flow table.
 * @param backends Backend servers of opaque flows.
 * @param evacuations Evacuated data centres.
 * @param load_reports Counters of load reports.
 * @param metrics Counters, merged over all threads.
 * @param now The current time.
 * @return Counters and histograms in the Prometheus text format.
 */
std::string FormatMetrics(const BlackboardView& blackboard,
                          size_t flows,
                          const std::map<VmId, PoolMember>& backends,
                          const std::vector<EvacuatedDataCentre>& evacuations,
                          const ServerLoadCounters& load_reports,
                          const Metrics& metrics,
                          TimePoint now);

/**
 * @param text Text to parse.
 * @param value Receives the parsed value.
 * @return Whether the text is valid JSON.
 */
bool ParseJson(const std::string& text, Json::Value& value);

/** @return The value as one line of JSON. */
std::string WriteJson(const Json::Value& value);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_STATUS_FUNC_H_
