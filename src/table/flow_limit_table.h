/** @file flow_limit_table.h The keys that limit opaque flows and their health
 * checks; shared by the settings file and experiment files. */

#ifndef CUMINVANE_TABLE_FLOW_LIMIT_TABLE_H_
#define CUMINVANE_TABLE_FLOW_LIMIT_TABLE_H_

#include <algorithm>
#include <array>

#include "base/schema_type.h"

namespace cuminvane {

/**
 * @param section Kind of the section that contains the keys.
 * @return The rows for the schema's table of keys.
 */
constexpr auto FlowLimitKeys(const char* section) {
  return std::array{
      KeyRow{section, "check_wait_ms", ValueKind::kInteger, "150", 10, 60000,
             "",
             "Time-out of a health check, after which the backend server "
             "counts as unreachable, in milliseconds."},
      KeyRow{section, "check_pause_ms", ValueKind::kInteger, "400", 10, 60000,
             "",
             "Minimum interval between two health checks of one backend "
             "server, in milliseconds."},
      KeyRow{section, "recheck_ms", ValueKind::kInteger, "500", 10, 60000, "",
             "Interval of health checks of an unreachable backend server, in "
             "milliseconds."},
      KeyRow{section, "distrust_ms", ValueKind::kInteger, "500", 0, 60000, "",
             "Time without new flows after a backend server has become "
             "reachable again, in milliseconds; doubled with each further "
             "failure in short succession."},
      KeyRow{section, "vanish_grace_ms", ValueKind::kInteger, "2000", 0, 60000,
             "",
             "Grace period after an entry has disappeared from the VM list, in "
             "milliseconds. Until it ends, the backend server's flows show "
             "whether it is alive."},
      KeyRow{section, "open_depth", ValueKind::kInteger, "3", 0, 1000, "",
             "Unanswered requests per slot of a backend server up to which new "
             "flows are placed on it; above, the balancer waits for the caller "
             "to retransmit its opening packet. 0: no limit."},
      KeyRow{section, "copy_depth", ValueKind::kInteger, "1", 0, 1000, "",
             "As open_depth, for retransmissions of an opening packet: while "
             "backend servers are busy, flows whose answer can still be in "
             "time take precedence. The last retransmission is placed in any "
             "case. 0: no limit."},
      KeyRow{section, "adaptive_slow_start", ValueKind::kBoolean, "no", 0, 0,
             "",
             "Whether the answers of a backend server that has started or "
             "recovered decide how fast it gets new flows. no: half of its "
             "slots until cold_ms ends, and distrust_ms after a recovery."},
      KeyRow{section, "cold_over", ValueKind::kDecimal, "1", 0, 1000, "",
             "Factor of a service's cold_per_s: in any second the requests of "
             "all balancers to one cold backend server stay under cold_per_s x "
             "cold_over + cold_slack."},
      KeyRow{section, "cold_slack", ValueKind::kDecimal, "0", 0, 1000000, "",
             "Requests per second that a cold backend server gets in addition "
             "to cold_per_s x cold_over."},
      KeyRow{section, "share_load", ValueKind::kBoolean, "no", 0, 0, "",
             "Whether balancers report the speed and delay of backend servers "
             "to each other and place new flows by them."},
  };
}

/** @return The rows of the first table, followed by those of the second. */
template <size_t First, size_t Second>
constexpr std::array<KeyRow, First + Second> ConcatenateKeys(
    const std::array<KeyRow, First>& first,
    const std::array<KeyRow, Second>& second) {
  std::array<KeyRow, First + Second> all{};
  std::ranges::copy(first, all.begin());
  std::ranges::copy(second, all.begin() + First);
  return all;
}

}  // namespace cuminvane

#endif  // CUMINVANE_TABLE_FLOW_LIMIT_TABLE_H_
