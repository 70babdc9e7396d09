/** @file world_document.cc Documents of the emulated fleet: publication, reads
 * of the store, and fetches between balancers. */

#include <algorithm>

#include "emulate/world_base.h"

namespace cuminvane::emulate {
namespace {

/** Time after which a fetch from an unreachable balancer fails. */
constexpr Milliseconds kFetchTimeout{1500};
/** Base IPv4 address, to which the id of the VM is added. */
constexpr uint32_t kBackendNet = 0x0a800000;
constexpr uint16_t kBackendPort = 80;
/** Time from a restore of the store until the operator and the backend servers
 * have written again what was lost. */
constexpr Milliseconds kRewriteTime{2000};

Endpoint BackendAddress(VmId vm) {
  return {kBackendNet + static_cast<uint32_t>(vm.value), kBackendPort};
}

}  // namespace

void World::OfferDocuments(BalancerNode& node) {
  if (node.balancer == nullptr || node.paused || !this->store_available)
    return;
  const std::string config =
      this->restored ? this->restored->config : this->ConfigText();
  const std::string vms =
      "[list]\nversion = " + std::to_string(this->ListVersion()) + "\n" +
      (this->restored ? this->restored->vms : this->ListSections());
  PacketOutput out;
  // A balancer refuses a document that is already active. Offering it again
  // does no harm.
  static_cast<void>(node.balancer->OfferDocument(
      this->now, DocumentKind::kConfig, config, this->random, out));
  static_cast<void>(node.balancer->OfferDocument(
      this->now, DocumentKind::kVmList, vms, this->random, out));
  node.balancer->GetTokenPlane().ConfirmDocuments(this->now);
  this->SendOutput(node, out);
}

void World::ConfirmDocuments(BalancerNode& node) const {
  if (!this->store_available)
    return;
  const uint64_t stored_version =
      this->restored ? this->restored->config_version : this->config_version;
  const auto view = node.balancer->GetTokenPlane().ReadBlackboard();
  if (view->config.value->version.value >= stored_version &&
      view->vms.value->version.value == this->ListVersion())
    node.balancer->GetTokenPlane().ConfirmDocuments(this->now);
}

void World::PublishList() {
  ++this->list_revision;
  this->RecordSnapshot();
  this->NotifyBalancers();
}

void World::PublishRoute(size_t kind, const std::string& service) {
  ++this->config_version;
  this->routes[kind].push_back({this->config_version, this->now, service});
  this->RecordSnapshot();
  this->NotifyBalancers();
}

void World::RecordSnapshot() {
  this->snapshots.push_back({this->now, this->config_version,
                             this->list_revision, this->ConfigText(),
                             this->ListSections()});
}

void World::LoseStore(const FaultPlan& fault) {
  const TimePoint copied_at =
      this->now - std::chrono::duration_cast<Microseconds>(
                      std::chrono::duration<double>(fault.factor));
  // The first snapshot is older than all faults.
  const auto after = std::ranges::upper_bound(this->snapshots, copied_at, {},
                                              &StoreSnapshot::at);
  const StoreSnapshot copy =
      after == this->snapshots.begin() ? *after : *std::prev(after);
  const TimePoint back_at = this->now + fault.duration;
  this->store_available = false;
  this->store_disturbances.push_back({this->now, back_at + kRewriteTime});
  this->ScheduleAt(back_at, [this, copy] {
    this->store_available = true;
    this->restored = copy;
    ++this->store_era;
    this->list_revision = copy.list_revision;
    this->NotifyBalancers();
  });
  this->ScheduleAt(back_at + kRewriteTime, [this] {
    this->restored.reset();
    this->PublishList();
  });
}

uint64_t World::ListVersion() const {
  return this->store_era * kVersionsPerEra + this->list_revision;
}

void World::NotifyBalancers() {
  for (BalancerNode& node : this->nodes) {
    const Milliseconds delay(DrawIndex(
        this->random,
        static_cast<size_t>(this->experiment.max_notification_delay.count()) +
            1));
    this->ScheduleAt(this->now + delay,
                     [this, &node] { this->OfferDocuments(node); });
  }
}

std::string World::ConfigText() const {
  std::string text =
      "[document]\nversion = " + std::to_string(this->config_version) +
      "\n[flows]\nidle_ms = 12000\n";
  for (const ServicePlan& service : this->experiment.services)
    text += "[service " + service.name + "]\n";
  for (size_t kind = 0; kind < this->kinds.size(); ++kind) {
    const RequestPlan& plan = this->experiment.request_plans[kind];
    const std::string& service = this->routes[kind].back().service;
    if (service.empty())
      continue;
    text += "[class " + plan.kind.name + "]\nservice = " + service +
            "\naddresses = " + ToString(plan.kind.address) +
            "\nidempotent = " + (plan.kind.idempotent ? "yes" : "no") +
            "\nrank = 1\nanswered_within_ms = " +
            std::to_string(plan.kind.target.count()) + "\n";
  }
  return text;
}

std::string World::ListSections() const {
  std::string text;
  for (const auto& [vm, server] : this->servers) {
    if (!server.listed)
      continue;
    text +=
        "[vm " + ToString(vm) +
        "]\nincarnation = " + std::to_string(server.incarnation) +
        "\nrole = backend\nservice = " + server.options.service +
        "\ndata_centre = " + server.options.data_centre +
        "\naddress = " + ToString(BackendAddress(vm)) +
        "\nslots = " + std::to_string(server.options.slots) +
        "\ncold_ms = " + std::to_string(server.options.warm_up.count()) +
        "\nstate = " + (server.draining_since == kNever ? "live" : "leaving") +
        "\n";
  }
  return text;
}

void World::RunFetch(BalancerNode& node, const PeerFetch& fetch) {
  const auto asked =
      std::ranges::find_if(this->nodes, [&](const BalancerNode& other) {
        return other.settings != nullptr && other.settings->peer == fetch.peer;
      });
  const bool reachable = asked != this->nodes.end() &&
                         asked->balancer != nullptr && !asked->paused &&
                         !this->IsPartitioned(node.centre, asked->centre);
  std::string header;
  std::string content;
  Microseconds duration = kFetchTimeout;
  if (reachable) {
    const auto answer =
        asked->balancer->GetTokenPlane().Control().AnswerFetch(fetch.request);
    if (answer) {
      header = answer->header;
      content = *answer->content;
    }
    duration = this->OneWayDelay(node.centre, asked->centre) * 4;
    this->CountPeerBytes(fetch.request.size() + header.size() + content.size());
  }
  this->ScheduleAt(this->now + duration,
                   [this, &node, header, content, start = node.start_count,
                    kind = fetch.kind] {
                     if (node.balancer == nullptr || node.start_count != start)
                       return;
                     PacketOutput out;
                     node.balancer->OnFetchEnded(this->now, kind, header,
                                                 content, this->random, out);
                     this->SendOutput(node, out);
                   });
}

void World::CountPeerBytes(size_t bytes) {
  (this->now < this->load_started_at ? this->result.start_bytes
                                     : this->result.peer_bytes) += bytes;
}

}  // namespace cuminvane::emulate
