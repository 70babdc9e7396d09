/** @file flow_limit_table.h The keys that decide about opaque flows, for every
 * file that may hold them. */

#ifndef CUMINVANE_TABLE_FLOW_LIMIT_TABLE_H_
#define CUMINVANE_TABLE_FLOW_LIMIT_TABLE_H_

#include <algorithm>
#include <array>

#include "base/schema_type.h"

namespace cuminvane {

/** @return The keys, in a section of that kind. */
constexpr auto FlowLimitKeys(const char* section) {
  return std::array{
      KeyRow{section, "check_wait_ms", ValueKind::kInteger, "150", 10, 60000,
             "",
             "Silence after which a checked backend server is out of reach, in "
             "milliseconds."},
      KeyRow{section, "check_pause_ms", ValueKind::kInteger, "400", 10, 60000,
             "",
             "Least time between two checks of one backend server, in "
             "milliseconds."},
      KeyRow{section, "recheck_ms", ValueKind::kInteger, "500", 10, 60000, "",
             "Time between checks of a backend server out of reach, in "
             "milliseconds."},
      KeyRow{section, "distrust_ms", ValueKind::kInteger, "500", 0, 60000, "",
             "Time without new flows after a backend server is back, in "
             "milliseconds, doubled with each loss in short succession."},
      KeyRow{section, "vanish_grace_ms", ValueKind::kInteger, "2000", 0, 60000,
             "",
             "Time in which an entry that has left the list may be back, in "
             "milliseconds; until then the backend server's flows tell whether "
             "it lives."},
      KeyRow{
          section, "open_depth", ValueKind::kInteger, "3", 0, 1000, "",
          "Unanswered requests for each slot of a backend server up to which "
          "new flows are opened on it; above, a caller's next copy of its "
          "opening packet is awaited. 0: no limit."},
      KeyRow{section, "copy_depth", ValueKind::kInteger, "1", 0, 1000, "",
             "The same for copies of an opening packet: where backend servers "
             "are busy, flows whose answer can still be in time go first. The "
             "last copy is placed in any case. 0: no limit."},
  };
}

/** @return The rows of both tables. */
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
