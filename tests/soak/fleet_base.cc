/** @file fleet_base.cc The processes of one soak and what lies between them. */

#include "tests/soak/fleet_base.h"

#include <curl/curl.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "packet/packet_func.h"

namespace cuminvane::soak {
namespace {

constexpr int kBalancers = 3;
constexpr int kDeskServers = 6;
constexpr int kFileServers = 2;
constexpr uint16_t kPacketsPort = 24001;
constexpr uint16_t kPeerPort = 24002;
constexpr uint16_t kReadyPort = 24003;
constexpr uint16_t kMetricsPort = 24004;
constexpr uint16_t kStorePort = 24005;
constexpr uint16_t kServerPort = 24006;
constexpr Milliseconds kReadinessPoll{500};
constexpr int kMissesToLeave = 2;

emulate::WorkKind MakeKind(const std::string& name,
                           uint32_t host,
                           bool idempotent,
                           double per_s,
                           int users,
                           int target_ms) {
  emulate::WorkKind kind;
  kind.name = name;
  kind.address = {0xc6120000 + host, 443};
  kind.idempotent = idempotent;
  kind.per_s = per_s;
  kind.users = users;
  kind.work = Milliseconds(20);
  kind.target = Milliseconds(target_ms);
  return kind;
}

size_t TakeBytes(char* data, size_t size, size_t count, void* user) {
  static_cast<std::string*>(user)->append(data, size * count);
  return size * count;
}

long Get(const std::string& url, std::string& body) {
  const std::unique_ptr<CURL, void (*)(CURL*)> curl(curl_easy_init(),
                                                    curl_easy_cleanup);
  curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, 150L);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, TakeBytes);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &body);
  long status = 0;
  if (curl_easy_perform(curl.get()) == CURLE_OK)
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  return status;
}

constexpr uint32_t kOctets = 250;

/** @return Whether nothing on this machine uses the fleet's addresses. */
bool IsFree(asio::io_context& context, const Endpoint& store) {
  asio::ip::tcp::acceptor probe(context);
  asio::error_code error;
  probe.open(asio::ip::tcp::v4(), error);
  probe.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  probe.bind({asio::ip::address_v4(store.ip), store.port}, error);
  return !error;
}

/** @return The kinds of request: small reads, edits, and larger files. */
std::vector<emulate::WorkKind> MakeKinds() {
  std::vector<emulate::WorkKind> kinds = {
      MakeKind("feed", 1, true, 30, 24, 150),
      MakeKind("edits", 2, false, 10, 8, 200),
      MakeKind("files", 3, true, 4, 6, 500)};
  kinds[2].fresh = true;
  kinds[2].answer_bytes = 20000;
  return kinds;
}

}  // namespace

Fleet::Fleet(asio::io_context& context, std::string directory, std::string bin)
    : directory(std::move(directory)),
      bin(std::move(bin)),
      octet(static_cast<uint32_t>(getpid()) % kOctets + 1),
      kinds(MakeKinds()),
      in_rotation(kBalancers, false) {
  std::filesystem::create_directories(this->directory + "/store/servers");
  std::filesystem::create_directories(this->directory + "/store/op");
  this->Publish();
  for (uint32_t tries = 0;
       tries < kOctets && !IsFree(context, this->At(0, 2, kStorePort)); ++tries)
    this->octet = this->octet % kOctets + 1;
  const Endpoint store_address = this->At(0, 2, kStorePort);
  this->StartStore(store_address);
  for (int index = 0; index < kDeskServers + kFileServers; ++index)
    this->AddServer(index < kDeskServers ? "desk" : "files");
  for (int index = 0; index < kBalancers; ++index) {
    const Endpoint proxied =
        this->At(0, 100 + static_cast<uint32_t>(index), kStorePort);
    this->proxies.push_back(
        std::make_unique<Proxy>(context, proxied, store_address));
    this->AddBalancer(index, proxied);
  }
  this->poller = std::thread([this] { this->PollReadiness(); });
}

Fleet::~Fleet() {
  this->closing = true;
  this->poller.join();
}

void Fleet::StartStore(const Endpoint& address) {
  this->store = std::make_unique<Process>(
      std::vector<std::string>{this->bin + "/cuminvane-standin", "--role",
                               "platform", "--listen", ToString(address),
                               "--dir", this->directory + "/store"},
      this->directory + "/store.log");
  this->store->Start();
}

Endpoint Fleet::CallerAt(size_t centre) const {
  return this->At(0x40, 1 + static_cast<uint32_t>(centre), kPacketsPort);
}

Endpoint Fleet::RouterChoice(const FlowKey& key) const {
  std::vector<int> ready;
  {
    const std::lock_guard hold(this->mutex);
    for (int index = 0; index < kBalancers; ++index) {
      if (this->in_rotation[static_cast<size_t>(index)])
        ready.push_back(index);
    }
  }
  for (int index = 0; ready.size() < 2 && index < kBalancers; ++index) {
    if (std::ranges::find(ready, index) == ready.end())
      ready.push_back(index);
  }
  return this->Balancer(ready[FlowIdOf(key).value % ready.size()],
                        kPacketsPort);
}

Endpoint Fleet::At(uint32_t net, uint32_t host, uint16_t port) const {
  return {0x7f000000 | net << 16 | this->octet << 8 | host, port};
}

Endpoint Fleet::Balancer(int index, uint16_t port) const {
  return this->At(0, 10 + static_cast<uint32_t>(index), port);
}

std::string Fleet::ServiceOf(const emulate::WorkKind& kind) {
  return kind.name == "files" ? "files" : "desk";
}

void Fleet::Publish() {
  ++this->version;
  std::ostringstream json;
  json << "{\"version\":" << this->version << ",\"routes\":[";
  for (const emulate::WorkKind& kind : this->kinds)
    json << (kind.name == "feed" ? "" : ",") << "{\"name\":\"" << kind.name
         << "\",\"hostname\":\"198.18.0." << (kind.address.ip & 0xff)
         << "\",\"prefix\":\"/443/\",\"route_type\":\""
         << (kind.idempotent ? "safe" : "unsafe")
         << "\",\"timeout_ms\":3000,\"target_latency_ms\":"
         << kind.target.count() << ",\"priority\":1,\"service\":\""
         << ServiceOf(kind) << "\"}";
  if (this->version % 2 == 0)
    json << ",{\"name\":\"extra\",\"hostname\":\"198.18.0.9\",\"prefix\":"
            "\"/443/\",\"route_type\":\"safe\",\"timeout_ms\":3000,"
            "\"target_latency_ms\":100,\"priority\":1,\"service\":\"desk\"}";
  json << "],\"services\":[{\"name\":\"desk\"},{\"name\":\"files\"}],"
          "\"limits\":{\"idle_timeout_ms\":12000}}";
  const std::string path = this->directory + "/store/op/config";
  std::ofstream(path + ".new") << json.str();
  std::filesystem::rename(path + ".new", path);
}

void Fleet::AddServer(const std::string& service) {
  const auto number = static_cast<uint32_t>(this->servers.size()) + 1;
  this->servers.emplace_back(
      std::vector<std::string>{
          this->bin + "/cuminvane-standin", "--role", "flow-backend",
          "--listen", ToString(this->At(0x80, number, kServerPort)), "--vm",
          std::to_string(0x1000 + number), "--serves", service, "--slots", "3",
          "--queue", "12", "--dir", this->directory + "/store", "--record",
          this->directory + "/server-" + std::to_string(number) + ".records"},
      this->directory + "/server-" + std::to_string(number) + ".log");
  this->servers.back().Start();
}

void Fleet::AddBalancer(int index, const Endpoint& store) {
  const std::string settings =
      this->directory + "/balancer-" + std::to_string(index) + ".ini";
  std::ofstream file(settings);
  file << "[vm]\ndata_centre = a\nthreads = 2\n[listen]\npackets = "
       << ToString(this->Balancer(index, kPacketsPort))
       << "\nready = " << ToString(this->Balancer(index, kReadyPort))
       << "\nmetrics = " << ToString(this->Balancer(index, kMetricsPort))
       << "\npeer = " << ToString(this->Balancer(index, kPeerPort))
       << "\n[platform]\naddress = " << ToString(store)
       << "\nin_force_ms = 3000\nwatchers = 2\n[membership]\npeers = ";
  for (int other = 0; other < kBalancers; ++other)
    file << (other == 0 ? "" : ",")
         << ToString(this->Balancer(other, kPeerPort));
  file << "\n[stop]\nlinger_ms = 1500\n";
  file.close();
  this->balancers.emplace_back(
      std::vector<std::string>{this->bin + "/cuminvaned", "--config", settings},
      this->directory + "/balancer-" + std::to_string(index) + ".log");
  this->balancers.back().Start();
}

void Fleet::PollReadiness() {
  std::vector<int> misses(kBalancers, kMissesToLeave);
  while (!this->closing) {
    for (int index = 0; index < kBalancers; ++index) {
      std::string body;
      const long status = Get(
          "http://" + ToString(this->Balancer(index, kReadyPort)) + "/ready",
          body);
      int& missed = misses[static_cast<size_t>(index)];
      missed = status == 200 ? 0 : missed + 1;
      const std::lock_guard hold(this->mutex);
      if (missed == 0)
        this->in_rotation[static_cast<size_t>(index)] = true;
      else if (missed >= kMissesToLeave)
        this->in_rotation[static_cast<size_t>(index)] = false;
    }
    std::this_thread::sleep_for(kReadinessPoll);
  }
}

std::set<uint64_t> Fleet::ConfigVersions() const {
  std::set<uint64_t> versions;
  const std::string name = "cuminvane_config_version ";
  for (int index = 0; index < kBalancers; ++index) {
    std::string body;
    Get("http://" + ToString(this->Balancer(index, kMetricsPort)) + "/metrics",
        body);
    const size_t at = body.find(name);
    versions.insert(
        at == std::string::npos
            ? 0
            : std::strtoull(body.c_str() + at + name.size(), nullptr, 10));
  }
  return versions;
}

}  // namespace cuminvane::soak
