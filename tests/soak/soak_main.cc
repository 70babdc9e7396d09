/** @file soak_main.cc The fault soak: the real programs as processes, faults
 * from outside drawn from a seed, the promises checked from what callers and
 * backend servers saw. */

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cxxopts.hpp>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include "emulate/caller_model.h"
#include "packet/packet_func.h"
#include "shell/clock_func.h"
#include "shell/program_func.h"
#include "shell/socket_base.h"
#include "standin/flow_codec_func.h"
#include "standin/record_func.h"
#include "tests/soak/process_base.h"
#include "tests/soak/proxy_base.h"

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
constexpr Milliseconds kTick{2};
constexpr Milliseconds kReadinessPoll{500};
constexpr int kMissesToLeave = 2;
constexpr Seconds kLead{3};
/** After the last fault; the bound of a configuration and some more. */
constexpr Seconds kCalmBeforeCheck{6};
constexpr Seconds kChecked{3};
/** A reset within this of a fault at a backend server may be right. */
constexpr Seconds kFaultShadow{5};
constexpr double kServedShare = 0.95;
constexpr Milliseconds kMeanPause{900};

enum class Deed : uint8_t {
  kKillBalancer,
  kStopBalancer,
  kPauseBalancer,
  kKillServer,
  kStopServer,
  kPauseServer,
  kProxy,
  kProxies,
  kRestartStore,
  kPublish,
  kReload,
};
constexpr int kDeeds = 11;

/** Everything that one run owns. */
class Soak {
 public:
  Soak(uint64_t seed, Seconds length, std::string directory, std::string bin)
      : seed(seed),
        random(seed),
        length(length),
        directory(std::move(directory)),
        bin(std::move(bin)),
        octet(static_cast<uint32_t>(getpid()) % 250 + 1),
        tick(context) {}

  /** @return Whether every promise held. */
  bool Run() {
    this->Build();
    this->begun_at = ReadClock() + kLead;
    this->faults_end = this->begun_at + this->length;
    this->ends_at = this->faults_end + kCalmBeforeCheck + kChecked;
    this->next_fault = this->begun_at + Seconds(2);
    this->WaitForTick();
    std::thread poller([this] { this->PollReadiness(); });
    this->context.run();
    const std::set<uint64_t> versions = this->ConfigVersions();
    this->closing = true;
    poller.join();
    return this->Check(versions);
  }

 private:
  Endpoint At(uint32_t net, uint32_t host, uint16_t port) const {
    return {0x7f000000 | net << 16 | this->octet << 8 | host, port};
  }
  Endpoint Balancer(int index, uint16_t port) const {
    return this->At(0, 10 + static_cast<uint32_t>(index), port);
  }

  void Build() {
    std::filesystem::create_directories(this->directory + "/store/servers");
    std::filesystem::create_directories(this->directory + "/store/op");
    this->kinds = {this->Kind("feed", 1, true, 30, 24, 150),
                   this->Kind("edits", 2, false, 10, 8, 200),
                   this->Kind("files", 3, true, 4, 6, 500)};
    this->kinds[2].fresh = true;
    this->kinds[2].answer_bytes = 20000;
    this->Publish();
    const Endpoint store = this->At(0, 2, kStorePort);
    this->store = std::make_unique<Process>(
        std::vector<std::string>{this->bin + "/cuminvane-standin", "--role",
                                 "platform", "--listen", ToString(store),
                                 "--dir", this->directory + "/store"},
        this->directory + "/store.log");
    this->store->Start();
    for (int index = 0; index < kDeskServers + kFileServers; ++index)
      this->AddServer(index < kDeskServers ? "desk" : "files");
    for (int index = 0; index < kBalancers; ++index) {
      const Endpoint proxied =
          this->At(0, 100 + static_cast<uint32_t>(index), kStorePort);
      this->proxies.push_back(
          std::make_unique<Proxy>(this->context, proxied, store));
      this->AddBalancer(index, proxied);
    }
    for (size_t centre = 0; centre < 2; ++centre) {
      const Endpoint address =
          this->At(0x40, 1 + static_cast<uint32_t>(centre), kPacketsPort);
      this->callers.emplace_back(address.ip, this->kinds, ReadClock() + kLead);
      this->sockets.push_back(OpenUdp(this->context, address).value());
    }
  }

  emulate::WorkKind Kind(const std::string& name,
                         uint32_t host,
                         bool idempotent,
                         double per_s,
                         int users,
                         int target_ms) const {
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

  static std::string ServiceOf(const emulate::WorkKind& kind) {
    return kind.name == "files" ? "files" : "desk";
  }

  /** Writes the operator's configuration, with a route that comes and goes. */
  void Publish() {
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

  void AddServer(const std::string& service) {
    const auto number = static_cast<uint32_t>(this->servers.size()) + 1;
    this->services.push_back(service);
    this->servers.emplace_back(
        std::vector<std::string>{
            this->bin + "/cuminvane-standin", "--role", "flow-backend",
            "--listen", ToString(this->At(0x80, number, kServerPort)), "--vm",
            std::to_string(0x1000 + number), "--serves", service, "--slots",
            "3", "--queue", "12", "--dir", this->directory + "/store",
            "--record",
            this->directory + "/server-" + std::to_string(number) + ".records"},
        this->directory + "/server-" + std::to_string(number) + ".log");
    this->servers.back().Start();
  }

  void AddBalancer(int index, const Endpoint& store) {
    const std::string settings =
        this->directory + "/balancer-" + std::to_string(index) + ".ini";
    std::ofstream file(settings);
    file << "[vm]\ndata_centre = a\nthreads = 1\n[listen]\npackets = "
         << ToString(Balancer(index, kPacketsPort))
         << "\nready = " << ToString(Balancer(index, kReadyPort))
         << "\nmetrics = " << ToString(Balancer(index, kMetricsPort))
         << "\npeer = " << ToString(Balancer(index, kPeerPort))
         << "\n[platform]\naddress = " << ToString(store)
         << "\nin_force_ms = 3000\nwatchers = 2\n[membership]\npeers = ";
    for (int other = 0; other < kBalancers; ++other)
      file << (other == 0 ? "" : ",") << ToString(Balancer(other, kPeerPort));
    file << "\n[stop]\nlinger_ms = 1500\n";
    file.close();
    this->balancers.emplace_back(
        std::vector<std::string>{this->bin + "/cuminvaned", "--config",
                                 settings},
        this->directory + "/balancer-" + std::to_string(index) + ".log");
    this->balancers.back().Start();
    this->in_rotation.push_back(false);
  }

  // Packets.

  void WaitForTick() {
    this->tick.expires_after(kTick);
    this->tick.async_wait([this](const asio::error_code&) {
      this->OnTick();
      if (ReadClock() < this->ends_at)
        this->WaitForTick();
      else
        this->context.stop();
    });
  }

  void OnTick() {
    const TimePoint now = ReadClock();
    while (!this->due.empty() && this->due.begin()->first <= now) {
      const auto deed = this->due.begin()->second;
      this->due.erase(this->due.begin());
      deed();
    }
    if (now >= this->next_fault && now < this->faults_end)
      this->Strike(now);
    std::vector<emulate::ModelPacket> out;
    for (size_t caller = 0; caller < this->callers.size(); ++caller) {
      this->Receive(caller, now, out);
      const double load = now < this->begun_at ? 0 : 1;
      this->callers[caller].Tick(now, load, this->random, out);
      for (const emulate::ModelPacket& packet : out)
        this->SendToBalancer(caller, packet);
      out.clear();
    }
  }

  void Receive(size_t caller,
               TimePoint now,
               std::vector<emulate::ModelPacket>& out) {
    Endpoint from;
    while (const auto bytes =
               cuminvane::Receive(this->sockets[caller], this->buffer, from)) {
      const std::optional<FlowPacket> packet = DecodeFlowPacket(*bytes);
      if (!packet)
        continue;
      if (!packet->genuine && !packet->of_balancer)
        this->Break("altered", "a packet for a caller");
      const size_t before = this->callers[caller].Resets().size();
      this->callers[caller].OnPacket(now, packet->model, out);
      const bool cut = this->callers[caller].Resets().size() > before;
      if (cut && packet->of_balancer &&
          this->server_fault_at + kFaultShadow < now)
        this->Break("flow", "a balancer reset an open flow");
    }
  }

  void SendToBalancer(size_t caller, const emulate::ModelPacket& packet) {
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
    const int chosen = ready[FlowIdOf(packet.key).value % ready.size()];
    SendTo(this->sockets[caller], Balancer(chosen, kPacketsPort),
           EncodeFlowPacket(packet));
  }

  // Readiness, as the platform's routers ask for it.

  static size_t TakeBytes(char* data, size_t size, size_t count, void* user) {
    static_cast<std::string*>(user)->append(data, size * count);
    return size * count;
  }

  static long Get(const std::string& url, std::string& body) {
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

  void PollReadiness() {
    std::vector<int> misses(kBalancers, kMissesToLeave);
    while (!this->closing) {
      for (int index = 0; index < kBalancers; ++index) {
        std::string body;
        const long status = Get(
            "http://" + ToString(Balancer(index, kReadyPort)) + "/ready", body);
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

  std::set<uint64_t> ConfigVersions() const {
    std::set<uint64_t> versions;
    const std::string name = "cuminvane_config_version ";
    for (int index = 0; index < kBalancers; ++index) {
      std::string body;
      Get("http://" + ToString(Balancer(index, kMetricsPort)) + "/metrics",
          body);
      const size_t at = body.find(name);
      versions.insert(
          at == std::string::npos
              ? 0
              : std::strtoull(body.c_str() + at + name.size(), nullptr, 10));
    }
    return versions;
  }

  // Faults.

  void Later(TimePoint when, std::function<void()> deed) {
    this->due.emplace(when, std::move(deed));
  }

  void Strike(TimePoint now) {
    this->next_fault =
        now + Milliseconds(
                  200 + DrawIndex(this->random,
                                  2 * static_cast<size_t>(kMeanPause.count())));
    const auto deed = static_cast<Deed>(DrawIndex(this->random, kDeeds));
    const TimePoint until =
        now + Milliseconds(500 + DrawIndex(this->random, 3000));
    Process& balancer =
        this->balancers[DrawIndex(this->random, this->balancers.size())];
    Process& server =
        this->servers[DrawIndex(this->random, this->servers.size())];
    const size_t proxy = DrawIndex(this->random, this->proxies.size());
    const auto mode =
        static_cast<ProxyMode>(1 + DrawIndex(this->random, kProxyModes - 1));
    std::cout << "fault at_ms="
              << std::chrono::duration_cast<Milliseconds>(now - this->begun_at)
                     .count()
              << " deed=" << static_cast<int>(deed) << "\n";
    switch (deed) {
      case Deed::kKillBalancer:
        this->End(balancer, SIGKILL, until);
        break;
      case Deed::kStopBalancer:
        this->End(balancer, SIGTERM, until + Seconds(2));
        break;
      case Deed::kPauseBalancer:
        this->Pause(balancer, until);
        break;
      case Deed::kKillServer:
        this->server_fault_at = std::max(this->server_fault_at, until);
        this->End(server, SIGKILL, until);
        break;
      case Deed::kStopServer:
        // It drains for three seconds before it ends.
        this->server_fault_at =
            std::max(this->server_fault_at, until + Seconds(4));
        this->End(server, SIGTERM, until + Seconds(4));
        break;
      case Deed::kPauseServer:
        this->server_fault_at = std::max(this->server_fault_at, until);
        this->Pause(server, until);
        break;
      case Deed::kProxy:
        this->proxies[proxy]->SetMode(mode);
        this->Later(until, [this, proxy] {
          this->proxies[proxy]->SetMode(ProxyMode::kPass);
        });
        break;
      case Deed::kProxies:
        for (const auto& one : this->proxies)
          one->SetMode(mode);
        this->Later(until, [this] {
          for (const auto& one : this->proxies)
            one->SetMode(ProxyMode::kPass);
        });
        break;
      case Deed::kRestartStore:
        this->End(*this->store, SIGKILL, until);
        break;
      case Deed::kPublish:
        this->Publish();
        break;
      case Deed::kReload:
        balancer.Signal(SIGHUP);
        break;
    }
  }

  void End(Process& process, int signal, TimePoint until) {
    process.ExpectEnd();
    process.Signal(SIGCONT);
    process.Signal(signal);
    this->Later(until, [this, &process] { this->StartAgain(process); });
  }

  /** One that has not ended yet is started when it has. */
  void StartAgain(Process& process) {
    if (process.IsUp())
      this->Later(ReadClock() + Milliseconds(200),
                  [this, &process] { this->StartAgain(process); });
    else
      process.Start();
  }

  void Pause(Process& process, TimePoint until) {
    process.Signal(SIGSTOP);
    this->Later(until, [&process] { process.Signal(SIGCONT); });
  }

  // Checks.

  void Break(const std::string& promise, const std::string& what) {
    this->breaks.push_back("broken promise=" + promise + " what=\"" + what +
                           "\"");
  }

  void CheckRuns() {
    std::map<uint64_t, std::pair<int, std::string>> runs;
    for (const RecordLine& line : ReadRecords(this->directory, "server-")) {
      if (TextOf(line, "event") == "altered")
        this->Break("altered", "a packet for a backend server");
      if (TextOf(line, "event") != "run")
        continue;
      auto& run =
          runs[std::strtoull(TextOf(line, "request").c_str(), nullptr, 10)];
      ++run.first;
      run.second = TextOf(line, "service");
    }
    for (const emulate::CallerModel& caller : this->callers) {
      for (const emulate::RequestRecord& record : caller.Records()) {
        const emulate::WorkKind& kind = this->kinds[record.kind];
        int count = 0;
        for (const uint64_t attempt : record.attempts) {
          const auto run = runs.find(attempt);
          if (attempt == 0 || run == runs.end())
            continue;
          count += run->second.first;
          if (run->second.second != ServiceOf(kind))
            this->Break("route", "request " + std::to_string(attempt));
        }
        if (record.mixed)
          this->Break("mixed", "request " + std::to_string(record.id));
        if (!kind.idempotent && count > 1)
          this->Break("doubled", "request " + std::to_string(record.id));
      }
    }
  }

  bool Check(const std::set<uint64_t>& versions) {
    this->CheckRuns();
    if (versions != std::set<uint64_t>{this->version})
      this->Break("configuration", "not every balancer has version " +
                                       std::to_string(this->version));
    for (Process& balancer : this->balancers) {
      balancer.IsUp();
      if (balancer.BadEnds() != 0)
        this->Break("process", "a balancer ended by itself");
    }
    size_t asked = 0;
    size_t served = 0;
    size_t all_asked = 0;
    size_t all_served = 0;
    for (const emulate::CallerModel& caller : this->callers) {
      for (const emulate::RequestRecord& record : caller.Records()) {
        const bool done = record.end == emulate::RequestEnd::kDone;
        ++all_asked;
        all_served += done ? 1 : 0;
        if (record.asked_at < this->faults_end + kCalmBeforeCheck ||
            record.asked_at > this->ends_at - Seconds(1))
          continue;
        ++asked;
        served += done ? 1 : 0;
      }
    }
    if (asked == 0 ||
        static_cast<double>(served) < kServedShare * static_cast<double>(asked))
      this->Break("recovery", std::to_string(served) + " of " +
                                  std::to_string(asked) + " served");
    for (const std::string& line : this->breaks)
      std::cout << line << "\n";
    std::cout << "soak seed=" << this->seed << " asked=" << all_asked
              << " served=" << all_served << " calm_asked=" << asked
              << " calm_served=" << served << " broken=" << this->breaks.size()
              << "\n";
    return this->breaks.empty();
  }

  uint64_t seed;
  RandomEngine random;
  Seconds length;
  std::string directory;
  std::string bin;
  uint32_t octet;  ///< Keeps runs that overlap apart.
  asio::io_context context{1};
  asio::steady_timer tick;
  std::vector<emulate::WorkKind> kinds;
  std::unique_ptr<Process> store;
  std::deque<Process> balancers;
  std::deque<Process> servers;
  std::vector<std::string> services;
  std::vector<std::unique_ptr<Proxy>> proxies;
  std::deque<emulate::CallerModel> callers;
  std::vector<UdpSocket> sockets;
  ReceiveBuffer buffer{};
  std::mutex mutex;
  std::vector<bool> in_rotation;  ///< Under `mutex`.
  std::atomic<bool> closing = false;
  std::multimap<TimePoint, std::function<void()>> due;
  TimePoint begun_at;
  TimePoint faults_end;
  TimePoint ends_at;
  TimePoint next_fault;
  TimePoint server_fault_at;
  uint64_t version = 0;
  std::vector<std::string> breaks;
};

ResultCode RunSoak(const cxxopts::ParseResult& options) {
  const auto first = options["seed"].as<uint64_t>();
  const auto runs = options["runs"].as<int>();
  bool held = true;
  for (int run = 0; run < runs; ++run) {
    const uint64_t seed = first + static_cast<uint64_t>(run);
    const std::string directory =
        options["dir"].as<std::string>() + "/seed-" + std::to_string(seed);
    std::filesystem::remove_all(directory);
    Soak soak(seed, Seconds(options["seconds"].as<int>()), directory,
              options["bin"].as<std::string>());
    const bool sound = soak.Run();
    held = held && sound;
    if (sound)
      std::filesystem::remove_all(directory);
  }
  return held ? ResultCode::kOk : ResultCode::kTargetsNotMet;
}

}  // namespace
}  // namespace cuminvane::soak

int main(int argc, char** argv) {
  using cxxopts::value;
  curl_global_init(CURL_GLOBAL_NOTHING);
  cxxopts::Options options("cuminvane_soak",
                           "Faults from outside against the real programs");
  options.add_options()("seed", "First seed",
                        value<uint64_t>()->default_value("1"))(
      "runs", "Seeds in a row", value<int>()->default_value("1"))(
      "seconds", "Length of the faults", value<int>()->default_value("10"))(
      "dir", "Directory for logs; those of a failed seed are kept",
      value<std::string>()->default_value("/tmp/cuminvane-soak"))(
      "bin", "Directory of the programs",
      value<std::string>()->default_value("build/release"));
  return cuminvane::RunProgram(argc, argv, options, cuminvane::soak::RunSoak);
}
