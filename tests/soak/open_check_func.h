/** @file open_check_func.h Checks that leaving backend servers get no new
 * flows, and evacuated ones no opening packets. */

#ifndef CUMINVANE_TESTS_SOAK_OPEN_CHECK_FUNC_H_
#define CUMINVANE_TESTS_SOAK_OPEN_CHECK_FUNC_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time_type.h"
#include "standin/record_func.h"
#include "tests/soak/fleet_base.h"

namespace cuminvane::soak {

/** Time within which a change in the store must be in force at each balancer.
 */
inline constexpr Milliseconds kInForceLimit{3000};
/** Time after the store was unstable or restored in which a change may not be
 * in force. */
inline constexpr Milliseconds kStoreTolerance = kInForceLimit + Seconds(4);

/** A time in which flows may be opened at leaving or evacuated backend servers.
 */
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

/** The evacuation of a data centre; TimePoint{} if it has not begun. */
struct EvacuationTimes {
  TimePoint from;   ///< When its request was written.
  TimePoint until;  ///< When the request was removed.
};

/**
 * Finds the opening packets, retransmissions included, that a balancer sent to
 * an evacuated backend server more than kInForceLimit after the request.
 *
 * @param records Records of the backend server.
 * @param server Number of the backend server.
 * @param balancers Addresses from which the balancers send packets.
 * @return One text for each packet that no disturbance excuses.
 */
std::vector<std::string> FindEvacuatedOpenings(
    const std::vector<RecordLine>& records,
    size_t server,
    const std::vector<std::string>& balancers,
    const std::vector<Disturbance>& disturbances,
    const EvacuationTimes& evacuation);

/** @return Requests that the backend server ran on open flows while it was
 * evacuated, from the time on when it gets no opening packets. */
size_t CountEvacuatedRuns(const std::vector<RecordLine>& records,
                          const EvacuationTimes& evacuation);

/**
 * Reads the records of all backend servers and prints how many requests ran in
 * the evacuated data centre.
 * @return Name of the broken guarantee and what happened, for each violation.
 */
std::vector<std::pair<std::string, std::string>> FindOpenViolations(
    Fleet& fleet,
    const std::vector<Disturbance>& disturbances,
    const EvacuationTimes& evacuation);

}  // namespace cuminvane::soak

#endif  // CUMINVANE_TESTS_SOAK_OPEN_CHECK_FUNC_H_
