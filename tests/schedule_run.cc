/** @file schedule_run.cc Schedules of faults. */

#include "tests/schedule_run.h"

#include <algorithm>
#include <map>
#include <ostream>
#include <set>
#include <sstream>

#include "tests/fleet_fake.h"

namespace cuminvane {
namespace {

constexpr int kBalancers = 4;
constexpr int kBackends = 3;
constexpr int kFlows = 8;
/** Requests begin this often while faults go on. */
constexpr Milliseconds kAskInterval{40};
constexpr Milliseconds kDeadline{2500};
constexpr uint32_t kFirstBackendVm = 100;

bool IsPlanned(const Fault& fault) {
  switch (fault.kind) {
    case Fault::Kind::kStop:
    case Fault::Kind::kRestart:
    case Fault::Kind::kDrainBackend:
    case Fault::Kind::kListLeaving:
    case Fault::Kind::kPublish:
    case Fault::Kind::kRotateKey:
      return true;
    default:
      return false;
  }
}

bool IsOnlyPlanned(const Schedule& schedule) {
  return schedule.loss_percent == 0 &&
         std::ranges::all_of(schedule.faults, IsPlanned);
}

/** One run. */
class ScheduleRun {
 public:
  explicit ScheduleRun(const Schedule& schedule)
      : schedule(schedule), fleet(MakeOptions(schedule)) {}

  History Run() {
    if (IsOnlyPlanned(this->schedule))
      this->Note(HistoryEvent::Kind::kPlannedChangesOnly, "", 0);
    this->Note(HistoryEvent::Kind::kConfigPublished, "", 0).version = 1;
    for (int flow = 0; flow < kFlows; ++flow)
      this->flows.push_back(
          this->fleet.OpenFlow(flow % 4 == 3 ? "notes" : "desk"));
    for (const Fault& fault : this->schedule.faults) {
      this->Load(Milliseconds(fault.after_ms));
      this->Apply(fault);
    }
    this->Load(Milliseconds(500));
    this->EndFaults();
    this->CheckFlows();
    this->Collect();
    std::ranges::stable_sort(this->history, {}, &HistoryEvent::at);
    return this->history;
  }

 private:
  static FleetOptions MakeOptions(const Schedule& schedule) {
    FleetOptions options;
    options.seed = schedule.seed;
    options.balancers = kBalancers;
    options.backends = kBackends;
    options.notes_backends = 1;
    options.loss = schedule.loss_percent / 100.0;
    options.duplicate = schedule.duplicate_percent / 100.0;
    options.jitter = Milliseconds(schedule.jitter_ms);
    return options;
  }

  /** Lets time pass while callers ask. */
  void Load(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += kAskInterval) {
      this->SendRequest();
      this->fleet.RunFor(kAskInterval);
      this->FinishStops();
      this->NoteConfigs();
    }
  }

  void Ask() {
    const size_t flow = this->asked++ % this->flows.size();
    const bool notes = flow % 4 == 3;
    const bool idempotent = !notes && this->asked % 3 == 0;
    WorkOrder order = this->fleet.MakeOrder(
        1 + this->asked % 5, Milliseconds(5 + 10 * (this->asked % 4)));
    order.service = notes ? "notes" : "desk";
    this->Note(HistoryEvent::Kind::kInvoke, order.tag, 0).idempotent =
        idempotent;
    const RequestKey key = this->fleet.SendRequest(this->flows[flow],
                                                   notes        ? "memos"
                                                   : idempotent ? "feed"
                                                                : "edits",
                                                   order, kDeadline);
    this->orders[key] = order;
  }

  HistoryEvent& Note(HistoryEvent::Kind kind,
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

  void Apply(const Fault& fault) {
    const int balancer = 1 + fault.who % kBalancers;
    const int backend = 1 + fault.who % kBackends;
    switch (fault.kind) {
      case Fault::Kind::kKill:
        if (this->IsUsable(balancer) && this->UsableCount() > 2)
          this->fleet.KillBalancer(balancer);
        break;
      case Fault::Kind::kRestart:
        if (!this->fleet.IsBalancerUp(balancer))
          this->RestartBalancer(balancer);
        break;
      case Fault::Kind::kPause:
        if (this->IsUsable(balancer) && this->UsableCount() > 2) {
          this->fleet.PauseBalancer(balancer);
          this->paused.insert(balancer);
        }
        break;
      case Fault::Kind::kResume:
        this->ResumeBalancer(balancer);
        break;
      case Fault::Kind::kStop:
        if (this->IsUsable(balancer) && this->UsableCount() > 2)
          this->BeginStop(balancer);
        break;
      case Fault::Kind::kCut:
        this->fleet.CutLink(
            static_cast<uint32_t>(balancer),
            static_cast<uint32_t>(1 + (fault.who / kBalancers) % kBalancers));
        break;
      case Fault::Kind::kHeal:
        this->fleet.HealAllLinks();
        break;
      case Fault::Kind::kRestartBackend:
        this->fleet.RestartBackend(backend);
        break;
      case Fault::Kind::kDrainBackend:
        this->Drain(backend);
        break;
      case Fault::Kind::kListLeaving:
        if (this->IsUsable(balancer))
          this->fleet.OfferVms(
              balancer, ++this->list_version,
              {kFirstBackendVm + static_cast<uint32_t>(backend)});
        break;
      case Fault::Kind::kPublish:
        this->Publish(balancer);
        break;
      case Fault::Kind::kRotateKey:
        ++this->keys;
        this->Publish(balancer);
        break;
    }
  }

  bool IsUsable(int balancer) const {
    return this->fleet.IsBalancerUp(balancer) &&
           !this->paused.contains(balancer) &&
           !this->stopping.contains(balancer);
  }

  int UsableCount() const {
    int count = 0;
    for (int balancer = 1; balancer <= kBalancers; ++balancer)
      count += this->IsUsable(balancer) ? 1 : 0;
    return count;
  }

  void Restart(int balancer) {
    this->stopping.erase(balancer);
    this->paused.erase(balancer);
    this->fleet.RestartBalancer(balancer);
    this->SprayOverListed();
  }

  void Resume(int balancer) {
    if (this->paused.erase(balancer) != 0)
      this->fleet.ResumeBalancer(balancer);
  }

  /** The fabric is told of planned stops; of a death it does not know. */
  void SprayOverListed() {
    std::vector<int> listed;
    for (int balancer = 1; balancer <= kBalancers; ++balancer) {
      if (!this->stopping.contains(balancer))
        listed.push_back(balancer);
    }
    this->fleet.SprayOver(listed);
  }

  void BeginStop(int balancer) {
    this->stopping[balancer] = this->fleet.now + Seconds(2);
    this->fleet.BeginBalancerStop(balancer);
    this->SprayOverListed();
  }

  /** A stopping balancer ends when it owes nothing; the fabric then knows of
   * it. */
  void FinishStops() {
    for (auto stop = this->stopping.begin(); stop != this->stopping.end();
         ++stop) {
      const bool done =
          this->fleet.IsBalancerUp(stop->first) &&
          this->fleet.now >= stop->second &&
          this->fleet.TokenPlaneOf(stop->first).Load().unfinished == 0;
      if (done)
        this->fleet.EndBalancerStop(stop->first);
    }
  }

  void Publish(int balancer) {
    if (!this->IsUsable(balancer))
      return;
    std::string extra;
    for (int key = 2; key <= this->keys; ++key)
      extra += "[token-key " + std::to_string(key) +
               "]\nsecret = 000102030405060708090a0b0c0d0e" +
               std::to_string(10 + key) + "\n";
    for (const int backend : this->drained) {
      extra +=
          "[change d" + std::to_string(backend) + "]\nkind = drain\nvm = " +
          std::to_string(kFirstBackendVm + static_cast<uint32_t>(backend)) +
          "\nbegins_at = 1970-01-01T00:00:00Z\n";
    }
    this->published = this->fleet.ConfigText(++this->config_version, extra);
    // A refusal shows as a configuration that does not come into force.
    static_cast<void>(this->fleet.OfferConfig(balancer, this->published));
    this->Note(HistoryEvent::Kind::kConfigPublished, "", 0).version =
        this->config_version;
  }

  /** At most one backend server of a service drains, or nobody could answer. */
  void Drain(int backend) {
    if (!this->drained.empty())
      return;
    this->drained.insert(backend);
    for (int balancer = 1; balancer <= kBalancers; ++balancer) {
      if (this->IsUsable(balancer)) {
        this->Publish(balancer);
        break;
      }
    }
    this->drain_pending = backend;
  }

  void NoteConfigs() {
    for (int balancer = 1; balancer <= kBalancers; ++balancer) {
      if (!this->fleet.IsBalancerUp(balancer) ||
          !this->fleet.TokenPlaneOf(balancer)
               .ReadBlackboard()
               ->self.value->serving)
        continue;
      const uint64_t version = this->fleet.TokenPlaneOf(balancer)
                                   .ReadBlackboard()
                                   ->config.value->version.value;
      uint64_t& known = this->noted[balancer];
      if (version == known)
        continue;
      known = version;
      this->Note(HistoryEvent::Kind::kConfigActive, "",
                 static_cast<uint32_t>(balancer))
          .version = version;
    }
  }

  /** A stop that has begun is complete within the time that requests have. */
  void AwaitStops() {
    const TimePoint latest = this->fleet.now + Seconds(10);
    const auto is_stopping = [this](const auto& stop) {
      return this->fleet.IsBalancerUp(stop.first);
    };
    while (this->fleet.now < latest &&
           std::ranges::any_of(this->stopping, is_stopping)) {
      this->fleet.RunFor(kAskInterval);
      this->FinishStops();
    }
  }

  void EndFaults() {
    this->AwaitStops();
    this->fleet.HealAllLinks();
    for (int balancer = 1; balancer <= kBalancers; ++balancer) {
      this->ResumeBalancer(balancer);
      if (!this->fleet.IsBalancerUp(balancer) ||
          this->stopping.contains(balancer))
        this->RestartBalancer(balancer);
    }
    this->fleet.PublishVms(++this->list_version);
    // The platform is back as well, and shows what was published last.
    for (int balancer = 1; balancer <= kBalancers && !this->published.empty();
         ++balancer)
      static_cast<void>(this->fleet.OfferConfig(balancer, this->published));
    this->Note(HistoryEvent::Kind::kFaultsEnded, "", 0);
    // Whoever drained counts from when every balancer can hear of it.
    if (this->drain_pending != 0)
      this->Note(HistoryEvent::Kind::kDrainStarted, "",
                 kFirstBackendVm + static_cast<uint32_t>(this->drain_pending));
    this->Load(Seconds(5));
    this->fleet.RunFor(Seconds(5));
  }

  void CheckFlows() {
    for (size_t flow = 0; flow < this->flows.size(); ++flow) {
      const bool notes = flow % 4 == 3;
      bool sound = false;
      // Lossy paths may cost one try its deadline, and a lost owner one its
      // outcome.
      for (int attempt = 0; attempt < 3 && !sound; ++attempt) {
        WorkOrder order = this->fleet.MakeOrder();
        order.service = notes ? "notes" : "desk";
        this->Note(HistoryEvent::Kind::kInvoke, order.tag, 0);
        const RequestKey key = this->fleet.SendRequest(
            this->flows[flow], notes ? "memos" : "edits", order, kDeadline);
        this->orders[key] = order;
        this->fleet.RunUntil(
            [&] { return this->fleet.finished_requests.contains(key); },
            Seconds(6));
        sound = this->fleet.finished_requests[key].code == ResultCode::kOk;
      }
      this->Note(sound ? HistoryEvent::Kind::kFlowAnswered
                       : HistoryEvent::Kind::kFlowBroken,
                 "flow " + std::to_string(flow), 0);
    }
  }

  void Collect() {
    for (const auto& [key, order] : this->orders) {
      const auto ended = this->fleet.finished_requests.find(key);
      if (ended == this->fleet.finished_requests.end())
        continue;
      const CallerEvent& event = ended->second;
      const Outcome outcome = OutcomeOf(event.code);
      const HistoryEvent::Kind kind =
          outcome == Outcome::kAnswered ? HistoryEvent::Kind::kAnswered
          : outcome == Outcome::kNotRun ? HistoryEvent::Kind::kNotRun
                                        : HistoryEvent::Kind::kUnknown;
      this->Note(kind, order.tag, 0).answer_complete =
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
      this->Note(kind, event.tag,
                 kFirstBackendVm + static_cast<uint32_t>(backend))
          .at = event.at;
    }
  }

  Schedule schedule;
  FakeFleet fleet;
  History history;
  std::vector<FlowHandle> flows;
  std::map<RequestKey, WorkOrder> orders;
  std::set<int> paused;
  std::map<int, TimePoint> stopping;
  std::set<int> drained;
  std::map<int, uint64_t> noted;
  std::string published;
  int drain_pending = 0;
  int keys = 1;
  uint64_t config_version = 1;
  uint64_t list_version = 1;
  uint32_t asked = 0;
};

}  // namespace

std::string FormatSchedule(const Schedule& schedule) {
  std::ostringstream out;
  out << schedule.seed << "," << schedule.loss_percent << ","
      << schedule.duplicate_percent << "," << schedule.jitter_ms;
  for (const Fault& fault : schedule.faults)
    out << ";" << static_cast<int>(fault.kind) << "," << fault.after_ms << ","
        << fault.who;
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
  while (in >> comma >> kind >> comma >> fault.after_ms >> comma >> fault.who) {
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
