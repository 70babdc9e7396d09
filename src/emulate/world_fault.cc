/** @file world_fault.cc The emulated fleet: injects faults and planned changes.
 */

#include <algorithm>

#include "emulate/world_base.h"

namespace cuminvane::emulate {
namespace {

/** The platform removes a VM from its list after this time without a report
 * from the VM. */
constexpr Milliseconds kListEntryLifetime{3600};
/** Time for which a draining backend server still serves its flows. */
constexpr Milliseconds kDrainTime{5000};
/** The listener of a draining backend server closes this long before its
 * process ends. */
constexpr Milliseconds kRefusalTime{300};
/** Time from the start of a balancer's planned stop to the end of its process.
 */
constexpr Milliseconds kShutdownTime{2500};
/** Time from the platform's recovery until its list has the missing VMs again.
 */
constexpr Milliseconds kListEntryReturnTime{1500};

}  // namespace

void World::ScheduleFault(const FaultPlan& fault) {
  this->ScheduleAt(this->load_started_at + fault.at,
                   [this, fault] { this->InjectFault(fault); });
  this->faults_end_at = std::max(
      this->faults_end_at, this->load_started_at + fault.at + fault.duration);
}

size_t World::DrawCentre(const FaultPlan& fault) {
  const auto& names = this->experiment.data_centres;
  const auto named = std::ranges::find(names, fault.data_centre);
  if (named != names.end())
    return static_cast<size_t>(named - names.begin());
  return DrawIndex(this->random, names.size());
}

std::vector<World::BalancerNode*> World::DrawBalancers(const FaultPlan& fault) {
  std::vector<BalancerNode*> candidates;
  for (BalancerNode& node : this->nodes) {
    const bool matches =
        fault.data_centre.empty() ||
        this->experiment.data_centres[node.centre] == fault.data_centre;
    if (matches && node.balancer != nullptr && !node.stopping && !node.paused)
      candidates.push_back(&node);
  }
  std::vector<BalancerNode*> chosen;
  std::ranges::sample(candidates, std::back_inserter(chosen), fault.count,
                      this->random);
  return chosen;
}

std::vector<World::BackendServer*> World::DrawBackends(const FaultPlan& fault) {
  std::vector<BackendServer*> candidates;
  for (auto& [vm, server] : this->servers) {
    const bool matches =
        (fault.service.empty() || server.options.service == fault.service) &&
        (fault.data_centre.empty() ||
         server.options.data_centre == fault.data_centre);
    if (matches && server.model != nullptr && !server.unresponsive &&
        server.draining_since == kNever)
      candidates.push_back(&server);
  }
  std::vector<BackendServer*> chosen;
  std::ranges::sample(candidates, std::back_inserter(chosen), fault.count,
                      this->random);
  return chosen;
}

size_t World::FindKindByName(const std::string& name) const {
  const auto found = std::ranges::find(this->kinds, name, &RequestKind::name);
  return static_cast<size_t>(found - this->kinds.begin());
}

void World::InjectFault(const FaultPlan& fault) {
  const TimePoint until = this->now + fault.duration;
  switch (fault.kind) {
    case FaultKind::kBalancerKill:
      for (BalancerNode* const node : this->DrawBalancers(fault)) {
        this->KillBalancer(*node);
        this->ScheduleAt(until, [this, node] { this->StartBalancer(*node); });
      }
      break;
    case FaultKind::kPowerOff:
      for (BalancerNode& node : this->nodes) {
        this->KillBalancer(node);
        this->ScheduleAt(until, [this, &node] {
          if (node.balancer == nullptr)
            this->StartBalancer(node);
        });
      }
      break;
    case FaultKind::kBalancerStop:
      for (BalancerNode* const node : this->DrawBalancers(fault))
        this->StopBalancer(*node, fault.duration);
      break;
    case FaultKind::kBalancerPause:
      for (BalancerNode* const node : this->DrawBalancers(fault)) {
        node->paused = true;
        this->ScheduleAt(until, [this, node] {
          node->paused = false;
          node->last_disturbed_at = this->now;
          this->OfferDocuments(*node);
        });
      }
      break;
    case FaultKind::kBackendCrash:
    case FaultKind::kBackendUnresponsive:
      for (BackendServer* const server : this->DrawBackends(fault)) {
        this->CrashBackend(*server,
                           fault.kind == FaultKind::kBackendUnresponsive);
        if (fault.duration > Milliseconds(0))
          this->ScheduleAt(until,
                           [this, server] { this->RestartBackend(*server); });
      }
      break;
    case FaultKind::kBackendSlow:
    case FaultKind::kBackendFail:
      for (BackendServer* const server : this->DrawBackends(fault)) {
        const bool slow = fault.kind == FaultKind::kBackendSlow;
        server->last_disturbed_at = until;
        if (slow)
          server->model->SetSlowdown(fault.factor);
        else
          server->model->SetFailureShare(fault.factor);
        this->ScheduleAt(until, [server] {
          if (server->model == nullptr)
            return;
          server->model->SetSlowdown(1);
          server->model->SetFailureShare(0);
        });
      }
      break;
    case FaultKind::kRollingRelease:
      this->StartRollingRelease(fault);
      break;
    case FaultKind::kDataCentrePartition: {
      const size_t centre = this->DrawCentre(fault);
      this->isolated_centres.insert(centre);
      this->ScheduleAt(until, [this, centre] {
        this->isolated_centres.erase(centre);
        for (auto& [vm, server] : this->servers)
          server.last_disturbed_at = this->now;
      });
      break;
    }
    case FaultKind::kListEntryExpiry:
      for (BackendServer* const server : this->DrawBackends(fault)) {
        server->listed = false;
        this->ScheduleAt(until + kListEntryReturnTime, [this, server] {
          server->listed = server->model != nullptr;
          this->PublishList();
        });
      }
      this->PublishList();
      break;
    case FaultKind::kRouteMove:
    case FaultKind::kRouteRemoval: {
      const size_t kind = this->FindKindByName(fault.work);
      const bool moves = fault.kind == FaultKind::kRouteMove;
      this->PublishRoute(kind, moves ? fault.service : "");
      this->ScheduleAt(until, [this, kind] {
        this->PublishRoute(kind, this->experiment.request_plans[kind].service);
      });
      break;
    }
    case FaultKind::kStoreRestored:
      this->LoseStore(fault);
      break;
    case FaultKind::kLoadBurst:
      this->load_factor = fault.factor;
      this->ScheduleAt(until, [this] {
        // The load factor stays 0 if the load has ended meanwhile.
        this->load_factor = this->load_factor == 0 ? 0 : 1;
      });
      break;
  }
}

void World::KillBalancer(BalancerNode& node) {
  node.balancer = nullptr;
  node.last_disturbed_at = this->now;
}

void World::StopBalancer(BalancerNode& node, Milliseconds duration) {
  node.stopping = true;
  PacketOutput out;
  node.balancer->GetTokenPlane().BeginStop(this->now, out.common);
  this->SendOutput(node, out);
  this->ScheduleAt(this->now + kShutdownTime, [this, &node, duration] {
    this->KillBalancer(node);
    this->ScheduleAt(this->now + duration, [this, &node] {
      if (node.balancer == nullptr)
        this->StartBalancer(node);
    });
  });
}

void World::CollectRecords(BackendServer& server) {
  if (server.model == nullptr)
    return;
  server.busy_time += server.model->BusyTime();
  this->result.sheds += server.model->Sheds();
  server.runs.insert(server.runs.end(), server.model->Runs().begin(),
                     server.model->Runs().end());
  server.accepted_flows.insert(server.accepted_flows.end(),
                               server.model->AcceptedFlows().begin(),
                               server.model->AcceptedFlows().end());
  server.model = nullptr;
}

void World::CrashBackend(BackendServer& server, bool unresponsive) {
  this->CollectRecords(server);
  server.unresponsive = unresponsive;
  server.last_disturbed_at = this->now;
  this->ScheduleAt(this->now + kListEntryLifetime, [this, &server] {
    if (server.model != nullptr)
      return;
    server.listed = false;
    this->PublishList();
  });
}

void World::RestartBackend(BackendServer& server) {
  server.unresponsive = false;
  ++server.incarnation;
  server.options.warm_up = Milliseconds(0);
  for (const ServicePlan& service : this->experiment.services) {
    if (service.name == server.options.service)
      server.options.warm_up = service.warm_up;
  }
  server.model = std::make_unique<BackendModel>(server.options, this->now);
  server.last_disturbed_at = this->now;
  // The platform lists the VM only after its first report; packets can reach
  // the new process before that.
  this->ScheduleAt(this->now + this->experiment.max_notification_delay,
                   [this, &server] {
                     server.listed = server.model != nullptr;
                     this->PublishList();
                   });
}

void World::ReplaceBackend(BackendServer& server) {
  BackendServer replacement;
  replacement.centre = server.centre;
  replacement.options = server.options;
  replacement.options.vm =
      VmId{server.options.vm.value + (this->next_backend_number++ << 20)};
  for (const ServicePlan& service : this->experiment.services) {
    if (service.name == replacement.options.service)
      replacement.options.warm_up = service.warm_up;
  }
  replacement.model =
      std::make_unique<BackendModel>(replacement.options, this->now);
  const VmId vm = replacement.options.vm;
  this->servers.emplace(vm, std::move(replacement));
  server.draining_since = this->now;
  server.model->BeginDrain();
  this->PublishList();
  this->ScheduleStop(server);
}

void World::ScheduleStop(BackendServer& server) {
  this->ScheduleAt(this->now + kDrainTime - kRefusalTime, [&server] {
    if (server.model != nullptr)
      server.model->CloseListener();
  });
  this->ScheduleAt(this->now + kDrainTime, [this, &server] {
    this->CollectRecords(server);
    server.unresponsive = true;
    server.listed = false;
    this->PublishList();
  });
}

void World::StartRollingRelease(const FaultPlan& fault) {
  const std::vector<BackendServer*> chosen = this->DrawBackends(fault);
  for (size_t index = 0; index < chosen.size(); ++index) {
    const auto offset = fault.duration * static_cast<int64_t>(index) /
                        static_cast<int64_t>(chosen.size());
    this->ScheduleAt(this->now + offset, [this, server = chosen[index]] {
      if (server->model != nullptr && server->draining_since == kNever)
        this->ReplaceBackend(*server);
    });
  }
}

}  // namespace cuminvane::emulate
