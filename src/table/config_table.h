/** @file config_table.h Schema of the configuration document, which operators
 * publish. */

#ifndef CUMINVANE_TABLE_CONFIG_TABLE_H_
#define CUMINVANE_TABLE_CONFIG_TABLE_H_

#include <array>

#include "base/schema_type.h"

namespace cuminvane {

/** 2^53 - 1, the largest integer up to which a double (and thus every JSON
 * reader) represents all integers exactly. Upper bound of versions, VM ids,
 * incarnations and seeds. */
inline constexpr double kMaxExactInteger = 9007199254740991.0;

inline constexpr std::array kConfigSections = {
    SectionRow{"document", false, true, "Version of the document."},
    SectionRow{
        "service", true, false,
        "A service that callers can use. At least one is required unless "
        "document.allow_empty is yes."},
    SectionRow{"class", true, false,
               "A class of work of one service, with its targets. At least one "
               "is required unless document.allow_empty is yes."},
    SectionRow{"change", true, false, "A planned drain or stop of VMs."},
    SectionRow{"flows", false, false, "Limits of opaque flows."},
    SectionRow{"token-key", true, false,
               "A key for flow tokens. NAME is its number; new tokens are made "
               "with the highest."},
};

inline constexpr std::array kConfigKeys = {
    KeyRow{"document", "version", ValueKind::kInteger, nullptr, 1,
           kMaxExactInteger, "",
           "Must grow with every publication; the highest version seen is "
           "active."},
    KeyRow{"document", "allow_empty", ValueKind::kBoolean, "no", 0, 0, "",
           "Whether the document may have no service or no class; it then ends "
           "the flows of all classes."},
    KeyRow{"service", "addresses", ValueKind::kEndpointList, "", 0, 0, "",
           "Addresses for callers with a token; each address belongs to at "
           "most one service."},
    KeyRow{"service", "data_centres", ValueKind::kWordList, "", 0, 0, "",
           "Data centres whose backend servers serve the service. Empty: all."},
    KeyRow{"service", "cold_ms", ValueKind::kInteger, "0", 0, 86400000, "",
           "How long a backend server is cold after its start, in "
           "milliseconds. For the record: its entry in the list of VMs decides "
           "when that time ends."},
    KeyRow{"service", "cold_per_s", ValueKind::kDecimal, "0", 0, 1000000, "",
           "Requests per second that a cold backend server can take from all "
           "balancers together; see flows.cold_over and flows.cold_slack of "
           "the settings. 0: no limit."},
    KeyRow{"class", "service", ValueKind::kWord, nullptr, 0, 0, "",
           "Service that the class belongs to."},
    KeyRow{"class", "addresses", ValueKind::kEndpointList, "", 0, 0, "",
           "Addresses for callers without a token; each address belongs to at "
           "most one class."},
    KeyRow{"class", "split", ValueKind::kWeightList, "", 0, 1000000, "",
           "Services with the weights by which the class's new opaque flows "
           "are split among them. Empty: all go to the class's own service."},
    KeyRow{"class", "idempotent", ValueKind::kBoolean, nullptr, 0, 0, "",
           "Whether running a request twice has the same effect as running it "
           "once."},
    KeyRow{"class", "rank", ValueKind::kInteger, nullptr, 1, 100, "",
           "Priority under overload; 1 is the highest."},
    KeyRow{"class", "answered_within_ms", ValueKind::kInteger, nullptr, 1,
           3600000, "", "Target: time to the whole answer, in milliseconds."},
    KeyRow{"class", "answered_percent", ValueKind::kDecimal, "99", 0, 100, "",
           "Target: share of requests answered within answered_within_ms, in "
           "percent."},
    KeyRow{"class", "broken_flows_per_million", ValueKind::kDecimal, "0", 0,
           1000000, "", "Target: broken flows per million flows."},
    KeyRow{"class", "imbalance_percent", ValueKind::kDecimal, "25", 0, 1000, "",
           "Target: by how much the busy time of the busiest backend server "
           "exceeds the mean, in percent."},
    KeyRow{"change", "kind", ValueKind::kChoice, nullptr, 0, 0, "drain|stop",
           "drain: the VM accepts no new work. stop: the VM accepts no new "
           "work, finishes its work and leaves."},
    KeyRow{"change", "vm", ValueKind::kInteger, "", 1, 4294967295.0, "",
           "VM that the change applies to; give either this or data_centre."},
    KeyRow{"change", "data_centre", ValueKind::kWord, "", 0, 0, "",
           "Data centre that the change applies to; give either this or vm."},
    KeyRow{"change", "begins_at", ValueKind::kTime, nullptr, 0, 0, "",
           "Time from which the change applies, in UTC."},
    KeyRow{"flows", "idle_ms", ValueKind::kInteger, "15000", 100, 86400000, "",
           "Idle time after which an opaque flow may be removed, in "
           "milliseconds."},
    KeyRow{"token-key", "secret", ValueKind::kHex, nullptr, 0, 32, "",
           "The key, 16 bytes in hexadecimal."},
};

inline constexpr Schema kConfigSchema{kConfigSections, kConfigKeys};

}  // namespace cuminvane

#endif  // CUMINVANE_TABLE_CONFIG_TABLE_H_
