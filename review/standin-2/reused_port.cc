// A client whose ports are few uses a port again for a new flow while one
// daemon is restarted as planned. Usage: reused_port RECORD TROUBLE
#include <set>

#include "client.h"
#include "endpoint.h"
#include "fleet.h"

namespace review {
namespace {

constexpr int kDaemons = 3;
constexpr int kEndpoints = 6;
constexpr int kWorkMs = 30;
constexpr int kHeartbeatMs = 770;
/** Flows a second, requests of a flow and pauses between them. */
constexpr int kOpenEveryMs = 25;
constexpr int kRequests = 4;
constexpr int kPauseMs = 500;
/** Ports of the client's host: each is used again after about 13 s, a flow
 * lives about 2 s. */
constexpr int kPorts = 500;
constexpr int kFirstPort = 30000;

constexpr int64_t kWarmUpMs = 15500;
constexpr int64_t kAfterMs = 12000;

std::string Config(const Address& route) {
  return "{\"version\":7,\"routes\":[{\"name\":\"r-feed\",\"hostname\":\"" +
         ToString(route.ip) + "\",\"prefix\":\"/" + std::to_string(route.port) +
         "/\",\"route_type\":\"safe\",\"timeout_ms\":2500,"
         "\"target_latency_ms\":150,\"priority\":1,\"service\":\"huvo11a\","
         "\"max_attempts\":2}],\"services\":[{\"name\":\"huvo11a\","
         "\"health_path\":\"/health\",\"max_flows\":2000,\"protocol\":\"h1\","
         "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000}}";
}

/** Doesn't return: threads still use what it has. */
[[noreturn]] void Play(const std::string& directory,
                       Record& record,
                       bool trouble) {
  const Bounds bounds;
  Fleet fleet(directory, std::vector<std::string>(kDaemons, "gyor-a"), bounds,
              record);
  Store store(fleet.StoreAddress(0), bounds.history_s * 1000);
  for (size_t index = 1; index < fleet.Size(); ++index)
    store.Listen(fleet.StoreAddress(index));
  const Address route{Ip(127, 11, 200, 1), 8443};
  store.Put("op/config", Config(route));

  std::mutex mutex;
  std::vector<FlowResult> results;
  std::map<std::string, int> kinds;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  const uint16_t port = FindFreePort("servers", {Ip(127, 11, 128, 1)});
  for (int index = 0; index < kEndpoints; ++index) {
    char id[32];
    snprintf(id, sizeof(id), "i-7f3a91%02x", index + 1);
    endpoints.push_back(std::make_unique<Endpoint>(
        id, Address{Ip(127, 11, 128, 1 + index), port}, "huvo11a", "gyor-a",
        kWorkMs, kHeartbeatMs, store, [&](const EndpointEvent& event) {
          const std::lock_guard lock(mutex);
          ++kinds[event.kind];
          if (event.kind == "foreign")
            record.Line("endpoint " + event.endpoint +
                        " got a packet of a flow that it doesn't hold, from " +
                        ToString(event.client));
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
  std::atomic<bool> stop = false;
  std::thread load([&] {
    for (int next = 0; !stop; ++next) {
      client.Open(static_cast<uint16_t>(kFirstPort + next % kPorts), route,
                  kRequests, kPauseMs);
      SleepMs(kOpenEveryMs);
    }
  });
  SleepMs(kWarmUpMs);
  if (trouble)
    fleet.Restart(1, 500);
  SleepMs(kAfterMs);
  stop = true;
  load.join();
  SleepMs(4000);
  fleet.StopAll();

  const std::lock_guard lock(mutex);
  int broken = 0;
  std::map<std::string, int> ends;
  std::set<uint16_t> ports;
  for (const FlowResult& result : results) {
    ++ends[result.end];
    ports.insert(result.port);
    const bool is_foreign_reset = result.end == "reset" &&
                                  result.open_at_ms >= 0 &&
                                  result.reset_by != result.owner;
    if (!is_foreign_reset)
      continue;
    ++broken;
    int uses = 0;
    std::string before = "never";
    for (const FlowResult& other : results) {
      if (other.port != result.port || other.syn_at_ms >= result.syn_at_ms)
        continue;
      ++uses;
      before = "from " + std::to_string(other.syn_at_ms) + " to " +
               std::to_string(other.end_at_ms) + " ms at " +
               ToString(other.owner) + " through " +
               fleet.NameOf(other.last_daemon) + " (" + other.end + ")";
    }
    record.Line(
        "FLOW: port " + std::to_string(result.port) + ", opened at " +
        std::to_string(result.open_at_ms) + " ms at endpoint " +
        ToString(result.owner) + ", reset at " +
        std::to_string(result.reset_at_ms) + " ms by " +
        ToString(result.reset_by) +
        (result.reset_by_system ? " (the system)" : " (another endpoint)") +
        ", last packet through " + fleet.NameOf(result.last_daemon) +
        "; the port's flow before: " + before);
  }
  for (const auto& [end, count] : ends)
    record.Line("flows that ended with " + end + ": " + std::to_string(count));
  for (const auto& [kind, count] : kinds)
    record.Line("endpoints saw " + kind + ": " + std::to_string(count));
  record.Line("flows " + std::to_string(results.size()) + ", ports " +
              std::to_string(ports.size()) + ", open flows reset by others " +
              std::to_string(broken));
  if (ends["closed"] < 500) {
    record.Line("too few flows were served for a verdict");
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
