/** @file soak_main.cc Soak test with fault injection: runs the real programs,
 * injects faults drawn from a seed, and checks the guarantees on the records of
 * callers and backend servers. */

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

constexpr Milliseconds kTickInterval{2};
constexpr size_t kCallerCount = 2;
/** Time for the processes to start before load begins. */
constexpr Seconds kLoadStartDelay{3};
/** Longer than a configuration may take to become active after the faults. */
constexpr Seconds kRecoveryTime{6};
constexpr Seconds kCheckDuration{3};
/** A flow may be reset this long after a fault at a backend server. */
constexpr Seconds kResetTolerance{5};
/** Minimum share of requests that are answered after recovery. */
constexpr double kMinServedRatio = 0.95;
/** Mean of the random part of the pause between two faults. */
constexpr Milliseconds kMeanRandomPause{900};

enum class FaultAction : uint8_t {
  kKillBalancer,
  kStopBalancer,
  kPauseBalancer,
  kKillBackendServer,
  kStopBackendServer,
  kPauseBackendServer,
  kDisturbStorePath,
  kDisturbAllStorePaths,
  kRestartStore,
  kPublishConfig,
  kReloadSettings,
};
constexpr int kActionCount = 11;
constexpr std::array<const char*, kActionCount> kActionNames = {
    "kill_balancer", "stop_balancer", "pause_balancer", "kill_server",
    "stop_server",   "pause_server",  "disturb_store",  "disturb_all_stores",
    "restart_store", "publish",       "reload"};

/** A fault that the soak injects. */
struct Fault {
  FaultAction action = FaultAction::kPublishConfig;
  size_t balancer = 0;       ///< Index; its path to the store has the same one.
  size_t server = 0;         ///< Index of the backend server.
  Milliseconds duration{0};  ///< Time until the fault is undone.
  ProxyMode mode = ProxyMode::kPass;  ///< For faults of paths to the store.
};

/** A fault of the demo. */
struct PlannedFault {
  Milliseconds at{0};  ///< Time since the load started.
  Fault fault;
};

/** Faults of the demo: a balancer is killed, a backend server drains, and a
 * release replaces balancers and backend servers one after another. */
constexpr std::array kDemoFaults = {
    PlannedFault{Milliseconds(2000),
                 {FaultAction::kKillBalancer, 0, 0, Milliseconds(1500)}},
    PlannedFault{Milliseconds(5000),
                 {FaultAction::kStopBackendServer, 0, 2, Milliseconds(1000)}},
    PlannedFault{Milliseconds(7000),
                 {FaultAction::kPublishConfig, 0, 0, Milliseconds(0)}},
    PlannedFault{Milliseconds(8000),
                 {FaultAction::kStopBalancer, 1, 0, Milliseconds(1500)}},
    PlannedFault{Milliseconds(12000),
                 {FaultAction::kStopBackendServer, 0, 4, Milliseconds(1000)}},
    PlannedFault{Milliseconds(13000),
                 {FaultAction::kStopBalancer, 2, 0, Milliseconds(1500)}}};
constexpr Seconds kDemoDuration{17};

/** Injects faults, simulates the callers and checks the guarantees. */
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
    for (size_t centre = 0; centre < kCallerCount; ++centre) {
      const Endpoint address = this->fleet.CallerEndpoint(centre);
      this->callers.emplace_back(address.ip, this->fleet.Kinds(),
                                 ReadClock() + kLoadStartDelay);
      this->sockets.push_back(OpenUdp(this->context, address).value());
    }
  }

  /** @return Whether all guarantees were kept. */
  bool Run() {
    this->load_start = ReadClock() + kLoadStartDelay;
    this->faults_end = this->load_start + this->length;
    this->ends_at = this->faults_end + kRecoveryTime + kCheckDuration;
    this->next_fault_at = this->load_start + Seconds(2);
    return this->RunUntilEnd();
  }

  /** Injects the faults of the demo and prints figures. */
  bool RunDemo() {
    this->load_start = ReadClock() + kLoadStartDelay;
    this->faults_end = this->load_start + kDemoDuration;
    this->ends_at = this->faults_end + kRecoveryTime + kCheckDuration;
    this->next_fault_at = kNever;
    for (const PlannedFault& planned : kDemoFaults)
      this->RunAt(this->load_start + planned.at, [this, fault = planned.fault] {
        this->InjectFault(fault, ReadClock());
      });
    const bool passed = this->RunUntilEnd();
    this->PrintFigures();
    return passed;
  }

 private:
  bool RunUntilEnd() {
    this->WaitForTick();
    this->context.run();
    return this->CheckGuarantees(this->fleet.ConfigVersions());
  }

  void WaitForTick() {
    this->tick.expires_after(kTickInterval);
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
    while (!this->actions.empty() && this->actions.begin()->first <= now) {
      const auto action = this->actions.begin()->second;
      this->actions.erase(this->actions.begin());
      action();
    }
    if (now >= this->next_fault_at && now < this->faults_end)
      this->InjectDrawnFault(now);
    std::vector<emulate::ModelPacket> out;
    for (size_t caller = 0; caller < this->callers.size(); ++caller) {
      this->Receive(caller, now, out);
      const double load = now < this->load_start ? 0 : 1;
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
        this->AddViolation("altered", "a packet for a caller");
      const size_t before = this->callers[caller].Resets().size();
      this->callers[caller].OnPacket(now, packet->model, out);
      const bool cut = this->callers[caller].Resets().size() > before;
      if (cut && packet->sent_by_balancer &&
          this->server_fault_until + kResetTolerance < now)
        this->AddViolation("flow", "a balancer reset an open flow");
    }
  }

  void SendToBalancer(size_t caller, const emulate::ModelPacket& packet) {
    SendTo(this->sockets[caller], this->fleet.RoutedBalancer(packet.key),
           EncodeFlowPacket(packet));
  }

  void RunAt(TimePoint when, std::function<void()> action) {
    this->actions.emplace(when, std::move(action));
  }

  Fault DrawFault() {
    const auto action =
        static_cast<FaultAction>(DrawIndex(this->random, kActionCount));
    const Milliseconds duration(500 + DrawIndex(this->random, 3000));
    const size_t balancer =
        DrawIndex(this->random, this->fleet.Balancers().size());
    const size_t server =
        DrawIndex(this->random, this->fleet.BackendServers().size());
    const auto mode = static_cast<ProxyMode>(
        1 + DrawIndex(this->random, kProxyModeCount - 1));
    return {action, balancer, server, duration, mode};
  }

  void InjectDrawnFault(TimePoint now) {
    this->next_fault_at =
        now + Milliseconds(200 + DrawIndex(this->random,
                                           2 * static_cast<size_t>(
                                                   kMeanRandomPause.count())));
    this->InjectFault(this->DrawFault(), now);
  }

  void InjectFault(const Fault& fault, TimePoint now) {
    std::cout << "fault at_ms="
              << std::chrono::duration_cast<Milliseconds>(now -
                                                          this->load_start)
                     .count()
              << " deed=" << kActionNames.at(static_cast<size_t>(fault.action))
              << " balancer=" << fault.balancer << " server=" << fault.server
              << " for_ms=" << fault.duration.count() << "\n";
    const TimePoint until = now + fault.duration;
    Process& balancer = this->fleet.Balancers()[fault.balancer];
    Process& server = this->fleet.BackendServers()[fault.server];
    switch (fault.action) {
      case FaultAction::kKillBalancer:
        this->EndProcess(balancer, SIGKILL, until);
        break;
      case FaultAction::kStopBalancer:
        this->EndProcess(balancer, SIGTERM, until + Seconds(2));
        break;
      case FaultAction::kPauseBalancer:
        this->PauseProcess(balancer, until);
        break;
      case FaultAction::kKillBackendServer:
        this->server_fault_until = std::max(this->server_fault_until, until);
        this->EndProcess(server, SIGKILL, until);
        break;
      case FaultAction::kStopBackendServer:
        // A backend server drains for 3 s before it ends.
        this->server_fault_until =
            std::max(this->server_fault_until, until + Seconds(4));
        this->EndProcess(server, SIGTERM, until + Seconds(4));
        break;
      case FaultAction::kPauseBackendServer:
        this->server_fault_until = std::max(this->server_fault_until, until);
        this->PauseProcess(server, until);
        break;
      case FaultAction::kDisturbStorePath:
        this->DisturbProxy(*this->fleet.Proxies()[fault.balancer], fault.mode,
                           until);
        break;
      case FaultAction::kDisturbAllStorePaths:
        for (const auto& one : this->fleet.Proxies())
          this->DisturbProxy(*one, fault.mode, until);
        break;
      case FaultAction::kRestartStore:
        this->EndProcess(this->fleet.Store(), SIGKILL, until);
        break;
      case FaultAction::kPublishConfig:
        this->fleet.Publish();
        break;
      case FaultAction::kReloadSettings:
        balancer.Signal(SIGHUP);
        break;
    }
  }

  void DisturbProxy(Proxy& proxy, ProxyMode mode, TimePoint until) {
    proxy.SetMode(mode);
    this->RunAt(until, [&proxy] { proxy.SetMode(ProxyMode::kPass); });
  }

  void EndProcess(Process& process, int signal, TimePoint until) {
    process.ExpectExit();
    process.Signal(SIGCONT);
    process.Signal(signal);
    this->RunAt(until, [this, &process] { this->RestartWhenEnded(process); });
  }

  /** Starts a process again; polls every 200 ms until the old one has ended. */
  void RestartWhenEnded(Process& process) {
    if (process.IsRunning())
      this->RunAt(ReadClock() + Milliseconds(200),
                  [this, &process] { this->RestartWhenEnded(process); });
    else
      process.Start();
  }

  void PauseProcess(Process& process, TimePoint until) {
    process.Signal(SIGSTOP);
    this->RunAt(until, [&process] { process.Signal(SIGCONT); });
  }

  void AddViolation(const std::string& guarantee, const std::string& detail) {
    this->violations.push_back("broken promise=" + guarantee + " what=\"" +
                               detail + "\"");
  }

  void CheckDispatchedRuns() {
    std::map<uint64_t, std::pair<int, std::string>> runs;
    for (const RecordLine& line :
         ReadRecords(this->fleet.Directory(), "server-")) {
      if (TextOf(line, "event") == "altered")
        this->AddViolation("altered", "a packet for a backend server");
      if (TextOf(line, "event") != "run")
        continue;
      auto& run =
          runs[std::strtoull(TextOf(line, "request").c_str(), nullptr, 10)];
      ++run.first;
      run.second = TextOf(line, "service");
    }
    for (const emulate::CallerModel& caller : this->callers) {
      for (const emulate::RequestRecord& record : caller.Records()) {
        const emulate::RequestKind& kind = this->fleet.Kinds()[record.kind];
        int count = 0;
        for (const uint64_t attempt : record.attempts) {
          const auto run = runs.find(attempt);
          if (attempt == 0 || run == runs.end())
            continue;
          count += run->second.first;
          if (run->second.second != Fleet::ServiceOf(kind))
            this->AddViolation("route", "request " + std::to_string(attempt));
        }
        if (record.has_wrong_answer)
          this->AddViolation("mixed", "request " + std::to_string(record.id));
        if (!kind.idempotent && count > 1)
          this->AddViolation("doubled", "request " + std::to_string(record.id));
      }
    }
  }

  bool CheckGuarantees(const std::set<uint64_t>& versions) {
    this->CheckDispatchedRuns();
    if (versions != std::set<uint64_t>{this->fleet.PublishedVersion()})
      this->AddViolation("configuration",
                         "not every balancer has version " +
                             std::to_string(this->fleet.PublishedVersion()));
    for (Process& balancer : this->fleet.Balancers()) {
      balancer.IsRunning();
      if (balancer.UnexpectedExits() != 0)
        this->AddViolation("process", "a balancer ended by itself");
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
        if (record.issued_at < this->faults_end + kRecoveryTime ||
            record.issued_at > this->ends_at - Seconds(1))
          continue;
        ++asked;
        served += done ? 1 : 0;
      }
    }
    if (asked == 0 || static_cast<double>(served) <
                          kMinServedRatio * static_cast<double>(asked))
      this->AddViolation("recovery", std::to_string(served) + " of " +
                                         std::to_string(asked) + " served");
    for (const std::string& line : this->violations)
      std::cout << line << "\n";
    std::cout << "soak seed=" << this->seed << " asked=" << all_asked
              << " served=" << all_served << " calm_asked=" << asked
              << " calm_served=" << served
              << " broken=" << this->violations.size() << "\n";
    return this->violations.empty();
  }

  void PrintFigures() const {
    size_t resets = 0;
    for (const emulate::CallerModel& caller : this->callers)
      resets += caller.Resets().size();
    std::cout << "figure=broken_promises value=" << this->violations.size()
              << " unit=promises\nfigure=flows_reset value=" << resets
              << " unit=flows\n";
    for (size_t kind = 0; kind < this->fleet.Kinds().size(); ++kind)
      this->PrintFiguresOf(kind);
  }

  void PrintFiguresOf(size_t kind) const {
    const emulate::RequestKind& work = this->fleet.Kinds()[kind];
    std::vector<Milliseconds> times;
    size_t asked = 0;
    size_t in_time = 0;
    for (const emulate::CallerModel& caller : this->callers) {
      for (const emulate::RequestRecord& record : caller.Records()) {
        if (record.kind != kind ||
            record.issued_at > this->ends_at - Seconds(1))
          continue;
        ++asked;
        if (record.end != emulate::RequestEnd::kDone)
          continue;
        times.push_back(std::chrono::duration_cast<Milliseconds>(
            record.ended_at - record.issued_at));
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
  std::multimap<TimePoint, std::function<void()>> actions;  ///< Key: due time.
  TimePoint load_start;
  TimePoint faults_end;
  TimePoint ends_at;
  TimePoint next_fault_at;
  TimePoint server_fault_until;  ///< End of the latest backend server fault.
  std::vector<std::string> violations;  ///< Lines to print.
};

/** Runs one seed; all processes have ended afterwards, also after an error of
 * the soak itself.
 * @return Whether all guarantees were kept. */
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
  bool all_passed = true;
  for (int run = 0; run < runs; ++run) {
    const uint64_t seed = first + static_cast<uint64_t>(run);
    const std::string directory =
        options["dir"].as<std::string>() + "/seed-" + std::to_string(seed);
    std::filesystem::remove_all(directory);
    const bool passed =
        PlaySeed(seed, Seconds(options["seconds"].as<int>()), directory,
                 options["bin"].as<std::string>(), options.count("demo") != 0);
    all_passed = all_passed && passed;
    if (passed)
      std::filesystem::remove_all(directory);
  }
  return all_passed ? ResultCode::kOk : ResultCode::kTargetsNotMet;
}

}  // namespace
}  // namespace cuminvane::soak

int main(int argc, char** argv) {
  using cxxopts::value;
  curl_global_init(CURL_GLOBAL_NOTHING);
  cxxopts::Options options(
      "cuminvane_soak",
      "Injects faults into the real programs and checks the guarantees");
  options.add_options()("seed", "First seed",
                        value<uint64_t>()->default_value("1"))(
      "demo", "A fixed series of faults, and figures at the end")(
      "runs", "Seeds in a row", value<int>()->default_value("1"))(
      "seconds", "Length of the faults", value<int>()->default_value("10"))(
      "dir",
      "Directory for logs, in memory because the VMs have no disk; logs of a "
      "failed seed are kept",
      value<std::string>()->default_value("/dev/shm/cuminvane-soak"))(
      "bin", "Directory of the programs",
      value<std::string>()->default_value("build/release"));
  return cuminvane::RunProgram(argc, argv, options, cuminvane::soak::RunSoak);
}
