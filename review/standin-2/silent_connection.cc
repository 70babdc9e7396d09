// Open connections go silent once; later the daemons that watch the store are
// turned away by it, and the configuration changes.
// Usage: silent_connection RECORD TROUBLE DIRECTORY
// TROUBLE: 0: neither; cut: only the latter; anything else: both.
#include <algorithm>
#include <set>

#include "client.h"
#include "endpoint.h"
#include "fleet.h"

namespace review {
namespace {

constexpr int kDaemons = 6;
constexpr int kEndpoints = 6;
constexpr int kWorkMs = 30;
constexpr int kHeartbeatMs = 770;
constexpr int64_t kCutMs = 9000;
/** From the silence until then; over twice `contact_ms`. */
constexpr int64_t kCalmMs = 10000;
constexpr int kOpenEveryMs = 10;

const Address kUsed{Ip(127, 11, 200, 1), 8443};
const Address kRemoved{Ip(127, 11, 200, 2), 8443};

std::string Route(const std::string& name, const Address& at) {
  return "{\"name\":\"" + name + "\",\"hostname\":\"" + ToString(at.ip) +
         "\",\"prefix\":\"/" + std::to_string(at.port) +
         "/\",\"route_type\":\"safe\",\"timeout_ms\":2500,"
         "\"target_latency_ms\":150,\"priority\":1,\"service\":\"huvo11a\","
         "\"max_attempts\":2}";
}

std::string Config(int version, bool with_removed) {
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
         Route("r-used", kUsed) +
         (with_removed ? "," + Route("r-removed", kRemoved) : "") +
         "],\"services\":[{\"name\":\"huvo11a\",\"health_path\":\"/health\","
         "\"max_flows\":2000,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

[[noreturn]] void Play(const std::string& directory,
                       Record& record,
                       const std::string& trouble) {
  const Bounds bounds;
  Fleet fleet(directory, std::vector<std::string>(kDaemons, "gyor-a"), bounds,
              record);
  Store store(fleet.StoreAddress(0), bounds.history_s * 1000);
  for (size_t index = 1; index < fleet.Size(); ++index)
    store.Listen(fleet.StoreAddress(index));
  store.Put("op/config", Config(7, true));

  std::mutex mutex;
  std::vector<EndpointEvent> syns;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  const uint16_t port = FindFreePort("servers", {Ip(127, 11, 128, 1)});
  for (int index = 0; index < kEndpoints; ++index) {
    char id[32];
    snprintf(id, sizeof(id), "i-7f3a93%02x", index + 1);
    endpoints.push_back(std::make_unique<Endpoint>(
        id, Address{Ip(127, 11, 128, 1 + index), port}, "huvo11a", "gyor-a",
        kWorkMs, kHeartbeatMs, store, [&](const EndpointEvent& event) {
          const std::lock_guard lock(mutex);
          if (event.kind == "syn")
            syns.push_back(event);
        }));
    endpoints.back()->packet_port = fleet.PacketPort();
  }
  fleet.StartAll();
  if (!fleet.WaitReady(10000)) {
    record.Line("the daemons did not become ready");
    fleet.StopAll();
    _exit(2);
  }
  SleepMs(5000);
  const auto find_watchers = [&] {
    std::set<size_t> found;
    for (size_t index = 0; index < fleet.Size(); ++index) {
      if (store.LastWatchAt(index) > NowMs() - 2500)
        found.insert(index);
    }
    return found;
  };
  if (trouble != "0" && trouble != "cut") {
    const std::set<size_t> busy = find_watchers();
    for (size_t index = 0; index < fleet.Size(); ++index) {
      if (busy.contains(index))
        continue;
      store.SilenceOpenConnections(index);
      record.Line("open connections to the store go silent: " +
                  fleet.NameOf(index));
    }
  }
  SleepMs(kCalmMs);
  const std::set<size_t> watchers = find_watchers();
  for (const size_t index : watchers)
    record.Line("watches the store: " + fleet.NameOf(index));
  std::vector<FlowResult> results;
  ClientHost client(Ip(127, 11, 64, 1), "gyor-a", fleet,
                    [&](const FlowResult& result) {
                      const std::lock_guard lock(mutex);
                      results.push_back(result);
                    });
  if (trouble != "0") {
    for (const size_t index : watchers) {
      store.Cut(index, true);
      record.Line("turned away by the store: " + fleet.NameOf(index));
    }
  }
  const int64_t cut_at = NowMs();
  SleepMs(50);
  store.Put("op/config", Config(9, false));
  const int64_t changed_at = NowMs();
  record.Line("store acknowledged version 9, without r-removed");
  uint16_t next_port = 20000;
  while (NowMs() < cut_at + kCutMs) {
    client.Open(next_port++, kRemoved, 1, 0);
    client.Open(next_port++, kUsed, 1, 0);
    SleepMs(kOpenEveryMs);
  }
  for (const size_t index : watchers)
    store.Cut(index, false);
  SleepMs(4000);
  fleet.StopAll();

  const std::lock_guard lock(mutex);
  std::map<std::pair<Address, uint16_t>, const FlowResult*> flows;
  for (const FlowResult& result : results)
    flows[{result.route, result.port}] = &result;
  int used = 0;
  int broken = 0;
  std::map<std::string, int64_t> last;
  for (const EndpointEvent& syn : syns) {
    const auto found = flows.find({syn.route, syn.client.port});
    if (found == flows.end())
      continue;
    const FlowResult& flow = *found->second;
    used += syn.route == kUsed ? 1 : 0;
    if (syn.route != kRemoved)
      continue;
    const int64_t after = flow.syn_at_ms - changed_at;
    const std::string& name = fleet.NameOf(flow.last_daemon);
    last[name] = std::max(last[name], after);
    if (after <= bounds.config_apply_ms || watchers.contains(flow.last_daemon))
      continue;
    ++broken;
    record.Line("CONFIG: endpoint " + syn.endpoint +
                " took the opening packet of a flow to the removed route, sent "
                "through " +
                name + " " + std::to_string(after) +
                " ms after the acknowledgement");
  }
  for (const auto& [name, after] : last)
    record.Line("last opening packet to the removed route through " + name +
                ": sent " + std::to_string(after) + " ms after");
  record.Line("endpoints took " + std::to_string(used) +
              " flows to the used route; CONFIG broken by " +
              std::to_string(broken) + " flows");
  if (used < 50 || watchers.empty() || watchers.size() == fleet.Size()) {
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
    review::Play(argv[3], record, argv[2]);
  } catch (const std::exception& error) {
    fprintf(stderr, "%s\n", error.what());
    _exit(2);
  }
}
