/** @file soak_main.cc Soak test with fault injection: runs the real programs,
 * injects faults drawn from a seed, and checks the guarantees on the records of
 * callers and backend servers. */

#include <curl/curl.h>

#include <algorithm>
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
#include "standin/file_store_base.h"
#include "standin/flow_codec_func.h"
#include "standin/record_func.h"
#include "tests/soak/fault_type.h"
#include "tests/soak/figure_func.h"
#include "tests/soak/fleet_base.h"
#include "tests/soak/open_check_func.h"

namespace cuminvane::soak {
namespace {

constexpr Milliseconds kTickInterval{2};
constexpr size_t kCallerCount = 2;
/** Time for the processes to start before load begins. */
constexpr Seconds kLoadStartDelay{3};
/** Longer than a configuration may take to become active after the faults. */
constexpr Seconds kRecoveryTime{6};
constexpr Seconds kCheckDuration{3};
/** Interval of the comparisons of the balancers' lists with the store. */
constexpr Milliseconds kListPollInterval{100};
/** A flow may be reset this long after a fault at a backend server. */
constexpr Seconds kResetTolerance{5};
/** Minimum share of requests that are answered after recovery. */
constexpr double kMinServedRatio = 0.95;
/** Seeds that this divides have two data centres and an evacuation. */
constexpr uint64_t kEvacuationDivisor = 2;
/** Time from the start of the load to the request, so that flows are open. */
constexpr Seconds kEvacuationStart{2};
/** Mean of the random part of the pause between two faults. */
constexpr Milliseconds kMeanRandomPause{900};

/** Injects faults, simulates the callers and checks the guarantees. */
class Soak {
 public:
  Soak(uint64_t seed,
       Seconds length,
       const std::string& directory,
       const std::string& bin,
       bool has_evacuation)
      : seed(seed),
        random(seed),
        fault_random(seed),
        length(length),
        fleet(context, directory, bin, has_evacuation),
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
    this->fleet.WriteOddEntry(this->seed, this->ends_at);
    if (this->fleet.IsEvacuable(0))
      this->PlanEvacuation();
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
    PrintFigures(this->fleet.Kinds(), this->callers, this->ends_at - Seconds(1),
                 this->violations.size());
    return passed;
  }

 private:
  /** Evacuates data centre `a` in the middle of the faults. */
  void PlanEvacuation() {
    this->RunAt(this->load_start + kEvacuationStart, [this] {
      this->fleet.RequestEvacuation(true);
      this->evacuation = {ReadClock(), kNever};
    });
    this->RunAt(this->faults_end, [this] {
      this->evacuation.until = ReadClock();
      this->fleet.RequestEvacuation(false);
    });
  }

  bool RunUntilEnd() {
    this->WaitForTick();
    this->context.run();
    const std::set<uint64_t> versions = this->fleet.ConfigVersions();
    this->CheckVmLists();
    return this->CheckGuarantees(versions);
  }

  /** Compares the balancers' lists of backend servers with the store's. Changes
   * of the last seconds have their time to get in force; no faults follow. */
  void CheckVmLists() {
    const TimePoint due = ReadClock() + kInForceLimit;
    std::vector<std::string> differences = this->fleet.ListDifferences();
    while (!differences.empty() && ReadClock() < due) {
      // The proxies must run.
      this->context.restart();
      this->context.run_for(kListPollInterval);
      differences = this->fleet.ListDifferences();
    }
    for (const std::string& difference : differences)
      this->AddViolation("list", difference);
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
        static_cast<FaultAction>(DrawIndex(this->fault_random, kActionCount));
    const Milliseconds duration(500 + DrawIndex(this->fault_random, 3000));
    const size_t balancer =
        DrawIndex(this->fault_random, this->fleet.Balancers().size());
    const size_t server =
        DrawIndex(this->fault_random, this->fleet.BackendServers().size());
    const auto mode = static_cast<ProxyMode>(
        1 + DrawIndex(this->fault_random, kProxyModeCount - 1));
    return {action, balancer, server, duration, mode};
  }

  void InjectDrawnFault(TimePoint now) {
    this->next_fault_at =
        now + Milliseconds(200 + DrawIndex(this->fault_random,
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
    const size_t index = fault.balancer;
    Process& balancer = this->fleet.Balancers()[index];
    Process& server = this->fleet.BackendServers()[fault.server];
    switch (fault.action) {
      case FaultAction::kKillBalancer:
        this->AddDisturbance(index, {}, until, kInForceLimit);
        this->EndProcess(balancer, SIGKILL, until);
        break;
      case FaultAction::kStopBalancer:
        this->AddDisturbance(index, {}, until + Seconds(2), kInForceLimit);
        this->EndProcess(balancer, SIGTERM, until + Seconds(2));
        break;
      case FaultAction::kPauseBalancer:
        this->AddDisturbance(index, {}, until, kInForceLimit);
        this->PauseProcess(balancer, until);
        break;
      case FaultAction::kKillBackendServer:
        this->server_fault_until = std::max(this->server_fault_until, until);
        this->EndProcess(server, SIGKILL, until);
        break;
      case FaultAction::kStopBackendServer:
        server.ExpectExit();
        server.Signal(SIGCONT);
        server.Signal(SIGTERM);
        this->StartAfterPlannedStop(server, until + Seconds(4));
        break;
      case FaultAction::kPauseBackendServer:
        this->server_fault_until = std::max(this->server_fault_until, until);
        this->AddDisturbance({}, fault.server, until, kInForceLimit);
        this->PauseProcess(server, until);
        break;
      case FaultAction::kDisturbStorePath:
        this->AddDisturbance(index, {}, until, kStoreTolerance);
        this->DisturbProxy(*this->fleet.Proxies()[index], fault.mode, until);
        break;
      case FaultAction::kDisturbAllStorePaths:
        this->AddDisturbance({}, {}, until, kStoreTolerance);
        for (const auto& one : this->fleet.Proxies())
          this->DisturbProxy(*one, fault.mode, until);
        break;
      case FaultAction::kRestartStore:
        this->AddDisturbance({}, {}, until, kStoreTolerance);
        this->EndProcess(this->fleet.Store(), SIGKILL, until);
        break;
      case FaultAction::kRestoreStore:
        this->AddDisturbance({}, {},
                             now + kRestoreOutage + kRestoredCopyLifetime,
                             kStoreTolerance);
        this->fleet.Store().Signal(SIGUSR1);
        break;
      case FaultAction::kPublishConfig:
        this->fleet.Publish();
        break;
      case FaultAction::kReloadSettings:
        balancer.Signal(SIGHUP);
        break;
    }
  }

  void AddDisturbance(std::optional<size_t> balancer,
                      std::optional<size_t> server,
                      TimePoint until,
                      Milliseconds tolerance) {
    this->disturbances.push_back(
        {balancer, server, ReadClock(), until + tolerance});
  }

  /** Starts a backend server again after it has ended. From its end its flows
   * may be reset, but not while it drains.
   * @param earliest Earliest time of the start. */
  void StartAfterPlannedStop(Process& server, TimePoint earliest) {
    const TimePoint now = ReadClock();
    if (server.IsRunning()) {
      this->RunAt(now + kTickInterval, [this, &server, earliest] {
        this->StartAfterPlannedStop(server, earliest);
      });
      return;
    }
    this->server_fault_until = std::max(this->server_fault_until, now);
    this->RunAt(std::max(now, earliest), [&server] { server.Start(); });
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

  void CheckOpens() {
    for (const auto& [guarantee, detail] :
         FindOpenViolations(this->fleet, this->disturbances, this->evacuation))
      this->AddViolation(guarantee, detail);
  }

  bool CheckGuarantees(const std::set<uint64_t>& versions) {
    this->CheckDispatchedRuns();
    this->CheckOpens();
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

  uint64_t seed;
  RandomEngine random;
  /** Draws the faults only, so that a seed has the same faults in each run. */
  RandomEngine fault_random;
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
  std::vector<Disturbance> disturbances;
  EvacuationTimes evacuation;           ///< Of data centre `a`.
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
    const bool has_evacuation = !is_demo && seed % kEvacuationDivisor == 0;
    Soak soak(seed, length, directory, bin, has_evacuation);
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
