/** @file open_check_func.cc Implementation of the check of leaving backend
 * servers. */

#include "tests/soak/open_check_func.h"

#include <algorithm>
#include <cstdlib>

namespace cuminvane::soak {
namespace {

/** The stand-in store reads its directory at this interval or faster. */
constexpr Milliseconds kStoreDelay{100};

TimePoint TimeOf(const RecordLine& line, const std::string& key) {
  return FromUnixMicroseconds(
      std::strtoll(TextOf(line, key).c_str(), nullptr, 10));
}

}  // namespace

std::vector<std::string> FindLateOpens(
    const std::vector<RecordLine>& records,
    size_t server,
    const std::vector<std::string>& balancers,
    const std::vector<Disturbance>& disturbances) {
  std::vector<std::string> late_opens;
  for (const RecordLine& line : records) {
    if (TextOf(line, "event") != "open" || TextOf(line, "leaving") != "yes")
      continue;
    const TimePoint at = TimeOf(line, "at");
    const Microseconds age = at - TimeOf(line, "since");
    if (age <= kInForceLimit + kStoreDelay)
      continue;
    const auto balancer = static_cast<size_t>(
        std::ranges::find(balancers, TextOf(line, "balancer")) -
        balancers.begin());
    const bool excused =
        std::ranges::any_of(disturbances, [&](const Disturbance& disturbance) {
          return disturbance.from <= at && at <= disturbance.until &&
                 disturbance.balancer.value_or(balancer) == balancer &&
                 disturbance.server.value_or(server) == server;
        });
    if (!excused)
      late_opens.push_back(
          "balancer " + std::to_string(balancer) + " opened a flow at server " +
          std::to_string(server) + " " +
          std::to_string(
              std::chrono::duration_cast<Milliseconds>(age).count()) +
          " ms after it began to leave");
  }
  return late_opens;
}

}  // namespace cuminvane::soak
