/** @file soak_main.cc The fault soak: the real programs as processes, faults
 * from outside drawn from a seed, the promises checked from what callers and
 * backend servers saw. */

#include <curl/curl.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>

#include "packet/packet_func.h"
#include "shell/clock_func.h"
#include "shell/program_func.h"
#include "shell/socket_base.h"
#include "standin/flow_codec_func.h"
#include "standin/record_func.h"
#include "tests/soak/fleet_base.h"

namespace cuminvane::soak {
namespace {

constexpr Milliseconds kTick{2};
constexpr size_t kCallers = 2;
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
constexpr std::array<const char*, kDeeds> kDeedWords = {
    "kill_balancer", "stop_balancer", "pause_balancer", "kill_server",
    "stop_server",   "pause_server",  "disturb_store",  "disturb_all_stores",
    "restart_store", "publish",       "reload"};

/** One fault from outside. */
struct Fault {
  Deed deed = Deed::kPublish;
  size_t balancer = 0;  ///< The balancer, its path to the store included.
  size_t server = 0;
  Milliseconds span{0};
  ProxyMode mode = ProxyMode::kPass;
};

/** A fault at a time after the begin of the load. */
struct PlannedFault {
  Milliseconds at{0};
  Fault fault;
};

/** The demo: a balancer is killed, a backend server drains, and a release
 * replaces balancers and backend servers in turn. */
constexpr std::array kDemo = {
    PlannedFault{Milliseconds(2000),
                 {Deed::kKillBalancer, 0, 0, Milliseconds(1500)}},
    PlannedFault{Milliseconds(5000),
                 {Deed::kStopServer, 0, 2, Milliseconds(1000)}},
    PlannedFault{Milliseconds(7000), {Deed::kPublish, 0, 0, Milliseconds(0)}},
    PlannedFault{Milliseconds(8000),
                 {Deed::kStopBalancer, 1, 0, Milliseconds(1500)}},
    PlannedFault{Milliseconds(12000),
                 {Deed::kStopServer, 0, 4, Milliseconds(1000)}},
    PlannedFault{Milliseconds(13000),
                 {Deed::kStopBalancer, 2, 0, Milliseconds(1500)}}};
constexpr Seconds kDemoLength{17};

/** Draws faults, plays the callers and checks the promises. */
class Soak {
 public:
  Soak(uint64_t seed,
       Seconds length,
       const std::string& directory,
       const std::string& bin)
      : seed(seed),
        random(seed),
        length(length),
        fleet(context, directory, bin),
        tick(context) {
    for (size_t centre = 0; centre < kCallers; ++centre) {
      const Endpoint address = this->fleet.CallerAt(centre);
      this->callers.emplace_back(address.ip, this->fleet.Kinds(),
                                 ReadClock() + kLead);
      this->sockets.push_back(OpenUdp(this->context, address).value());
    }
  }

  /** @return Whether every promise held. */
  bool Run() {
    this->begun_at = ReadClock() + kLead;
    this->faults_end = this->begun_at + this->length;
    this->ends_at = this->faults_end + kCalmBeforeCheck + kChecked;
    this->next_fault = this->begun_at + Seconds(2);
    return this->Play();
  }

  /** Plays the demo's faults in place of drawn ones. */
  bool RunDemo() {
    this->begun_at = ReadClock() + kLead;
    this->faults_end = this->begun_at + kDemoLength;
    this->ends_at = this->faults_end + kCalmBeforeCheck + kChecked;
    this->next_fault = kNever;
    for (const PlannedFault& planned : kDemo)
      this->Later(this->begun_at + planned.at, [this, fault = planned.fault] {
        this->Begin(fault, ReadClock());
      });
    const bool sound = this->Play();
    this->PrintFigures();
    return sound;
  }

 private:
  bool Play() {
    this->WaitForTick();
    this->context.run();
    return this->Check(this->fleet.ConfigVersions());
  }

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
      if (!packet->unaltered && !packet->sent_by_balancer)
        this->Break("altered", "a packet for a caller");
      const size_t before = this->callers[caller].Resets().size();
      this->callers[caller].OnPacket(now, packet->model, out);
      const bool cut = this->callers[caller].Resets().size() > before;
      if (cut && packet->sent_by_balancer &&
          this->server_fault_at + kFaultShadow < now)
        this->Break("flow", "a balancer reset an open flow");
    }
  }

  void SendToBalancer(size_t caller, const emulate::ModelPacket& packet) {
    SendTo(this->sockets[caller], this->fleet.RouterChoice(packet.key),
           EncodeFlowPacket(packet));
  }

  void Later(TimePoint when, std::function<void()> deed) {
    this->due.emplace(when, std::move(deed));
  }

  Fault DrawFault() {
    const auto deed = static_cast<Deed>(DrawIndex(this->random, kDeeds));
    const Milliseconds span(500 + DrawIndex(this->random, 3000));
    const size_t balancer =
        DrawIndex(this->random, this->fleet.Balancers().size());
    const size_t server = DrawIndex(this->random, this->fleet.Servers().size());
    const auto mode =
        static_cast<ProxyMode>(1 + DrawIndex(this->random, kProxyModes - 1));
    return {deed, balancer, server, span, mode};
  }

  void Strike(TimePoint now) {
    this->next_fault =
        now + Milliseconds(
                  200 + DrawIndex(this->random,
                                  2 * static_cast<size_t>(kMeanPause.count())));
    this->Begin(this->DrawFault(), now);
  }

  void Begin(const Fault& fault, TimePoint now) {
    std::cout << "fault at_ms="
              << std::chrono::duration_cast<Milliseconds>(now - this->begun_at)
                     .count()
              << " deed=" << kDeedWords.at(static_cast<size_t>(fault.deed))
              << " balancer=" << fault.balancer << " server=" << fault.server
              << " for_ms=" << fault.span.count() << "\n";
    const TimePoint until = now + fault.span;
    Process& balancer = this->fleet.Balancers()[fault.balancer];
    Process& server = this->fleet.Servers()[fault.server];
    switch (fault.deed) {
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
        this->Disturb(*this->fleet.Proxies()[fault.balancer], fault.mode,
                      until);
        break;
      case Deed::kProxies:
        for (const auto& one : this->fleet.Proxies())
          this->Disturb(*one, fault.mode, until);
        break;
      case Deed::kRestartStore:
        this->End(this->fleet.Store(), SIGKILL, until);
        break;
      case Deed::kPublish:
        this->fleet.Publish();
        break;
      case Deed::kReload:
        balancer.Signal(SIGHUP);
        break;
    }
  }

  void Disturb(Proxy& proxy, ProxyMode mode, TimePoint until) {
    proxy.SetMode(mode);
    this->Later(until, [&proxy] { proxy.SetMode(ProxyMode::kPass); });
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
    for (const RecordLine& line :
         ReadRecords(this->fleet.Directory(), "server-")) {
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
        const emulate::WorkKind& kind = this->fleet.Kinds()[record.kind];
        int count = 0;
        for (const uint64_t attempt : record.attempts) {
          const auto run = runs.find(attempt);
          if (attempt == 0 || run == runs.end())
            continue;
          count += run->second.first;
          if (run->second.second != Fleet::ServiceOf(kind))
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
    if (versions != std::set<uint64_t>{this->fleet.Version()})
      this->Break("configuration", "not every balancer has version " +
                                       std::to_string(this->fleet.Version()));
    for (Process& balancer : this->fleet.Balancers()) {
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

  void PrintFigures() const {
    size_t resets = 0;
    for (const emulate::CallerModel& caller : this->callers)
      resets += caller.Resets().size();
    std::cout << "figure=broken_promises value=" << this->breaks.size()
              << " unit=promises\nfigure=flows_reset value=" << resets
              << " unit=flows\n";
    for (size_t kind = 0; kind < this->fleet.Kinds().size(); ++kind)
      this->PrintKind(kind);
  }

  void PrintKind(size_t kind) const {
    const emulate::WorkKind& work = this->fleet.Kinds()[kind];
    std::vector<Milliseconds> times;
    size_t asked = 0;
    size_t in_time = 0;
    for (const emulate::CallerModel& caller : this->callers) {
      for (const emulate::RequestRecord& record : caller.Records()) {
        if (record.kind != kind || record.asked_at > this->ends_at - Seconds(1))
          continue;
        ++asked;
        if (record.end != emulate::RequestEnd::kDone)
          continue;
        times.push_back(std::chrono::duration_cast<Milliseconds>(
            record.ended_at - record.asked_at));
        in_time += times.back() <= work.target ? 1 : 0;
      }
    }
    std::ranges::sort(times);
    const auto at = [&times](size_t percent) {
      return times.empty() ? Milliseconds(0)
                           : times[(times.size() - 1) * percent / 100];
    };
    std::cout << "figure=" << work.name << " asked=" << asked
              << " answered=" << times.size() << " in_time=" << in_time
              << " p50_ms=" << at(50).count() << " p99_ms=" << at(99).count()
              << "\n";
  }

  uint64_t seed;
  RandomEngine random;
  Seconds length;
  asio::io_context context{1};
  Fleet fleet;
  asio::steady_timer tick;
  std::deque<emulate::CallerModel> callers;
  std::vector<UdpSocket> sockets;
  ReceiveBuffer buffer{};
  std::multimap<TimePoint, std::function<void()>> due;
  TimePoint begun_at;
  TimePoint faults_end;
  TimePoint ends_at;
  TimePoint next_fault;
  TimePoint server_fault_at;
  std::vector<std::string> breaks;
};

/** @return Whether every promise held; all processes have ended then, also
 * where the soak itself failed. */
bool PlaySeed(uint64_t seed,
              Seconds length,
              const std::string& directory,
              const std::string& bin,
              bool is_demo) {
  try {
    Soak soak(seed, length, directory, bin);
    return is_demo ? soak.RunDemo() : soak.Run();
  } catch (const std::exception& error) {
    std::cout << "soak seed=" << seed << " error=\"" << error.what() << "\"\n";
    return false;
  }
}

ResultCode RunSoak(const cxxopts::ParseResult& options) {
  const auto first = options["seed"].as<uint64_t>();
  const auto runs = options["runs"].as<int>();
  bool held = true;
  for (int run = 0; run < runs; ++run) {
    const uint64_t seed = first + static_cast<uint64_t>(run);
    const std::string directory =
        options["dir"].as<std::string>() + "/seed-" + std::to_string(seed);
    std::filesystem::remove_all(directory);
    const bool sound =
        PlaySeed(seed, Seconds(options["seconds"].as<int>()), directory,
                 options["bin"].as<std::string>(), options.count("demo") != 0);
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
      "demo", "A fixed series of faults, and figures at the end")(
      "runs", "Seeds in a row", value<int>()->default_value("1"))(
      "seconds", "Length of the faults", value<int>()->default_value("10"))(
      "dir",
      "Directory for logs, in memory since the VMs have no disk; those of a "
      "failed seed are kept",
      value<std::string>()->default_value("/dev/shm/cuminvane-soak"))(
      "bin", "Directory of the programs",
      value<std::string>()->default_value("build/release"));
  return cuminvane::RunProgram(argc, argv, options, cuminvane::soak::RunSoak);
}
