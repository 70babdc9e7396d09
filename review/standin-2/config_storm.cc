// Configurations with many routes come in quick succession; then a route is
// removed and an endpoint drains. Usage: config_storm RECORD TROUBLE DIRECTORY
#include <set>

#include "client.h"
#include "endpoint.h"
#include "fleet.h"

namespace review {
namespace {

constexpr int kEndpoints = 6;
constexpr int kWorkMs = 30;
constexpr int kHeartbeatMs = 1200;
/** Routes without traffic, before and after the configuration grows. */
constexpr int kIdleRoutes = 240;
constexpr int kGrownRoutes = 1400;
/** The storm: a change each kStormGapMs for kStormMs. */
constexpr int kStormGapMs = 60;
constexpr int kStormMs = 1500;
/** How long new flows are opened after the last change. */
constexpr int64_t kObservedMs = 14000;
constexpr int kOpenEveryMs = 50;

const Address kUsed{Ip(127, 11, 200, 1), 8443};
const Address kRemoved{Ip(127, 11, 200, 2), 8443};
const Address kAdded{Ip(127, 11, 200, 3), 8443};

std::string Route(const std::string& name, const Address& at) {
  return "{\"name\":\"" + name + "\",\"hostname\":\"" + ToString(at.ip) +
         "\",\"prefix\":\"/" + std::to_string(at.port) +
         "/\",\"route_type\":\"safe\",\"timeout_ms\":3000,"
         "\"target_latency_ms\":200,\"priority\":1,\"service\":\"huvo11a\","
         "\"max_attempts\":2}";
}

class Operator {
 public:
  Operator(Store& store, Record& record) : store(store), record(record) {
    this->routes["r-used"] = kUsed;
    this->routes["r-removed"] = kRemoved;
    this->AddIdle(kIdleRoutes);
  }

  void AddIdle(int count) {
    for (int index = 0; index < count; ++index) {
      char name[32];
      snprintf(name, sizeof(name), "r-%07x", 0x3d3a000 + ++this->idle);
      this->routes[name] = {Ip(127, 11, 210, this->idle / 64),
                            static_cast<uint16_t>(8000 + this->idle % 64)};
    }
  }

  /** @return When the store acknowledged the version. */
  int64_t Publish(const std::string& what) {
    this->version += 1 + this->version % 3;
    std::string text =
        "{\"version\":" + std::to_string(this->version) + ",\"routes\":[";
    bool first = true;
    for (const auto& [name, at] : this->routes) {
      text += (first ? "" : ",") + Route(name, at);
      first = false;
    }
    text +=
        "],\"services\":[{\"name\":\"huvo11a\",\"health_path\":\"/health\","
        "\"max_flows\":2000,\"protocol\":\"h1\",\"tls\":false}],"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":" +
        std::to_string(this->idle_ms) + "}}";
    this->store.Put("op/config", text);
    this->record.Line("store acknowledged version " +
                      std::to_string(this->version) + " (" + what + "), " +
                      std::to_string(this->routes.size()) + " routes, " +
                      std::to_string(text.size()) + " bytes");
    return NowMs();
  }

  std::map<std::string, Address> routes;
  int idle_ms = 15000;

 private:
  Store& store;
  Record& record;
  int version = 7;
  int idle = 0;
};

[[noreturn]] void Play(const std::string& directory,
                       Record& record,
                       bool trouble) {
  // Those of the sheet of lanterna-colombo.
  Bounds bounds;
  bounds.config_apply_ms = 5000;
  bounds.drain_timeout_ms = 5000;
  bounds.contact_ms = 5000;
  Fleet fleet(directory, {"lk-west-a", "lk-west-a", "lk-west-b"}, bounds,
              record);
  Store store(fleet.StoreAddress(0), bounds.history_s * 1000);
  for (size_t index = 1; index < fleet.Size(); ++index)
    store.Listen(fleet.StoreAddress(index));
  Operator oper(store, record);
  oper.Publish("first");

  std::mutex mutex;
  std::vector<EndpointEvent> syns;
  int foreign = 0;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  const uint16_t port = FindFreePort("servers", {Ip(127, 11, 128, 1)});
  for (int index = 0; index < kEndpoints; ++index) {
    char id[32];
    snprintf(id, sizeof(id), "i-7f3a92%02x", index + 1);
    endpoints.push_back(std::make_unique<Endpoint>(
        id, Address{Ip(127, 11, 128, 1 + index), port}, "huvo11a",
        index % 2 == 0 ? "lk-west-a" : "lk-west-b", kWorkMs, kHeartbeatMs,
        store, [&](const EndpointEvent& event) {
          const std::lock_guard lock(mutex);
          if (event.kind == "syn")
            syns.push_back(event);
          foreign += event.kind == "foreign" ? 1 : 0;
        }));
    endpoints.back()->packet_port = fleet.PacketPort();
  }
  fleet.StartAll();
  if (!fleet.WaitReady(10000)) {
    record.Line("the daemons did not become ready");
    fleet.StopAll();
    _exit(2);
  }
  std::vector<FlowResult> results;
  ClientHost client(Ip(127, 11, 64, 1), "lk-west-a", fleet,
                    [&](const FlowResult& result) {
                      const std::lock_guard lock(mutex);
                      results.push_back(result);
                    });
  SleepMs(bounds.contact_ms);
  oper.AddIdle(kGrownRoutes);
  oper.Publish("grown");
  SleepMs(5000);
  if (trouble) {
    for (int64_t at = 0; at <= kStormMs; at += kStormGapMs) {
      oper.idle_ms = 12000 + static_cast<int>(at);
      oper.Publish("storm");
      SleepMs(kStormGapMs);
    }
  }
  SleepMs(500);
  oper.routes.erase("r-removed");
  oper.routes["r-added"] = kAdded;
  const int64_t changed_at = oper.Publish("r-removed removed, r-added added");
  Endpoint& leaving = *endpoints.front();
  const int64_t draining_at = leaving.Drain();
  record.Line("store acknowledged that " + leaving.Id() + " is draining");
  uint16_t next_port = 20000;
  std::map<Address, int> opened;
  while (NowMs() < changed_at + kObservedMs) {
    for (const Address& route : {kUsed, kRemoved, kAdded}) {
      client.Open(next_port++, route, 1, 0);
      ++opened[route];
    }
    SleepMs(kOpenEveryMs);
  }
  SleepMs(3000);
  fleet.StopAll();

  const std::lock_guard lock(mutex);
  std::map<std::pair<Address, uint16_t>, int64_t> sent_at;
  int added_served = 0;
  for (const FlowResult& result : results) {
    sent_at[{result.route, result.port}] = result.syn_at_ms;
    added_served += result.route == kAdded && result.answered > 0 ? 1 : 0;
  }
  int config = 0;
  int drain = 0;
  int used = 0;
  int64_t last_config = 0;
  int64_t last_drain = 0;
  for (const EndpointEvent& syn : syns) {
    const auto sent = sent_at.find({syn.route, syn.client.port});
    if (sent == sent_at.end())
      continue;
    used += syn.route == kUsed ? 1 : 0;
    if (syn.route == kRemoved &&
        sent->second > changed_at + bounds.config_apply_ms) {
      ++config;
      last_config = sent->second - changed_at;
      record.Line("CONFIG: endpoint " + syn.endpoint +
                  " took the opening packet of a flow to the removed route, "
                  "sent " +
                  std::to_string(sent->second - changed_at) +
                  " ms after the acknowledgement");
    }
    if (syn.endpoint == leaving.Id() &&
        syn.at_ms > draining_at + bounds.drain_timeout_ms) {
      ++drain;
      last_drain = syn.at_ms - draining_at;
      record.Line("DRAIN: draining endpoint " + syn.endpoint +
                  " took an opening packet " +
                  std::to_string(syn.at_ms - draining_at) +
                  " ms after the acknowledgement");
    }
  }
  record.Line("opened: used route " + std::to_string(opened[kUsed]) +
              " (endpoints took " + std::to_string(used) + "), removed route " +
              std::to_string(opened[kRemoved]) + ", added route " +
              std::to_string(opened[kAdded]) + " (answered " +
              std::to_string(added_served) + ")");
  record.Line("longest answer of the store to a watch: " +
              std::to_string(store.LongestWatch()) + " bytes");
  record.Line("CONFIG broken by " + std::to_string(config) +
              " flows, the last sent after " + std::to_string(last_config) +
              " ms; DRAIN by " + std::to_string(drain) + ", the last after " +
              std::to_string(last_drain) + " ms");
  if (used < 50) {
    record.Line("too few flows were served for a verdict");
    _exit(2);
  }
  const int result = config + drain > 0 ? 1 : 0;
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
