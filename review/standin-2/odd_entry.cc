// Another writer puts an entry beside that of an endpoint: its key has the same
// hexadecimal digits, its service is named nowhere.
// Usage: odd_entry RECORD TROUBLE DIRECTORY
#include <algorithm>

#include "client.h"
#include "endpoint.h"
#include "fleet.h"

namespace review {
namespace {

constexpr int kDaemons = 3;
constexpr int kEndpoints = 6;
constexpr int kWorkMs = 30;
constexpr int kHeartbeatMs = 770;
constexpr int kFlows = 90;
constexpr int kRequests = 40;
constexpr int kPauseMs = 300;

const Address kRoute{Ip(127, 11, 200, 1), 8443};

std::string Config() {
  return "{\"version\":7,\"routes\":[{\"name\":\"r-feed\",\"hostname\":\"" +
         ToString(kRoute.ip) + "\",\"prefix\":\"/" +
         std::to_string(kRoute.port) +
         "/\",\"route_type\":\"safe\",\"timeout_ms\":2500,"
         "\"target_latency_ms\":150,\"priority\":1,\"service\":\"huvo11a\","
         "\"max_attempts\":2}],\"services\":[{\"name\":\"huvo11a\","
         "\"health_path\":\"/health\",\"max_flows\":2000,\"protocol\":\"h1\","
         "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000}}";
}

/** When packets of a flow came to its own endpoint and to others. */
struct Arrivals {
  std::vector<int64_t> own;
  std::vector<int64_t> other;
};

[[noreturn]] void Play(const std::string& directory,
                       Record& record,
                       bool trouble) {
  const Bounds bounds;
  Fleet fleet(directory, std::vector<std::string>(kDaemons, "gyor-a"), bounds,
              record);
  Store store(fleet.StoreAddress(0), bounds.history_s * 1000);
  for (size_t index = 1; index < fleet.Size(); ++index)
    store.Listen(fleet.StoreAddress(index));
  store.Put("op/config", Config());

  std::mutex mutex;
  std::vector<EndpointEvent> events;
  std::vector<FlowResult> results;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  const uint16_t port = FindFreePort("servers", {Ip(127, 11, 128, 1)});
  for (int index = 0; index < kEndpoints; ++index) {
    char id[32];
    snprintf(id, sizeof(id), "i-7f3a94%02x", index + 1);
    endpoints.push_back(std::make_unique<Endpoint>(
        id, Address{Ip(127, 11, 128, 1 + index), port}, "huvo11a", "gyor-a",
        kWorkMs, kHeartbeatMs, store, [&](const EndpointEvent& event) {
          const std::lock_guard lock(mutex);
          events.push_back(event);
        }));
    endpoints.back()->packet_port = fleet.PacketPort();
  }
  fleet.StartAll();
  if (!fleet.WaitReady(10000)) {
    record.Line("the daemons did not become ready");
    fleet.StopAll();
    _exit(2);
  }
  SleepMs(3000);
  ClientHost client(Ip(127, 11, 64, 1), "gyor-a", fleet,
                    [&](const FlowResult& result) {
                      const std::lock_guard lock(mutex);
                      results.push_back(result);
                    });
  for (int index = 0; index < kFlows; ++index) {
    client.Open(static_cast<uint16_t>(30000 + index), kRoute, kRequests,
                kPauseMs);
    SleepMs(20);
  }
  SleepMs(3000);
  const Endpoint& hidden = *endpoints.front();
  const Endpoint& other = *endpoints.back();
  if (trouble) {
    // The digits of the id without the "i-"; the address is in use by another
    // endpoint now.
    store.Put("servers/" + hidden.Id().substr(2),
              "{\"service\":\"proof-old\",\"address\":\"" +
                  ToString(other.At()) +
                  "\",\"zone\":\"gyor-a\",\"version\":\"v0\",\"slots\":2,"
                  "\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1}");
    record.Line("another writer puts servers/" + hidden.Id().substr(2) +
                ", service proof-old, address " + ToString(other.At()));
  }
  SleepMs(12000);
  fleet.StopAll();

  const std::lock_guard lock(mutex);
  std::map<uint16_t, const FlowResult*> by_port;
  std::map<std::string, int> ends;
  for (const FlowResult& result : results) {
    by_port[result.port] = &result;
    ++ends[result.end];
  }
  std::map<std::string, Address> address_of;
  for (const auto& endpoint : endpoints)
    address_of[endpoint->Id()] = endpoint->At();
  std::map<uint16_t, Arrivals> arrivals;
  for (const EndpointEvent& event : events) {
    const auto found = by_port.find(event.client.port);
    if (found == by_port.end() || found->second->open_at_ms < 0)
      continue;
    if (event.kind == "packet" &&
        address_of[event.endpoint] == found->second->owner)
      arrivals[event.client.port].own.push_back(event.at_ms);
    else if (event.kind == "misdirected" || event.kind == "packet")
      arrivals[event.client.port].other.push_back(event.at_ms);
  }
  int broken = 0;
  int at_hidden = 0;
  for (const auto& [flow_port, seen] : arrivals) {
    const FlowResult& flow = *by_port[flow_port];
    at_hidden += flow.owner == hidden.At() ? 1 : 0;
    // Opening packets that went to other endpoints don't count.
    std::vector<int64_t> other_later;
    for (const int64_t at : seen.other) {
      if (at > flow.open_at_ms + 1000)
        other_later.push_back(at);
    }
    if (other_later.size() < 3 || seen.own.empty())
      continue;
    int64_t from = 0;
    int64_t to = flow.end_at_ms;
    for (const int64_t at : seen.own) {
      if (at < other_later.front())
        from = std::max(from, at);
      else
        to = std::min(to, at);
    }
    if (to - from < bounds.flow_break_ms)
      continue;
    ++broken;
    record.Line("FLOW: port " + std::to_string(flow_port) + " open at " +
                ToString(flow.owner) + ": from " + std::to_string(from) +
                " to " + std::to_string(to) + " ms " +
                std::to_string(other_later.size()) +
                " packets reached another endpoint and none its own; the flow "
                "ended with " +
                flow.end);
  }
  for (const auto& [end, count] : ends)
    record.Line("flows that ended with " + end + ": " + std::to_string(count));
  record.Line("flows at endpoint " + hidden.Id() + ": " +
              std::to_string(at_hidden) + "; FLOW broken by " +
              std::to_string(broken));
  if (at_hidden == 0 || results.size() < kFlows / 2) {
    record.Line("no verdict");
    _exit(2);
  }
  const int result = broken > 0 ? 1 : 0;
  record.Line("exit " + std::to_string(result));
  _exit(result);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 4)
    return 2;
  try {
    review::Record record(argv[1]);
    review::Play(argv[3], record, std::string(argv[2]) != "0");
  } catch (const std::exception& error) {
    fprintf(stderr, "%s\n", error.what());
    _exit(2);
  }
}
