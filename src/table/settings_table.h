/** @file settings_table.h Schema of a balancer's settings file. */

#ifndef CUMINVANE_TABLE_SETTINGS_TABLE_H_
#define CUMINVANE_TABLE_SETTINGS_TABLE_H_

#include <array>

#include "table/config_table.h"
#include "table/flow_limit_table.h"

namespace cuminvane {

inline constexpr std::array kSettingsSections = {
    SectionRow{"vm", false, true, "The VM that the balancer runs on."},
    SectionRow{"listen", false, true,
               "Addresses that the balancer listens on."},
    SectionRow{"platform", false, true,
               "The platform's configuration service."},
    SectionRow{"documents", false, false,
               "Transfer of documents between balancers."},
    SectionRow{"log", false, false,
               "Lowest severity that is logged, by topic."},
    SectionRow{"requests", false, false, "Limits and retries of requests."},
    SectionRow{"membership", false, false,
               "Failure detection between balancers."},
    SectionRow{
        "flows", false, false,
        "Limits of opaque flows and health checks of their backend servers."},
    SectionRow{"stop", false, false, "Graceful shutdown."},
};

/** Severities of log lines for ValueKind::kChoice, lowest first. */
inline constexpr const char* kSeverityChoices = "debug|info|warning|error|off";

/** All keys but the limits of opaque flows, which FlowLimitKeys() gives. */
inline constexpr std::array kSettingsSpecificKeys = {
    KeyRow{"vm", "id", ValueKind::kInteger, "0", 0, kMaxExactInteger, "",
           "Number of this VM in the platform's list. 0: the IPv4 address of "
           "listen.peer as a number."},
    KeyRow{"vm", "incarnation", ValueKind::kInteger, "0", 0, kMaxExactInteger,
           "",
           "Number of this start of the process, higher than that of any "
           "earlier one. 0: the start time in microseconds."},
    KeyRow{"vm", "data_centre", ValueKind::kWord, nullptr, 0, 0, "",
           "Data centre of this VM."},
    KeyRow{"vm", "threads", ValueKind::kInteger, "2", 1, 64, "",
           "Number of threads that handle packets."},
    KeyRow{"vm", "shards", ValueKind::kInteger, "16", 1, 256, "",
           "Number of partitions of the flow state, each with its own lock."},
    KeyRow{
        "listen", "fabric", ValueKind::kEndpoint, "", 0, 0, "",
        "UDP address for packets of callers with a token; requires backend."},
    KeyRow{"listen", "backend", ValueKind::kEndpoint, "", 0, 0, "",
           "UDP address for answers of backend servers in flows with a token."},
    KeyRow{"listen", "packets", ValueKind::kEndpoint, "", 0, 0, "",
           "UDP address for packets of opaque flows."},
    KeyRow{"listen", "ready", ValueKind::kEndpoint, "", 0, 0, "",
           "HTTP address; GET /ready gives status 200 while callers are "
           "served, otherwise 503."},
    KeyRow{"listen", "metrics", ValueKind::kEndpoint, "", 0, 0, "",
           "HTTP address; GET /metrics gives counters and histograms as text."},
    KeyRow{"listen", "peer", ValueKind::kEndpoint, nullptr, 0, 0, "",
           "UDP address for messages of other balancers."},
    KeyRow{"listen", "control", ValueKind::kEndpoint, "", 0, 0, "",
           "Address for operators, JSON-RPC over HTTP. The balancer listens on "
           "its port at all addresses of the VM."},
    KeyRow{"listen", "control_port", ValueKind::kInteger, "0", 0, 65535, "",
           "Port for operators, as an alternative to control. 0: the port in "
           "control."},
    KeyRow{"listen", "control_threads", ValueKind::kInteger, "2", 1, 16, "",
           "Number of threads that answer operators."},
    KeyRow{"platform", "address", ValueKind::kEndpoint, nullptr, 0, 0, "",
           "HTTP address of the configuration service."},
    KeyRow{"platform", "in_force_ms", ValueKind::kDecimal, "4000", 500, 600000,
           "",
           "Time within which a published change must be active on this "
           "balancer, in milliseconds."},
    KeyRow{
        "platform", "evacuated_within_ms", ValueKind::kDecimal, "0", 0, 600000,
        "",
        "Time within which an evacuated data centre must get no new flows "
        "from this balancer, in milliseconds; a change must be active within "
        "the shorter of this and in_force_ms. 0: not stated."},
    KeyRow{"platform", "watchers", ValueKind::kInteger, "2", 1, 1000, "",
           "Number of balancers that watch the platform and pass changes on to "
           "the others. A data centre with eight balancers or more has one of "
           "its own instead, if there are other data centres."},
    KeyRow{
        "platform", "pause_ms", ValueKind::kInteger, "700", 0, 600000, "",
        "Pause after a read of changes, so that the next read returns several "
        "changes at once, in milliseconds; at most a quarter of in_force_ms."},
    KeyRow{"platform", "retry_ms", ValueKind::kInteger, "200", 10, 600000, "",
           "Pause after a failed read, in milliseconds; doubled after each "
           "further failure, up to a quarter of in_force_ms."},
    KeyRow{
        "documents", "link_mbps", ValueKind::kDecimal, "0", 0, 1000000, "",
        "Rate of this VM's network link, in megabits per second. 0: unknown, "
        "and transfers of documents are not limited."},
    KeyRow{"documents", "link_percent", ValueKind::kInteger, "25", 1, 100, "",
           "Maximum share of the link that is used for sending documents to "
           "other balancers, in percent."},
    KeyRow{"log", "routing", ValueKind::kChoice, "info", 0, 0, kSeverityChoices,
           "Routing decisions."},
    KeyRow{"log", "placement", ValueKind::kChoice, "info", 0, 0,
           kSeverityChoices, "Placement decisions."},
    KeyRow{"log", "membership", ValueKind::kChoice, "info", 0, 0,
           kSeverityChoices, "Balancers that join, fail or leave."},
    KeyRow{"log", "config", ValueKind::kChoice, "info", 0, 0, kSeverityChoices,
           "Documents accepted and refused."},
    KeyRow{"log", "input", ValueKind::kChoice, "warning", 0, 0,
           kSeverityChoices, "Invalid input, at a limited rate."},
    KeyRow{"log", "process", ValueKind::kChoice, "info", 0, 0, kSeverityChoices,
           "Start and stop of the process."},
    KeyRow{"log", "flow", ValueKind::kChoice, "info", 0, 0, kSeverityChoices,
           "Opaque flows placed, reset and dropped."},
    KeyRow{"log", "reach", ValueKind::kChoice, "info", 0, 0, kSeverityChoices,
           "Backend servers that become unreachable or reachable."},
    KeyRow{"log", "lines_per_s", ValueKind::kInteger, "500", 1, 1000000, "",
           "Limit of log lines per second over all topics; further lines are "
           "dropped and counted."},
    KeyRow{"log", "input_lines_per_s", ValueKind::kInteger, "10", 0, 10000, "",
           "Limit of log lines per second about invalid input."},
    KeyRow{"requests", "deadline_limit_ms", ValueKind::kInteger, "60000", 100,
           3600000, "",
           "Longest time from now to a request's deadline that is accepted, in "
           "milliseconds."},
    KeyRow{"requests", "records_per_flow", ValueKind::kInteger, "64", 1, 4096,
           "", "Limit of request records for one flow."},
    KeyRow{"requests", "records_per_shard", ValueKind::kInteger, "65536", 16,
           16777216, "", "Limit of request records in one shard."},
    KeyRow{"requests", "answer_limit_bytes", ValueKind::kInteger, "1048576",
           1024, 67108864, "", "Limit of the answer of one request, in bytes."},
    KeyRow{
        "requests", "accept_timeout_ms", ValueKind::kInteger, "100", 5, 60000,
        "",
        "Time-out for a backend server to accept a dispatch, in milliseconds."},
    KeyRow{"requests", "witnessed", ValueKind::kBoolean, "yes", 0, 0, "",
           "Whether a second balancer is notified of each non-idempotent "
           "request before it is dispatched, so that the failure of a balancer "
           "leaves few outcomes unknown. Costs about 70 bytes a request."},
    KeyRow{"requests", "retry_percent", ValueKind::kInteger, "10", 0, 100, "",
           "Retry budget, in percent of requests."},
    KeyRow{"membership", "peers", ValueKind::kEndpointList, "", 0, 0, "",
           "Seed peers: balancers contacted at the start, in addition to those "
           "in the platform's list."},
    KeyRow{"membership", "probe_ms", ValueKind::kInteger, "250", 10, 60000, "",
           "Interval of probes (heartbeats), in milliseconds."},
    KeyRow{"membership", "probe_timeout_ms", ValueKind::kInteger, "60", 5,
           60000, "",
           "Time-out of a direct probe, in milliseconds; then other balancers "
           "are asked to probe the same member."},
    KeyRow{"membership", "suspicion_ms", ValueKind::kInteger, "800", 10, 600000,
           "",
           "Time that a suspected member has to refute the suspicion, in "
           "milliseconds."},
    KeyRow{"membership", "peers_port", ValueKind::kInteger, "0", 0, 65535, "",
           "Port used for all seed peers instead of the port in their "
           "addresses. 0: the port in their addresses."},
    KeyRow{"flows", "shards", ValueKind::kInteger, "4", 1, 256, "",
           "Number of partitions of the state of opaque flows, each with its "
           "own lock."},
    KeyRow{"flows", "remembered", ValueKind::kInteger, "262144", 1024, 16777216,
           "", "Limit of opaque flows that are kept."},
    KeyRow{"stop", "grace_ms", ValueKind::kInteger, "30000", 0, 3600000, "",
           "Longest time that a stop waits for requests in progress, in "
           "milliseconds."},
    KeyRow{"stop", "linger_ms", ValueKind::kInteger, "2000", 0, 600000, "",
           "Shortest time for which a stopping balancer still answers packets "
           "of moved flows, in milliseconds."},
};

inline constexpr auto kSettingsKeys =
    ConcatenateKeys(kSettingsSpecificKeys, FlowLimitKeys("flows"));

inline constexpr Schema kSettingsSchema{kSettingsSections, kSettingsKeys};

}  // namespace cuminvane

#endif  // CUMINVANE_TABLE_SETTINGS_TABLE_H_
