/** @file config_table.h The sections and keys of the operators' configuration
 * document. */

#ifndef CUMINVANE_TABLE_CONFIG_TABLE_H_
#define CUMINVANE_TABLE_CONFIG_TABLE_H_

#include <array>

#include "base/schema_type.h"

namespace cuminvane {

/** Largest version that survives a decimal reader with 53 bits. */
inline constexpr double kMaxExactInteger = 9007199254740991.0;

inline constexpr std::array kConfigSections = {
    SectionRow{"document", false, true, "What this document is."},
    SectionRow{"service", true, true, "A service that callers reach."},
    SectionRow{"class", true, true,
               "A class of work of one service, with its targets."},
    SectionRow{"change", true, false, "A planned change of the fleet."},
    SectionRow{"flows", false, false, "Limits of opaque flows."},
    SectionRow{"token-key", true, false,
               "A key for flow tokens; NAME is its number, the highest is the "
               "newest."},
};

inline constexpr std::array kConfigKeys = {
    KeyRow{
        "document", "version", ValueKind::kInteger, nullptr, 1,
        kMaxExactInteger, "",
        "Grows with every publication; the highest version seen is in force."},
    KeyRow{"service", "addresses", ValueKind::kEndpointList, "", 0, 0, "",
           "Addresses of callers that hold a token; no two services share "
           "one."},
    KeyRow{"service", "data_centres", ValueKind::kWordList, "", 0, 0, "",
           "Data centres whose backend servers take the service's work; none "
           "named: all."},
    KeyRow{"class", "service", ValueKind::kWord, nullptr, 0, 0, "",
           "Service the class belongs to."},
    KeyRow{"class", "addresses", ValueKind::kEndpointList, "", 0, 0, "",
           "Addresses of callers that hold no token; no two classes share "
           "one."},
    KeyRow{"class", "split", ValueKind::kWeightList, "", 0, 1000000, "",
           "Shares of the class's new opaque flows; none: all go to the "
           "service."},
    KeyRow{"class", "idempotent", ValueKind::kBoolean, nullptr, 0, 0, "",
           "Whether running a request twice does the same as once."},
    KeyRow{"class", "rank", ValueKind::kInteger, nullptr, 1, 100, "",
           "Importance under overload; 1 is served first."},
    KeyRow{"class", "answered_within_ms", ValueKind::kInteger, nullptr, 1,
           3600000, "", "Target: time to the whole answer, in milliseconds."},
    KeyRow{"class", "answered_percent", ValueKind::kDecimal, "99", 0, 100, "",
           "Target: share of requests answered within that time, in percent."},
    KeyRow{"class", "broken_flows_per_million", ValueKind::kDecimal, "0", 0,
           1000000, "", "Target: flows broken, per million."},
    KeyRow{"class", "imbalance_percent", ValueKind::kDecimal, "25", 0, 1000, "",
           "Target: busiest backend server's busy time above the mean, in "
           "percent."},
    KeyRow{
        "change", "kind", ValueKind::kChoice, nullptr, 0, 0, "drain|stop",
        "drain: takes no new work; stop: takes no new work, finishes, leaves."},
    KeyRow{"change", "vm", ValueKind::kInteger, "", 1, 4294967295.0, "",
           "VM it concerns; either this or data_centre."},
    KeyRow{"change", "data_centre", ValueKind::kWord, "", 0, 0, "",
           "Data centre it concerns; either this or vm."},
    KeyRow{"change", "begins_at", ValueKind::kTime, nullptr, 0, 0, "",
           "UTC time from which it holds."},
    KeyRow{"flows", "idle_ms", ValueKind::kInteger, "15000", 100, 86400000, "",
           "Idle time after which an opaque flow may be forgotten, in "
           "milliseconds."},
    KeyRow{"token-key", "secret", ValueKind::kHex, nullptr, 0, 32, "",
           "The key: 16 bytes in hexadecimal."},
};

inline constexpr Schema kConfigSchema{kConfigSections, kConfigKeys};

}  // namespace cuminvane

#endif  // CUMINVANE_TABLE_CONFIG_TABLE_H_
