/** @file open_check_func.h Checks that leaving backend servers get no new
 * flows. */

#ifndef CUMINVANE_TESTS_SOAK_OPEN_CHECK_FUNC_H_
#define CUMINVANE_TESTS_SOAK_OPEN_CHECK_FUNC_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "standin/record_func.h"

namespace cuminvane::soak {

/** Time within which a change in the store must be in force at each balancer.
 */
inline constexpr Milliseconds kInForceLimit{3000};
/** Time after the store was unstable or restored in which a change may not be
 * in force. */
inline constexpr Milliseconds kStoreTolerance = kInForceLimit + Seconds(4);

/** A time in which flows may be opened at leaving backend servers. */
struct Disturbance {
  std::optional<size_t> balancer;  ///< Disturbed balancer; no value: all.
  std::optional<size_t> server;    ///< Disturbed server; no value: all.
  TimePoint from;
  TimePoint until;  ///< End of the disturbance and of the tolerance after it.
};

/**
 * Finds the flows that a balancer opened at a leaving backend server more than
 * kInForceLimit after the store could show that it leaves.
 *
 * @param records Records of the backend server.
 * @param server Number of the backend server.
 * @param balancers Addresses from which the balancers send packets.
 * @return One text for each flow that no disturbance excuses.
 */
std::vector<std::string> FindLateOpens(
    const std::vector<RecordLine>& records,
    size_t server,
    const std::vector<std::string>& balancers,
    const std::vector<Disturbance>& disturbances);

}  // namespace cuminvane::soak

#endif  // CUMINVANE_TESTS_SOAK_OPEN_CHECK_FUNC_H_
