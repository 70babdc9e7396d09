/** @file case.cc An entry of another writer under servers/ names a service by
 * a long DNS name. Then an endpoint drains. */

#include "../standin/fleet.h"

namespace review {
namespace {

/** A DNS name of 219 characters; DNS allows 253. */
std::string LongServiceName() {
  std::string name = "report-export";
  for (int part = 1; name.size() < 200; ++part)
    name += ".night-batch-of-print-archive-" + std::to_string(part);
  return name + ".example";
}

bool Run(const Place& place) {
  Fleet fleet(place, {"gyor-a", "gyor-a", "gyor-b", "sopron"});
  const Address route = Fleet::Route(1);
  fleet.PutConfig(7, {Fleet::RouteJson("r-1", route, "rendeles")},
                  {"rendeles"});
  Endpoint& leaver = fleet.AddEndpoint("rendeles", "gyor-a");
  for (const char* const zone : {"gyor-a", "gyor-b", "sopron"})
    fleet.AddEndpoint("rendeles", zone);
  fleet.StartAll();
  SleepMs(6000);
  Load load(fleet, {route}, 25);
  SleepMs(3000);
  if (place.trouble) {
    const std::string name = LongServiceName();
    fleet.store.Put(
        "servers/i-00000000e4b07a11",
        "{\"service\":\"" + name +
            "\",\"address\":\"127.0.0.1:9\",\"zone\":\"gyor-a\",\"version\":"
            "\"v1\",\"slots\":1,\"state\":\"ready\",\"cold_remaining_ms\":0,"
            "\"seq\":1,\"born\":1796000000000}");
    Record::Line(
        "another writer stores an entry under servers/ with a "
        "service of " +
        std::to_string(name.size()) + " characters: " + name);
  }
  SleepMs(1000);
  const int64_t acknowledged_at = leaver.Drain();
  const int64_t bound = acknowledged_at + Fleet::kDrainTimeoutMs;
  SleepUntil(bound + 6000);
  const std::vector<Request> requests = load.Finish();
  RecordRequests(requests);
  RecordEndpoints(fleet);
  int early = 0;
  int late = 0;
  int64_t last = 0;
  for (const Taken& taken : leaver.TakenSoFar()) {
    if (!taken.request_id.empty())
      continue;
    (taken.at > bound ? late : early) += 1;
    last = taken.at;
  }
  Record::Line(
      "opening packets at the draining endpoint: " + std::to_string(early) +
      " up to " + std::to_string(Fleet::kDrainTimeoutMs) +
      " ms after the acknowledgement, " + std::to_string(late) +
      " later; the last one " + std::to_string(last - acknowledged_at) +
      " ms after the acknowledgement");
  // What a final fault meets in this state; not part of the verdict.
  for (Machine& machine : fleet.machines)
    fleet.Kill(machine);
  Record::Line("all balancers are killed");
  SleepMs(500);
  for (Machine& machine : fleet.machines)
    fleet.Start(machine);
  SleepMs(Fleet::kRecoveryMs);
  int ready = 0;
  for (const Machine& machine : fleet.machines)
    ready += fleet.IsReady(machine) ? 1 : 0;
  Record::Line(std::to_string(ready) + " of " +
               std::to_string(fleet.machines.size()) +
               " balancers are ready 12 s after they are back");
  return late == 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
