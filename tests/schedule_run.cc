/** @file schedule_run.cc Runs a schedule of faults against a fake fleet. */

#include "tests/schedule_run.h"

#include <algorithm>
#include <map>
#include <ostream>
#include <set>
#include <sstream>

#include "tests/fleet_fake.h"

namespace cuminvane {
namespace {

constexpr int kBalancerCount = 4;
constexpr int kBackendCount = 3;
constexpr int kFlowCount = 8;
/** Time between two requests while load is applied. */
constexpr Milliseconds kRequestInterval{40};
/** Deadline of a request, counted from when it is sent. */
constexpr Milliseconds kRequestDeadline{2500};
constexpr uint32_t kFirstBackendVm = 100;

bool IsPlannedChange(const Fault& fault) {
  switch (fault.kind) {
    case Fault::Kind::kStopBalancer:
    case Fault::Kind::kRestartBalancer:
    case Fault::Kind::kDrainBackend:
    case Fault::Kind::kListBackendLeaving:
    case Fault::Kind::kPublishConfig:
    case Fault::Kind::kPublishTokenKey:
      return true;
    default:
      return false;
  }
}

bool HasPlannedChangesOnly(const Schedule& schedule) {
  return schedule.loss_percent == 0 &&
         std::ranges::all_of(schedule.faults, IsPlannedChange);
}

/** Applies load and the faults of one schedule to a fake fleet and records the
 * history. */
class ScheduleRun {
 public:
  explicit ScheduleRun(const Schedule& schedule)
      : schedule(schedule), fleet(MakeOptions(schedule)) {}

  /** @return The events of the run, in order of time. */
  History Run() {
    if (HasPlannedChangesOnly(this->schedule))
      this->RecordEvent(HistoryEvent::Kind::kPlannedChangesOnly, "", 0);
    this->RecordEvent(HistoryEvent::Kind::kConfigPublished, "", 0).version = 1;
    for (int flow = 0; flow < kFlowCount; ++flow)
      this->flows.push_back(
          this->fleet.OpenFlow(flow % 4 == 3 ? "notes" : "desk"));
    for (const Fault& fault : this->schedule.faults) {
      this->RunLoad(Milliseconds(fault.delay_ms));
      this->ApplyFault(fault);
    }
    this->RunLoad(Milliseconds(500));
    this->EndFaults();
    this->CheckFlows();
    this->CollectOutcomes();
    std::ranges::stable_sort(this->history, {}, &HistoryEvent::at);
    return this->history;
  }

 private:
  static FleetOptions MakeOptions(const Schedule& schedule) {
    FleetOptions options;
    options.seed = schedule.seed;
    options.balancers = kBalancerCount;
    options.backends = kBackendCount;
    options.notes_backends = 1;
    options.loss = schedule.loss_percent / 100.0;
    options.duplicate = schedule.duplicate_percent / 100.0;
    options.jitter = Milliseconds(schedule.jitter_ms);
    return options;
  }

  /** Sends a request every kRequestInterval for the given time. */
  void RunLoad(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += kRequestInterval) {
      this->SendNextRequest();
      this->fleet.RunFor(kRequestInterval);
      this->FinishStops();
      this->RecordActiveConfigs();
    }
  }

  /** Sends the next request: the flows take turns, and class, parts and
   * duration vary. */
  void SendNextRequest() {
    const size_t flow = this->request_count++ % this->flows.size();
    const bool notes = flow % 4 == 3;
    const bool idempotent = !notes && this->request_count % 3 == 0;
    WorkOrder order =
        this->fleet.MakeOrder(1 + this->request_count % 5,
                              Milliseconds(5 + 10 * (this->request_count % 4)));
    order.service = notes ? "notes" : "desk";
    this->RecordEvent(HistoryEvent::Kind::kInvoke, order.tag, 0).idempotent =
        idempotent;
    const RequestKey key = this->fleet.SendRequest(this->flows[flow],
                                                   notes        ? "memos"
                                                   : idempotent ? "feed"
                                                                : "edits",
                                                   order, kRequestDeadline);
    this->orders[key] = order;
  }

  /**
   * Adds an event at the current time to the history.
   * @param vm Balancer or backend server; 0 if neither is concerned.
   * @return The event; valid until the next one is added.
   */
  HistoryEvent& RecordEvent(HistoryEvent::Kind kind,
                            const std::string& tag,
                            uint32_t vm) {
    HistoryEvent event;
    event.kind = kind;
    event.at = this->fleet.now;
    event.tag = tag;
    event.vm = vm;
    this->history.push_back(event);
    return this->history.back();
  }

  /** Applies a fault; does nothing if the target is not in a suitable state. At
   * least two balancers stay usable, so that the fleet can answer. */
  void ApplyFault(const Fault& fault) {
    const int balancer = 1 + fault.target_selector % kBalancerCount;
    const int backend = 1 + fault.target_selector % kBackendCount;
    switch (fault.kind) {
      case Fault::Kind::kKillBalancer:
        if (this->IsUsable(balancer) && this->UsableCount() > 2)
          this->fleet.KillBalancer(balancer);
        break;
      case Fault::Kind::kRestartBalancer:
        if (!this->fleet.IsBalancerUp(balancer))
          this->RestartBalancer(balancer);
        break;
      case Fault::Kind::kPauseBalancer:
        if (this->IsUsable(balancer) && this->UsableCount() > 2) {
          this->fleet.PauseBalancer(balancer);
          this->paused_balancers.insert(balancer);
        }
        break;
      case Fault::Kind::kResumeBalancer:
        this->ResumeBalancer(balancer);
        break;
      case Fault::Kind::kStopBalancer:
        if (this->IsUsable(balancer) && this->UsableCount() > 2)
          this->BeginBalancerStop(balancer);
        break;
      case Fault::Kind::kCutLink:
        this->fleet.CutLink(
            static_cast<uint32_t>(balancer),
            static_cast<uint32_t>(1 + (fault.target_selector / kBalancerCount) %
                                          kBalancerCount));
        break;
      case Fault::Kind::kHealAllLinks:
        this->fleet.HealAllLinks();
        break;
      case Fault::Kind::kRestartBackend:
        this->fleet.RestartBackend(backend);
        break;
      case Fault::Kind::kDrainBackend:
        this->DrainBackend(backend);
        break;
      case Fault::Kind::kListBackendLeaving:
        if (this->IsUsable(balancer))
          this->fleet.OfferVms(
              balancer, ++this->vm_list_version,
              {kFirstBackendVm + static_cast<uint32_t>(backend)});
        break;
      case Fault::Kind::kPublishConfig:
        this->PublishConfig(balancer);
        break;
      case Fault::Kind::kPublishTokenKey:
        ++this->token_key_count;
        this->PublishConfig(balancer);
        break;
    }
  }

  /** @return Whether the balancer is up, not paused and not stopping. */
  bool IsUsable(int balancer) const {
    return this->fleet.IsBalancerUp(balancer) &&
           !this->paused_balancers.contains(balancer) &&
           !this->stopping_balancers.contains(balancer);
  }

  int UsableCount() const {
    int count = 0;
    for (int balancer = 1; balancer <= kBalancerCount; ++balancer)
      count += this->IsUsable(balancer) ? 1 : 0;
    return count;
  }

  void RestartBalancer(int balancer) {
    this->stopping_balancers.erase(balancer);
    this->paused_balancers.erase(balancer);
    this->fleet.RestartBalancer(balancer);
    this->UpdateSpray();
  }

  void ResumeBalancer(int balancer) {
    if (this->paused_balancers.erase(balancer) != 0)
      this->fleet.ResumeBalancer(balancer);
  }

  /** Updates the fabric after a planned stop or a restart. The fabric keeps
   * sending to killed balancers, because nothing informs it of their death. */
  void UpdateSpray() {
    std::vector<int> targets;
    for (int balancer = 1; balancer <= kBalancerCount; ++balancer) {
      if (!this->stopping_balancers.contains(balancer))
        targets.push_back(balancer);
    }
    this->fleet.SprayOver(targets);
  }

  void BeginBalancerStop(int balancer) {
    this->stopping_balancers[balancer] = this->fleet.now + Seconds(2);
    this->fleet.BeginBalancerStop(balancer);
    this->UpdateSpray();
  }

  /** Ends stopping balancers that have no unfinished work after 2 s. The fabric
   * was informed when the stop began. */
  void FinishStops() {
    for (auto stop = this->stopping_balancers.begin();
         stop != this->stopping_balancers.end(); ++stop) {
      const bool done =
          this->fleet.IsBalancerUp(stop->first) &&
          this->fleet.now >= stop->second &&
          this->fleet.TokenPlaneOf(stop->first).Load().unfinished == 0;
      if (done)
        this->fleet.EndBalancerStop(stop->first);
    }
  }

  /** Offers a new configuration with all token keys and drains to one balancer.
   */
  void PublishConfig(int balancer) {
    if (!this->IsUsable(balancer))
      return;
    std::string extra;
    for (int key = 2; key <= this->token_key_count; ++key)
      extra += "[token-key " + std::to_string(key) +
               "]\nsecret = 000102030405060708090a0b0c0d0e" +
               std::to_string(10 + key) + "\n";
    for (const int backend : this->drained_backends) {
      extra +=
          "[change d" + std::to_string(backend) + "]\nkind = drain\nvm = " +
          std::to_string(kFirstBackendVm + static_cast<uint32_t>(backend)) +
          "\nbegins_at = 1970-01-01T00:00:00Z\n";
    }
    this->published_config =
        this->fleet.ConfigText(++this->config_version, extra);
    // The result is not needed: CheckConfiguration reports a refused
    // configuration, because it never becomes active.
    static_cast<void>(
        this->fleet.OfferConfig(balancer, this->published_config));
    this->RecordEvent(HistoryEvent::Kind::kConfigPublished, "", 0).version =
        this->config_version;
  }

  /** Publishes a drain. At most one backend server drains per run, because with
   * more of them a service could be left without a server that answers. */
  void DrainBackend(int backend) {
    if (!this->drained_backends.empty())
      return;
    this->drained_backends.insert(backend);
    for (int balancer = 1; balancer <= kBalancerCount; ++balancer) {
      if (this->IsUsable(balancer)) {
        this->PublishConfig(balancer);
        break;
      }
    }
    this->draining_backend = backend;
  }

  /** Records each change of the active configuration of a serving balancer. */
  void RecordActiveConfigs() {
    for (int balancer = 1; balancer <= kBalancerCount; ++balancer) {
      if (!this->fleet.IsBalancerUp(balancer) ||
          !this->fleet.TokenPlaneOf(balancer)
               .ReadBlackboard()
               ->self.value->serving)
        continue;
      const uint64_t version = this->fleet.TokenPlaneOf(balancer)
                                   .ReadBlackboard()
                                   ->config.value->version.value;
      uint64_t& active_version = this->active_versions[balancer];
      if (version == active_version)
        continue;
      active_version = version;
      this->RecordEvent(HistoryEvent::Kind::kConfigActive, "",
                        static_cast<uint32_t>(balancer))
          .version = version;
    }
  }

  /** Waits up to 10 s until all stopping balancers have ended; their requests
   * have ended by then. */
  void AwaitStops() {
    const TimePoint latest = this->fleet.now + Seconds(10);
    const auto is_stopping = [this](const auto& stop) {
      return this->fleet.IsBalancerUp(stop.first);
    };
    while (this->fleet.now < latest &&
           std::ranges::any_of(this->stopping_balancers, is_stopping)) {
      this->fleet.RunFor(kRequestInterval);
      this->FinishStops();
    }
  }

  /** Ends all faults, restarts what is down, and lets the fleet recover under
   * load. */
  void EndFaults() {
    this->AwaitStops();
    this->fleet.HealAllLinks();
    for (int balancer = 1; balancer <= kBalancerCount; ++balancer) {
      this->ResumeBalancer(balancer);
      if (!this->fleet.IsBalancerUp(balancer) ||
          this->stopping_balancers.contains(balancer))
        this->RestartBalancer(balancer);
    }
    this->fleet.PublishVms(++this->vm_list_version);
    // The platform is available again too, so every balancer reads the
    // configuration published last.
    for (int balancer = 1;
         balancer <= kBalancerCount && !this->published_config.empty();
         ++balancer)
      static_cast<void>(
          this->fleet.OfferConfig(balancer, this->published_config));
    this->RecordEvent(HistoryEvent::Kind::kFaultsEnded, "", 0);
    // The time limit for new work starts now, because only from here on can
    // every balancer read of the drain.
    if (this->draining_backend != 0)
      this->RecordEvent(
          HistoryEvent::Kind::kDrainStarted, "",
          kFirstBackendVm + static_cast<uint32_t>(this->draining_backend));
    this->RunLoad(Seconds(5));
    this->fleet.RunFor(Seconds(5));
  }

  /** Sends requests on each flow and records whether one is answered. */
  void CheckFlows() {
    for (size_t flow = 0; flow < this->flows.size(); ++flow) {
      const bool notes = flow % 4 == 3;
      bool answered = false;
      // Three attempts: packet loss may make one miss its deadline, and the
      // loss of the owner may leave the outcome of another unknown.
      for (int attempt = 0; attempt < 3 && !answered; ++attempt) {
        WorkOrder order = this->fleet.MakeOrder();
        order.service = notes ? "notes" : "desk";
        this->RecordEvent(HistoryEvent::Kind::kInvoke, order.tag, 0);
        const RequestKey key = this->fleet.SendRequest(
            this->flows[flow], notes ? "memos" : "edits", order,
            kRequestDeadline);
        this->orders[key] = order;
        this->fleet.RunUntil(
            [&] { return this->fleet.finished_requests.contains(key); },
            Seconds(6));
        answered = this->fleet.finished_requests[key].code == ResultCode::kOk;
      }
      this->RecordEvent(answered ? HistoryEvent::Kind::kFlowAnswered
                                 : HistoryEvent::Kind::kFlowBroken,
                        "flow " + std::to_string(flow), 0);
    }
  }

  /** Adds the ends of requests and the events of backend servers to the
   * history. */
  void CollectOutcomes() {
    for (const auto& [key, order] : this->orders) {
      const auto ended = this->fleet.finished_requests.find(key);
      if (ended == this->fleet.finished_requests.end())
        continue;
      const CallerEvent& event = ended->second;
      const Outcome outcome = OutcomeOf(event.code);
      const HistoryEvent::Kind kind =
          outcome == Outcome::kAnswered ? HistoryEvent::Kind::kAnswered
          : outcome == Outcome::kNotRun ? HistoryEvent::Kind::kNotRun
                                        : HistoryEvent::Kind::kOutcomeUnknown;
      this->RecordEvent(kind, order.tag, 0).answer_complete =
          CheckAnswer(order, event.answer) == AnswerCheck::kWhole;
    }
    for (const auto& [backend, event] : this->fleet.backend_events) {
      HistoryEvent::Kind kind = HistoryEvent::Kind::kStarted;
      if (event.kind == BackendEvent::Kind::kAccepted)
        kind = HistoryEvent::Kind::kAccepted;
      else if (event.kind == BackendEvent::Kind::kWrongService)
        kind = HistoryEvent::Kind::kWrongService;
      else if (event.kind != BackendEvent::Kind::kStarted)
        continue;
      this->RecordEvent(kind, event.tag,
                        kFirstBackendVm + static_cast<uint32_t>(backend))
          .at = event.at;
    }
  }

  Schedule schedule;
  FakeFleet fleet;
  History history;
  std::vector<FlowHandle> flows;  ///< Flows that load is applied to; every
                                  ///< fourth is of the service `notes`.
  std::map<RequestKey, WorkOrder> orders;  ///< Order of each request sent.
  std::set<int> paused_balancers;
  std::map<int, TimePoint>
      stopping_balancers;          ///< Earliest end of each stopping balancer.
  std::set<int> drained_backends;  ///< Backend servers with a published drain.
  std::map<int, uint64_t>
      active_versions;           ///< Version recorded last for each balancer.
  std::string published_config;  ///< Configuration published last; empty if
                                 ///< only the first one was.
  int draining_backend = 0;      ///< Backend server that drains; 0 if none.
  int token_key_count = 1;       ///< Number of token keys in the configuration.
  uint64_t config_version =
      1;  ///< Version of the configuration published last.
  uint64_t vm_list_version = 1;  ///< Version of the list of VMs published last.
  uint32_t request_count = 0;    ///< Requests sent under load.
};

}  // namespace

std::string FormatSchedule(const Schedule& schedule) {
  std::ostringstream out;
  out << schedule.seed << "," << schedule.loss_percent << ","
      << schedule.duplicate_percent << "," << schedule.jitter_ms;
  for (const Fault& fault : schedule.faults)
    out << ";" << static_cast<int>(fault.kind) << "," << fault.delay_ms << ","
        << fault.target_selector;
  return out.str();
}

Schedule ParseSchedule(const std::string& text) {
  Schedule schedule;
  std::istringstream in(text);
  char comma = 0;
  in >> schedule.seed >> comma >> schedule.loss_percent >> comma >>
      schedule.duplicate_percent >> comma >> schedule.jitter_ms;
  int kind = 0;
  Fault fault;
  while (in >> comma >> kind >> comma >> fault.delay_ms >> comma >>
         fault.target_selector) {
    fault.kind = static_cast<Fault::Kind>(kind);
    schedule.faults.push_back(fault);
  }
  return schedule;
}

std::ostream& operator<<(std::ostream& out, const Schedule& schedule) {
  return out << "cuminvane_history --schedule '" << FormatSchedule(schedule)
             << "'";
}

History RunSchedule(const Schedule& schedule) {
  return ScheduleRun(schedule).Run();
}

}  // namespace cuminvane
