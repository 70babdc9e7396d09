/** @file world_fault.cc The emulated fleet: faults and planned changes. */

#include <algorithm>

#include "emulate/world_base.h"

namespace cuminvane::emulate {
namespace {

/** The platform's list loses an entry after this much silence. */
constexpr Milliseconds kEntryLife{3600};
/** A backend server that drains goes on for this long. */
constexpr Milliseconds kDrainTime{5000};
/** A balancer that stops goes on for this long. */
constexpr Milliseconds kStopTime{2500};
/** Entries that lapsed are back within this after the platform is. */
constexpr Milliseconds kEntryBack{1500};

}  // namespace

void World::Schedule(const FaultPlan& fault) {
  this->At(this->begun_at + fault.at, [this, fault] { this->Begin(fault); });
  this->faults_over =
      std::max(this->faults_over, this->begun_at + fault.at + fault.span);
}

size_t World::DrawCentre(const FaultPlan& fault) {
  const auto& names = this->experiment.data_centres;
  const auto named = std::ranges::find(names, fault.data_centre);
  if (named != names.end())
    return static_cast<size_t>(named - names.begin());
  return DrawIndex(this->random, names.size());
}

std::vector<World::Node*> World::DrawNodes(const FaultPlan& fault) {
  std::vector<Node*> up;
  for (Node& node : this->nodes) {
    const bool fits =
        fault.data_centre.empty() ||
        this->experiment.data_centres[node.centre] == fault.data_centre;
    if (fits && node.core != nullptr && !node.stopping && !node.paused)
      up.push_back(&node);
  }
  std::vector<Node*> chosen;
  std::ranges::sample(up, std::back_inserter(chosen), fault.count,
                      this->random);
  return chosen;
}

std::vector<World::Server*> World::DrawServers(const FaultPlan& fault) {
  std::vector<Server*> up;
  for (auto& [vm, server] : this->servers) {
    const bool fits =
        (fault.service.empty() || server.options.service == fault.service) &&
        (fault.data_centre.empty() ||
         server.options.data_centre == fault.data_centre);
    if (fits && server.model != nullptr && !server.dark &&
        server.draining_since == kNever)
      up.push_back(&server);
  }
  std::vector<Server*> chosen;
  std::ranges::sample(up, std::back_inserter(chosen), fault.count,
                      this->random);
  return chosen;
}

size_t World::KindNamed(const std::string& name) const {
  const auto found = std::ranges::find(this->kinds, name, &WorkKind::name);
  return static_cast<size_t>(found - this->kinds.begin());
}

void World::Begin(const FaultPlan& fault) {
  const TimePoint until = this->now + fault.span;
  switch (fault.kind) {
    case FaultKind::kBalancerKill:
      for (Node* const node : this->DrawNodes(fault)) {
        this->Kill(*node);
        this->At(until, [this, node] { this->Start(*node); });
      }
      break;
    case FaultKind::kPowerOff:
      for (Node& node : this->nodes) {
        this->Kill(node);
        this->At(until, [this, &node] {
          if (node.core == nullptr)
            this->Start(node);
        });
      }
      break;
    case FaultKind::kBalancerStop:
      for (Node* const node : this->DrawNodes(fault))
        this->Stop(*node, fault.span);
      break;
    case FaultKind::kBalancerPause:
      for (Node* const node : this->DrawNodes(fault)) {
        node->paused = true;
        this->At(until, [this, node] {
          node->paused = false;
          node->disturbed_at = this->now;
          this->OfferDocuments(*node);
        });
      }
      break;
    case FaultKind::kBackendCrash:
    case FaultKind::kBackendDark:
      for (Server* const server : this->DrawServers(fault)) {
        this->Crash(*server, fault.kind == FaultKind::kBackendDark);
        if (fault.span > Milliseconds(0))
          this->At(until, [this, server] { this->Revive(*server); });
      }
      break;
    case FaultKind::kBackendSlow:
    case FaultKind::kBackendFail:
      for (Server* const server : this->DrawServers(fault)) {
        const bool slow = fault.kind == FaultKind::kBackendSlow;
        server->disturbed_at = until;
        if (slow)
          server->model->SetSlow(fault.factor);
        else
          server->model->SetFailing(fault.factor);
        this->At(until, [server] {
          if (server->model == nullptr)
            return;
          server->model->SetSlow(1);
          server->model->SetFailing(0);
        });
      }
      break;
    case FaultKind::kRelease:
      this->Release(fault);
      break;
    case FaultKind::kCentreCut: {
      const size_t centre = this->DrawCentre(fault);
      this->cut_centres.insert(centre);
      this->At(until, [this, centre] {
        this->cut_centres.erase(centre);
        for (auto& [vm, server] : this->servers)
          server.disturbed_at = this->now;
      });
      break;
    }
    case FaultKind::kListLapse:
      for (Server* const server : this->DrawServers(fault)) {
        server->listed = false;
        this->At(until + kEntryBack, [this, server] {
          server->listed = server->model != nullptr;
          this->PublishList();
        });
      }
      this->PublishList();
      break;
    case FaultKind::kRouteMove:
    case FaultKind::kRouteDrop: {
      const size_t kind = this->KindNamed(fault.work);
      const bool moves = fault.kind == FaultKind::kRouteMove;
      this->PublishRoute(kind, moves ? fault.service : "");
      this->At(until, [this, kind] {
        this->PublishRoute(kind, this->experiment.work[kind].service);
      });
      break;
    }
    case FaultKind::kBurst:
      this->load = fault.factor;
      this->At(until, [this] { this->load = this->load == 0 ? 0 : 1; });
      break;
  }
}

void World::Kill(Node& node) {
  node.core = nullptr;
  node.disturbed_at = this->now;
}

void World::Stop(Node& node, Milliseconds span) {
  node.stopping = true;
  PacketOutput out;
  node.core->Tokens().BeginStop(this->now, out.common);
  this->Carry(node, out);
  this->At(this->now + kStopTime, [this, &node, span] {
    this->Kill(node);
    this->At(this->now + span, [this, &node] {
      if (node.core == nullptr)
        this->Start(node);
    });
  });
}

/** Keeps what a start did, for the checks. */
void World::Retire(Server& server) {
  if (server.model == nullptr)
    return;
  server.busy += server.model->Busy();
  server.runs.insert(server.runs.end(), server.model->Runs().begin(),
                     server.model->Runs().end());
  server.opens.insert(server.opens.end(), server.model->Opens().begin(),
                      server.model->Opens().end());
  server.model = nullptr;
}

void World::Crash(Server& server, bool dark) {
  this->Retire(server);
  server.dark = dark;
  server.disturbed_at = this->now;
  this->At(this->now + kEntryLife, [this, &server] {
    if (server.model != nullptr)
      return;
    server.listed = false;
    this->PublishList();
  });
}

void World::Revive(Server& server) {
  server.dark = false;
  ++server.incarnation;
  server.options.cold = Milliseconds(0);
  for (const ServicePlan& service : this->experiment.services) {
    if (service.name == server.options.service)
      server.options.cold = service.cold;
  }
  server.model = std::make_unique<BackendModel>(server.options, this->now);
  server.disturbed_at = this->now;
  // Its first report comes later than its first packet may.
  this->At(this->now + this->experiment.news, [this, &server] {
    server.listed = server.model != nullptr;
    this->PublishList();
  });
}

void World::Replace(Server& server) {
  Server next;
  next.centre = server.centre;
  next.options = server.options;
  next.options.vm = VmId{server.options.vm.value + (this->next_server++ << 20)};
  for (const ServicePlan& service : this->experiment.services) {
    if (service.name == next.options.service)
      next.options.cold = service.cold;
  }
  next.model = std::make_unique<BackendModel>(next.options, this->now);
  const VmId vm = next.options.vm;
  this->servers.emplace(vm, std::move(next));
  server.draining_since = this->now;
  server.model->BeginDrain();
  this->PublishList();
  this->At(this->now + kDrainTime, [this, &server] {
    this->Retire(server);
    server.listed = false;
    this->PublishList();
  });
}

void World::Release(const FaultPlan& fault) {
  const std::vector<Server*> chosen = this->DrawServers(fault);
  for (size_t index = 0; index < chosen.size(); ++index) {
    const auto part = fault.span * static_cast<int64_t>(index) /
                      static_cast<int64_t>(chosen.size());
    this->At(this->now + part, [this, server = chosen[index]] {
      if (server->model != nullptr && server->draining_since == kNever)
        this->Replace(*server);
    });
  }
}

}  // namespace cuminvane::emulate
