/** @file open_check_func.cc Implementation of the check of leaving backend
 * servers. */

#include "tests/soak/open_check_func.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace cuminvane::soak {
namespace {

/** The stand-in store reads its directory at this interval or faster. */
constexpr Milliseconds kStoreDelay{100};

TimePoint TimeOf(const RecordLine& line, const std::string& key) {
  return FromUnixMicroseconds(
      std::strtoll(TextOf(line, key).c_str(), nullptr, 10));
}

/** @return Number of the balancer that sent the packet. */
size_t SenderOf(const RecordLine& line,
                const std::vector<std::string>& balancers) {
  return static_cast<size_t>(
      std::ranges::find(balancers, TextOf(line, "balancer")) -
      balancers.begin());
}

bool IsExcused(TimePoint at,
               size_t server,
               size_t balancer,
               const std::vector<Disturbance>& disturbances) {
  return std::ranges::any_of(disturbances, [&](const Disturbance& disturbance) {
    return disturbance.from <= at && at <= disturbance.until &&
           disturbance.balancer.value_or(balancer) == balancer &&
           disturbance.server.value_or(server) == server;
  });
}

/** @return Whether opening packets may no longer arrive at an evacuated server
 * at this time. */
bool IsInForce(const EvacuationTimes& evacuation, TimePoint at) {
  return evacuation.from != TimePoint{} &&
         at > evacuation.from + kInForceLimit + kStoreDelay &&
         at < evacuation.until;
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
    const size_t balancer = SenderOf(line, balancers);
    if (!IsExcused(at, server, balancer, disturbances))
      late_opens.push_back(
          "balancer " + std::to_string(balancer) + " opened a flow at server " +
          std::to_string(server) + " " +
          std::to_string(
              std::chrono::duration_cast<Milliseconds>(age).count()) +
          " ms after it began to leave");
  }
  return late_opens;
}

std::vector<std::string> FindEvacuatedOpenings(
    const std::vector<RecordLine>& records,
    size_t server,
    const std::vector<std::string>& balancers,
    const std::vector<Disturbance>& disturbances,
    const EvacuationTimes& evacuation) {
  std::vector<std::string> late;
  for (const RecordLine& line : records) {
    const TimePoint at = TimeOf(line, "at");
    const size_t balancer = SenderOf(line, balancers);
    if (TextOf(line, "event") != "opening" || !IsInForce(evacuation, at) ||
        IsExcused(at, server, balancer, disturbances))
      continue;
    late.push_back("balancer " + std::to_string(balancer) +
                   " sent an opening packet to server " +
                   std::to_string(server) + " " +
                   std::to_string(std::chrono::duration_cast<Milliseconds>(
                                      at - evacuation.from)
                                      .count()) +
                   " ms after the evacuation was requested");
  }
  return late;
}

size_t CountEvacuatedRuns(const std::vector<RecordLine>& records,
                          const EvacuationTimes& evacuation) {
  return static_cast<size_t>(
      std::ranges::count_if(records, [&evacuation](const RecordLine& line) {
        return TextOf(line, "event") == "run" &&
               IsInForce(evacuation, TimeOf(line, "at"));
      }));
}

std::vector<std::pair<std::string, std::string>> FindOpenViolations(
    Fleet& fleet,
    const std::vector<Disturbance>& disturbances,
    const EvacuationTimes& evacuation) {
  std::vector<std::pair<std::string, std::string>> violations;
  std::vector<std::string> balancers;
  size_t evacuated_runs = 0;
  for (size_t index = 0; index < fleet.Balancers().size(); ++index)
    balancers.push_back(fleet.PacketsAddress(index));
  for (size_t server = 0; server < fleet.BackendServers().size(); ++server) {
    const std::vector<RecordLine> records =
        ReadRecords(fleet.Directory(), Fleet::RecordFile(server));
    for (const std::string& open :
         FindLateOpens(records, server, balancers, disturbances))
      violations.emplace_back("drain", open);
    if (!fleet.IsEvacuable(server))
      continue;
    for (const std::string& opening : FindEvacuatedOpenings(
             records, server, balancers, disturbances, evacuation))
      violations.emplace_back("evacuation", opening);
    evacuated_runs += CountEvacuatedRuns(records, evacuation);
  }
  if (evacuation.from != TimePoint{})
    std::cout << "evacuated_runs=" << evacuated_runs << "\n";
  return violations;
}

}  // namespace cuminvane::soak
