/** @file vmlist_table.h Schema of the VM list, which the platform publishes. */

#ifndef CUMINVANE_TABLE_VMLIST_TABLE_H_
#define CUMINVANE_TABLE_VMLIST_TABLE_H_

#include <array>

#include "table/config_table.h"

namespace cuminvane {

inline constexpr std::array kVmListSections = {
    SectionRow{"list", false, true, "Version of the list."},
    SectionRow{"vm", true, false, "A VM; NAME is its number."},
    SectionRow{"evacuation", true, false,
               "A data centre that gets no new flows until the section is "
               "removed; NAME is the data centre. Its servers are neither "
               "leaving nor stopping, and open flows continue."},
};

inline constexpr std::array kVmListKeys = {
    KeyRow{"list", "version", ValueKind::kInteger, nullptr, 1, kMaxExactInteger,
           "", "Must grow with every change of the list."},
    KeyRow{"vm", "incarnation", ValueKind::kInteger, nullptr, 1,
           kMaxExactInteger, "", "Must grow with every start of the VM."},
    KeyRow{"vm", "role", ValueKind::kChoice, nullptr, 0, 0, "balancer|backend",
           "Process that runs on the VM."},
    KeyRow{"vm", "service", ValueKind::kWord, "", 0, 0, "",
           "For a backend server: its service."},
    KeyRow{"vm", "data_centre", ValueKind::kWord, nullptr, 0, 0, "",
           "Data centre of the VM."},
    KeyRow{"vm", "address", ValueKind::kEndpoint, nullptr, 0, 0, "",
           "Address of a backend server for work, or of a balancer for packets "
           "from the fabric."},
    KeyRow{"vm", "peer_address", ValueKind::kEndpoint, "", 0, 0, "",
           "Address of a balancer for other balancers."},
    KeyRow{"vm", "control_address", ValueKind::kEndpoint, "", 0, 0, "",
           "Address of a balancer for JSON-RPC."},
    KeyRow{"vm", "state", ValueKind::kChoice, "live", 0, 0, "live|leaving",
           "Whether the VM is about to leave."},
    KeyRow{"vm", "slots", ValueKind::kInteger, "1", 1, 1000000, "",
           "Requests that a backend server runs concurrently."},
    KeyRow{"vm", "cold_ms", ValueKind::kInteger, "0", 0, 3600000, "",
           "Remaining slow-start time of a backend server, in milliseconds."},
    KeyRow{"evacuation", "reason", ValueKind::kWord, "operator", 0, 0, "",
           "Who requested the evacuation, for operators."},
};

inline constexpr Schema kVmListSchema{kVmListSections, kVmListKeys};

}  // namespace cuminvane

#endif  // CUMINVANE_TABLE_VMLIST_TABLE_H_
