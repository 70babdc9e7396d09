/** @file vmlist_table.h The sections and keys of the platform's list of VMs. */

#ifndef CUMINVANE_TABLE_VMLIST_TABLE_H_
#define CUMINVANE_TABLE_VMLIST_TABLE_H_

#include <array>

#include "table/config_table.h"

namespace cuminvane {

inline constexpr std::array kVmListSections = {
    SectionRow{"list", false, true, "What this list is."},
    SectionRow{"vm", true, false, "A VM; NAME is its number."},
};

inline constexpr std::array kVmListKeys = {
    KeyRow{"list", "version", ValueKind::kInteger, nullptr, 1, kMaxExactInteger,
           "", "Grows with every change of the list."},
    KeyRow{"vm", "incarnation", ValueKind::kInteger, nullptr, 1,
           kMaxExactInteger, "", "Grows with every start of the VM."},
    KeyRow{"vm", "role", ValueKind::kChoice, nullptr, 0, 0, "balancer|backend",
           "What runs on it."},
    KeyRow{"vm", "service", ValueKind::kWord, "", 0, 0, "",
           "For a backend server: the service it serves."},
    KeyRow{"vm", "data_centre", ValueKind::kWord, nullptr, 0, 0, "",
           "Where it is."},
    KeyRow{"vm", "address", ValueKind::kEndpoint, nullptr, 0, 0, "",
           "A backend server's address for work, a balancer's for packets from "
           "the fabric."},
    KeyRow{"vm", "peer_address", ValueKind::kEndpoint, "", 0, 0, "",
           "A balancer's address for other balancers."},
    KeyRow{"vm", "control_address", ValueKind::kEndpoint, "", 0, 0, "",
           "A balancer's JSON-RPC address."},
    KeyRow{"vm", "state", ValueKind::kChoice, "live", 0, 0, "live|leaving",
           "Whether it is about to go."},
    KeyRow{"vm", "slots", ValueKind::kInteger, "1", 1, 1000000, "",
           "Requests that a backend server runs at the same time."},
    KeyRow{"vm", "cold_ms", ValueKind::kInteger, "0", 0, 3600000, "",
           "How much longer a backend server is slow after its start, in "
           "milliseconds."},
};

inline constexpr Schema kVmListSchema{kVmListSections, kVmListKeys};

}  // namespace cuminvane

#endif  // CUMINVANE_TABLE_VMLIST_TABLE_H_
