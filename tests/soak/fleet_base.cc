/** @file fleet_base.cc Starts the child processes of a soak test and routes
 * packets to ready balancers. */

#include "tests/soak/fleet_base.h"

#include <curl/curl.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "packet/packet_func.h"
#include "shell/clock_func.h"
#include "shell/program_func.h"
#include "shell/status_func.h"
#include "standin/file_store_base.h"

namespace cuminvane::soak {
namespace {

constexpr int kBalancerCount = 3;
constexpr int kDeskServerCount = 6;
constexpr int kFileServerCount = 2;
constexpr uint16_t kPacketsPort = 24001;
constexpr uint16_t kPeerPort = 24002;
constexpr uint16_t kReadyPort = 24003;
constexpr uint16_t kMetricsPort = 24004;
constexpr uint16_t kStorePort = 24005;
constexpr uint16_t kBackendServerPort = 24006;
constexpr Milliseconds kReadinessPollInterval{500};
/** Consecutive failed polls after which the router removes a balancer. */
constexpr int kMissesToEject = 2;

/**
 * Makes a kind of request.
 * @param host Last part of the address that callers send to.
 * @param requests_per_s Requests a second.
 * @param users Number of users that send them.
 * @param target_ms Target of the answer time in milliseconds.
 */
emulate::RequestKind MakeKind(const std::string& name,
                              uint32_t host,
                              bool idempotent,
                              double per_s,
                              int users,
                              int target_ms) {
  emulate::RequestKind kind;
  kind.name = name;
  kind.address = {0xc6120000 + host, 443};
  kind.idempotent = idempotent;
  kind.requests_per_s = per_s;
  kind.users = users;
  kind.mean_work = Milliseconds(20);
  kind.target = Milliseconds(target_ms);
  return kind;
}

/** Write callback of curl: appends data to the std::string `user`. */
size_t AppendBody(char* data, size_t size, size_t count, void* user) {
  static_cast<std::string*>(user)->append(data, size * count);
  return size * count;
}

/**
 * Gets a page, within 150 ms.
 * @param body Gets the body of the answer appended.
 * @return The HTTP status; 0 if there was no answer.
 */
long GetPage(const std::string& url, std::string& body) {
  const std::unique_ptr<CURL, void (*)(CURL*)> curl(curl_easy_init(),
                                                    curl_easy_cleanup);
  curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, 150L);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &body);
  long status = 0;
  if (curl_easy_perform(curl.get()) == CURLE_OK)
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  return status;
}

/** Incarnation of each backend server by the number of its VM, and whether it
 * is leaving. */
using ServerStates = std::map<uint64_t, std::pair<uint64_t, bool>>;

/** @return The backend servers that `other` doesn't have in the same state. */
std::string FormatDifference(const ServerStates& servers,
                             const ServerStates& other) {
  std::ostringstream out;
  for (const auto& [vm, state] : servers) {
    const auto same = other.find(vm);
    if (same == other.end() || same->second != state)
      out << " vm=" << vm << " born=" << state.first
          << (state.second ? " leaving" : " live");
  }
  return out.str().empty() ? " none of these" : out.str();
}

/** @return The backend servers whose entries the store keeps. */
ServerStates ReadEntries(const std::string& directory) {
  ServerStates servers;
  const std::string id_prefix = "i-";
  for (const auto& file : std::filesystem::directory_iterator(directory)) {
    const std::string name = file.path().filename().string();
    const Result<std::string> text = ReadFile(file.path().string());
    if (!name.starts_with(id_prefix) || name.find('.') != std::string::npos ||
        !text || FileStore::IsExpired(file))
      continue;
    Json::Value entry;
    if (ParseJson(text.value(), entry))
      servers[std::strtoull(name.c_str() + id_prefix.size(), nullptr, 16)] = {
          entry["born"].asUInt64(), entry["state"] == "draining"};
  }
  return servers;
}

/** @return The values of a metric of a page by the number of the VM. */
std::map<uint64_t, uint64_t> ReadMetric(const std::string& page,
                                        const std::string& name) {
  std::map<uint64_t, uint64_t> values;
  const std::string start = name + "{vm=\"";
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    const size_t space = line.rfind(' ');
    if (line.starts_with(start) && space != std::string::npos)
      values[std::strtoull(line.c_str() + start.size(), nullptr, 10)] =
          std::strtoull(line.c_str() + space, nullptr, 10);
  }
  return values;
}

/** @return The backend servers in the list of VMs that the metrics show. */
ServerStates ReadListed(const std::string& metrics) {
  ServerStates servers;
  std::map<uint64_t, uint64_t> incarnations =
      ReadMetric(metrics, "cuminvane_backend_incarnation");
  std::map<uint64_t, uint64_t> leaving =
      ReadMetric(metrics, "cuminvane_backend_leaving");
  for (const auto& [vm, listed] :
       ReadMetric(metrics, "cuminvane_backend_listed")) {
    if (listed != 0)
      servers[vm] = {incarnations[vm], leaving[vm] != 0};
  }
  return servers;
}

/** @return The entry of a backend server with another value of one field.
 * @param form Selects the field and the value. */
std::string OddEntry(size_t form) {
  const std::vector<std::pair<std::string, std::string>> forms = {
      {"service", "\"" + std::string(2000, 's') + "\""},
      {"zone", "\"" + std::string(300'000, 'z') + "\""},
      {"address", "\"127.0.0.1\\u0000:9\""},
      {"address", "\"127.0.0.1:70000\""},
      {"slots", "1e308"},
      {"born", std::string(200'000, '9')},
      {"further", std::string(200'000, '[')}};
  const auto& [field, value] = forms.at(form % forms.size());
  std::string json = "{\"" + field + "\":" + value;
  const std::vector<std::pair<std::string, std::string>> usual = {
      {"service", "\"desk\""},
      {"address", "\"127.0.0.1:9\""},
      {"zone", "\"a\""},
      {"version", "\"v1\""},
      {"slots", "1"},
      {"state", "\"ready\""},
      {"cold_remaining_ms", "0"},
      {"seq", "1"}};
  for (const auto& [name, text] : usual) {
    if (name != field)
      json.append(",\"").append(name).append("\":").append(text);
  }
  return json + "}";
}

/** Number of values of the third address octet, counted from 1. */
constexpr uint32_t kAddressOctetCount = 250;

/** @return Whether no other process on this machine listens on the address of
 * the store. Overlapping runs use different addresses, so the rest is free too.
 */
bool IsAddressFree(asio::io_context& context, const Endpoint& store) {
  asio::ip::tcp::acceptor probe(context);
  asio::error_code error;
  probe.open(asio::ip::tcp::v4(), error);
  probe.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  probe.bind({asio::ip::address_v4(store.ip), store.port}, error);
  return !error;
}

/** @return The kinds of request: small reads, edits, and larger files. */
std::vector<emulate::RequestKind> MakeKinds() {
  std::vector<emulate::RequestKind> kinds = {
      MakeKind("feed", 1, true, 30, 24, 150),
      MakeKind("edits", 2, false, 10, 8, 200),
      MakeKind("files", 3, true, 4, 6, 500)};
  kinds[2].flow_per_request = true;
  kinds[2].answer_bytes = 20000;
  return kinds;
}

}  // namespace

Fleet::Fleet(asio::io_context& context,
             std::string directory,
             std::string bin,
             bool has_two_data_centres)
    : directory(std::move(directory)),
      bin(std::move(bin)),
      has_two_data_centres(has_two_data_centres),
      address_octet(static_cast<uint32_t>(getpid()) % kAddressOctetCount + 1),
      kinds(MakeKinds()),
      in_rotation(kBalancerCount, false) {
  std::filesystem::create_directories(this->directory + "/store/servers");
  std::filesystem::create_directories(this->directory + "/store/op/evacuate");
  this->Publish();
  for (uint32_t tries = 0;
       tries < kAddressOctetCount &&
       !IsAddressFree(context, this->MakeEndpoint(0, 2, kStorePort));
       ++tries)
    this->address_octet = this->address_octet % kAddressOctetCount + 1;
  const Endpoint store_address = this->MakeEndpoint(0, 2, kStorePort);
  this->StartStore(store_address);
  for (int index = 0; index < kDeskServerCount + kFileServerCount; ++index)
    this->AddBackendServer(index < kDeskServerCount ? "desk" : "files");
  for (int index = 0; index < kBalancerCount; ++index) {
    const Endpoint proxied =
        this->MakeEndpoint(0, 100 + static_cast<uint32_t>(index), kStorePort);
    this->proxies.push_back(
        std::make_unique<Proxy>(context, proxied, store_address));
    this->AddBalancer(index, proxied);
  }
  this->readiness_poller = std::thread([this] { this->PollReadiness(); });
}

Fleet::~Fleet() {
  this->stopping = true;
  this->readiness_poller.join();
}

void Fleet::StartStore(const Endpoint& address) {
  this->store = std::make_unique<Process>(
      std::vector<std::string>{this->bin + "/cuminvane-standin", "--role",
                               "platform", "--listen", ToString(address),
                               "--dir", this->directory + "/store"},
      this->directory + "/store.log");
  this->store->Start();
}

Endpoint Fleet::CallerEndpoint(size_t centre) const {
  return this->MakeEndpoint(0x40, 1 + static_cast<uint32_t>(centre),
                            kPacketsPort);
}

Endpoint Fleet::RoutedBalancer(const FlowKey& key) const {
  std::vector<int> ready;
  {
    const std::lock_guard hold(this->mutex);
    for (int index = 0; index < kBalancerCount; ++index) {
      if (this->in_rotation[static_cast<size_t>(index)])
        ready.push_back(index);
    }
  }
  for (int index = 0; ready.size() < 2 && index < kBalancerCount; ++index) {
    if (std::ranges::find(ready, index) == ready.end())
      ready.push_back(index);
  }
  return this->BalancerEndpoint(ready[FlowIdOf(key).value % ready.size()],
                                kPacketsPort);
}

Endpoint Fleet::MakeEndpoint(uint32_t net, uint32_t host, uint16_t port) const {
  return {0x7f000000 | net << 16 | this->address_octet << 8 | host, port};
}

Endpoint Fleet::BalancerEndpoint(int index, uint16_t port) const {
  return this->MakeEndpoint(0, 10 + static_cast<uint32_t>(index), port);
}

std::string Fleet::ServiceOf(const emulate::RequestKind& kind) {
  return kind.name == "files" ? "files" : "desk";
}

void Fleet::Publish() {
  ++this->version;
  std::ostringstream json;
  json << "{\"version\":" << this->version << ",\"routes\":[";
  for (const emulate::RequestKind& kind : this->kinds)
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
  if (this->version % 3 == 0)
    json << ",{\"name\":\"odd\",\"hostname\":\"198.18.0.8\",\"prefix\":"
            "\"/443/\",\"timeout_ms\":0,\"service\":\"unlisted\"}";
  json << "],\"services\":[{\"name\":\"desk\"},{\"name\":\"files\"}],"
          "\"limits\":{\"idle_timeout_ms\":12000}}";
  const std::string path = this->directory + "/store/op/config";
  std::ofstream(path + ".new") << json.str();
  std::filesystem::rename(path + ".new", path);
}

void Fleet::WriteOddEntry(size_t form, TimePoint until) const {
  const std::string path =
      this->directory + "/store/servers/odd-" + std::to_string(form);
  std::ofstream(path + ".new") << OddEntry(form);
  using FileClock = std::filesystem::file_time_type::clock;
  std::filesystem::last_write_time(
      path + ".new",
      FileClock::now() +
          std::chrono::duration_cast<FileClock::duration>(until - ReadClock()));
  std::filesystem::rename(path + ".new", path);
}

void Fleet::RequestEvacuation(bool is_requested) const {
  const std::string path = this->directory + "/store/op/evacuate/a";
  if (!is_requested) {
    std::filesystem::remove(path);
    return;
  }
  std::ofstream(path + ".new") << "{}";
  std::filesystem::rename(path + ".new", path);
}

void Fleet::AddBackendServer(const std::string& service) {
  const auto number = static_cast<uint32_t>(this->backend_servers.size()) + 1;
  this->backend_servers.emplace_back(
      std::vector<std::string>{
          this->bin + "/cuminvane-standin", "--role", "flow-backend",
          "--listen",
          ToString(this->MakeEndpoint(0x80, number, kBackendServerPort)),
          "--vm", std::to_string(0x1000 + number), "--serves", service,
          "--slots", "3", "--queue", "12", "--data-centre",
          this->has_two_data_centres && number % 2 == 0 ? "b" : "a", "--dir",
          this->directory + "/store", "--record",
          this->directory + "/" + RecordFile(this->backend_servers.size())},
      this->directory + "/server-" + std::to_string(number) + ".log");
  this->backend_servers.back().Start();
}

void Fleet::AddBalancer(int index, const Endpoint& store) {
  const std::string settings =
      this->directory + "/balancer-" + std::to_string(index) + ".ini";
  std::ofstream file(settings);
  file << "[vm]\ndata_centre = a\nthreads = 2\n[listen]\npackets = "
       << ToString(this->BalancerEndpoint(index, kPacketsPort))
       << "\nready = " << ToString(this->BalancerEndpoint(index, kReadyPort))
       << "\nmetrics = "
       << ToString(this->BalancerEndpoint(index, kMetricsPort))
       << "\npeer = " << ToString(this->BalancerEndpoint(index, kPeerPort))
       << "\n[platform]\naddress = " << ToString(store)
       << "\nin_force_ms = 3000\nwatchers = 2\n[membership]\npeers = ";
  for (int other = 0; other < kBalancerCount; ++other)
    file << (other == 0 ? "" : ",")
         << ToString(this->BalancerEndpoint(other, kPeerPort));
  file << "\n[stop]\nlinger_ms = 1500\n";
  file.close();
  this->balancers.emplace_back(
      std::vector<std::string>{this->bin + "/cuminvaned", "--config", settings},
      this->directory + "/balancer-" + std::to_string(index) + ".log");
  this->balancers.back().Start();
}

void Fleet::PollReadiness() {
  std::vector<int> missed_polls(kBalancerCount, kMissesToEject);
  while (!this->stopping) {
    for (int index = 0; index < kBalancerCount; ++index) {
      std::string body;
      const long status = GetPage(
          "http://" + ToString(this->BalancerEndpoint(index, kReadyPort)) +
              "/ready",
          body);
      int& missed = missed_polls[static_cast<size_t>(index)];
      missed = status == 200 ? 0 : missed + 1;
      const std::lock_guard hold(this->mutex);
      if (missed == 0)
        this->in_rotation[static_cast<size_t>(index)] = true;
      else if (missed >= kMissesToEject)
        this->in_rotation[static_cast<size_t>(index)] = false;
    }
    std::this_thread::sleep_for(kReadinessPollInterval);
  }
}

std::set<uint64_t> Fleet::ConfigVersions() const {
  std::set<uint64_t> versions;
  const std::string name = "cuminvane_config_version ";
  for (int index = 0; index < kBalancerCount; ++index) {
    std::string body;
    GetPage("http://" + ToString(this->BalancerEndpoint(index, kMetricsPort)) +
                "/metrics",
            body);
    const size_t at = body.find(name);
    versions.insert(
        at == std::string::npos
            ? 0
            : std::strtoull(body.c_str() + at + name.size(), nullptr, 10));
  }
  return versions;
}

std::vector<std::string> Fleet::ListDifferences() const {
  std::vector<std::string> differences;
  for (int index = 0; index < kBalancerCount; ++index) {
    std::string body;
    GetPage("http://" + ToString(this->BalancerEndpoint(index, kMetricsPort)) +
                "/metrics",
            body);
    const ServerStates listed = ReadListed(body);
    const ServerStates stored = ReadEntries(this->directory + "/store/servers");
    if (listed != stored)
      differences.push_back("balancer " + std::to_string(index) + " lists" +
                            FormatDifference(listed, stored) +
                            ", the store has" +
                            FormatDifference(stored, listed));
  }
  return differences;
}

std::string Fleet::PacketsAddress(size_t balancer) const {
  return ToString(
      this->BalancerEndpoint(static_cast<int>(balancer), kPacketsPort));
}

std::string Fleet::RecordFile(size_t server) {
  return "server-" + std::to_string(server + 1) + ".records";
}

}  // namespace cuminvane::soak
