/** @file settings_table.h The sections and keys of a balancer's settings file.
 */

#ifndef CUMINVANE_TABLE_SETTINGS_TABLE_H_
#define CUMINVANE_TABLE_SETTINGS_TABLE_H_

#include <array>

#include "table/config_table.h"
#include "table/flow_limit_table.h"

namespace cuminvane {

inline constexpr std::array kSettingsSections = {
    SectionRow{"vm", false, true, "The VM this balancer runs on."},
    SectionRow{"listen", false, true, "Addresses it listens on."},
    SectionRow{"platform", false, true,
               "The platform's configuration service."},
    SectionRow{"log", false, false, "Least severity logged, by topic."},
    SectionRow{"requests", false, false, "Limits on requests."},
    SectionRow{"membership", false, false, "Heartbeats between balancers."},
    SectionRow{"flows", false, false, "Opaque flows."},
    SectionRow{"stop", false, false, "Graceful shutdown."},
};

/** Severities, least first. */
inline constexpr const char* kSeverityChoices = "debug|info|warning|error|off";

/** All but the limits of opaque flows. */
inline constexpr std::array kSettingsOwnKeys = {
    KeyRow{"vm", "id", ValueKind::kInteger, "0", 0, kMaxExactInteger, "",
           "Number of this VM in the platform's list; 0 takes the IPv4 address "
           "of listen.peer."},
    KeyRow{"vm", "incarnation", ValueKind::kInteger, "0", 0, kMaxExactInteger,
           "", "Number of this start; 0 takes the start time in microseconds."},
    KeyRow{"vm", "data_centre", ValueKind::kWord, nullptr, 0, 0, "",
           "Data centre of this VM."},
    KeyRow{"vm", "threads", ValueKind::kInteger, "2", 1, 64, "",
           "Threads that handle packets."},
    KeyRow{"vm", "shards", ValueKind::kInteger, "16", 1, 256, "",
           "Parts of the flow state, each under its own lock."},
    KeyRow{"listen", "fabric", ValueKind::kEndpoint, "", 0, 0, "",
           "For packets of callers that hold a token, UDP; with backend."},
    KeyRow{"listen", "backend", ValueKind::kEndpoint, "", 0, 0, "",
           "For answers of backend servers to flows with a token, UDP."},
    KeyRow{"listen", "packets", ValueKind::kEndpoint, "", 0, 0, "",
           "For packets of opaque flows, UDP."},
    KeyRow{"listen", "ready", ValueKind::kEndpoint, "", 0, 0, "",
           "Answers GET /ready with 200 while callers are served, else with "
           "503."},
    KeyRow{"listen", "metrics", ValueKind::kEndpoint, "", 0, 0, "",
           "Answers GET /metrics with counters and histograms as text."},
    KeyRow{"listen", "peer", ValueKind::kEndpoint, nullptr, 0, 0, "",
           "For other balancers, UDP."},
    KeyRow{"listen", "control", ValueKind::kEndpoint, "", 0, 0, "",
           "For operators, JSON-RPC over HTTP; its port is listened on at all "
           "addresses of the VM."},
    KeyRow{"listen", "control_port", ValueKind::kInteger, "0", 0, 65535, "",
           "The same, where only the port is named; 0: as in control."},
    KeyRow{"listen", "control_threads", ValueKind::kInteger, "2", 1, 16, "",
           "Threads that answer operators."},
    KeyRow{"platform", "address", ValueKind::kEndpoint, nullptr, 0, 0, "",
           "HTTP address of the configuration service."},
    KeyRow{"platform", "in_force_ms", ValueKind::kDecimal, "4000", 500, 600000,
           "",
           "Time within which a published change must be in force here, in "
           "milliseconds."},
    KeyRow{"platform", "watchers", ValueKind::kInteger, "3", 1, 1000, "",
           "Balancers that watch the platform; the others hear from them."},
    KeyRow{"platform", "pause_ms", ValueKind::kInteger, "700", 0, 600000, "",
           "Pause after changes were read, so that further ones come in one "
           "answer, in milliseconds; at most a quarter of in_force_ms."},
    KeyRow{"platform", "retry_ms", ValueKind::kInteger, "200", 10, 600000, "",
           "Pause after a failed read, in milliseconds, doubled up to a "
           "quarter of in_force_ms."},
    KeyRow{"log", "routing", ValueKind::kChoice, "info", 0, 0, kSeverityChoices,
           "Routing decisions."},
    KeyRow{"log", "placement", ValueKind::kChoice, "info", 0, 0,
           kSeverityChoices, "Placement decisions."},
    KeyRow{"log", "membership", ValueKind::kChoice, "info", 0, 0,
           kSeverityChoices, "Members that come and go."},
    KeyRow{"log", "config", ValueKind::kChoice, "info", 0, 0, kSeverityChoices,
           "Documents taken and refused."},
    KeyRow{"log", "input", ValueKind::kChoice, "warning", 0, 0,
           kSeverityChoices, "Bad input, at a limited rate."},
    KeyRow{"log", "process", ValueKind::kChoice, "info", 0, 0, kSeverityChoices,
           "Start and stop."},
    KeyRow{"log", "flow", ValueKind::kChoice, "info", 0, 0, kSeverityChoices,
           "Opaque flows placed, reset and dropped."},
    KeyRow{"log", "reach", ValueKind::kChoice, "info", 0, 0, kSeverityChoices,
           "Backend servers that go out of reach and come back."},
    KeyRow{"log", "lines_per_s", ValueKind::kInteger, "500", 1, 1000000, "",
           "Most lines logged in a second, of all topics; more are counted."},
    KeyRow{"log", "input_lines_per_s", ValueKind::kInteger, "10", 0, 10000, "",
           "Most lines of bad input logged in a second."},
    KeyRow{"requests", "deadline_limit_ms", ValueKind::kInteger, "60000", 100,
           3600000, "", "Furthest deadline accepted, in milliseconds ahead."},
    KeyRow{"requests", "records_per_flow", ValueKind::kInteger, "64", 1, 4096,
           "", "Most requests remembered for one flow."},
    KeyRow{"requests", "records_per_shard", ValueKind::kInteger, "65536", 16,
           16777216, "", "Most requests remembered in one shard."},
    KeyRow{"requests", "answer_limit_bytes", ValueKind::kInteger, "1048576",
           1024, 67108864, "",
           "Largest answer kept for one request, in bytes."},
    KeyRow{"requests", "accept_timeout_ms", ValueKind::kInteger, "100", 5,
           60000, "",
           "Wait for a backend server's acceptance, in milliseconds."},
    KeyRow{"requests", "witnessed", ValueKind::kBoolean, "yes", 0, 0, "",
           "Whether a second balancer is told of each non-idempotent request "
           "before it is sent, so that a balancer's death leaves few outcomes "
           "unknown; costs about 70 bytes a request."},
    KeyRow{"requests", "retry_percent", ValueKind::kInteger, "10", 0, 100, "",
           "Retries allowed, in percent of requests."},
    KeyRow{"membership", "peers", ValueKind::kEndpointList, "", 0, 0, "",
           "Other balancers asked at the start, besides those in the "
           "platform's list."},
    KeyRow{"membership", "probe_ms", ValueKind::kInteger, "250", 10, 60000, "",
           "Time between two probes, in milliseconds."},
    KeyRow{"membership", "probe_timeout_ms", ValueKind::kInteger, "60", 5,
           60000, "",
           "Wait for a direct answer before others are asked to probe, in "
           "milliseconds."},
    KeyRow{"membership", "suspicion_ms", ValueKind::kInteger, "800", 10, 600000,
           "", "Time a suspect has to refute, in milliseconds."},
    KeyRow{"membership", "peers_port", ValueKind::kInteger, "0", 0, 65535, "",
           "Port at which the peers are asked; 0: as they stand."},
    KeyRow{"flows", "shards", ValueKind::kInteger, "4", 1, 256, "",
           "Parts of the state of opaque flows, each under its own lock."},
    KeyRow{"flows", "remembered", ValueKind::kInteger, "262144", 1024, 16777216,
           "", "Most opaque flows remembered."},
    KeyRow{"stop", "grace_ms", ValueKind::kInteger, "30000", 0, 3600000, "",
           "Longest wait for requests in progress, in milliseconds."},
    KeyRow{"stop", "linger_ms", ValueKind::kInteger, "2000", 0, 600000, "",
           "Least time packets of moved flows are still answered, in "
           "milliseconds."},
};

inline constexpr auto kSettingsKeys =
    ConcatenateKeys(kSettingsOwnKeys, FlowLimitKeys("flows"));

inline constexpr Schema kSettingsSchema{kSettingsSections, kSettingsKeys};

}  // namespace cuminvane

#endif  // CUMINVANE_TABLE_SETTINGS_TABLE_H_
