/** @file world_base.cc The emulated fleet: virtual time, transport of packets,
 * publication of documents, routers. */

#include "emulate/world_base.h"

#include <algorithm>

#include "packet/packet_func.h"

namespace cuminvane::emulate {
namespace {

/** Step of the virtual time. */
constexpr Milliseconds kStep{1};
/** Interval between ticks of a balancer. */
constexpr Milliseconds kBalancerTick{20};
/** Interval between readiness polls of a balancer. */
constexpr Milliseconds kReadinessPoll{500};
/** Consecutive failed polls that take a balancer out of rotation. */
constexpr int kReadinessFailureThreshold = 2;
/** Balancers start this long before the load, so that they have discovered each
 * other when it starts. */
constexpr Milliseconds kLeadTime{3000};
/** Time after the load in which requests in progress can end. */
constexpr Milliseconds kCompletionTime{5000};
/** Base IPv4 address, to which the id of the VM is added. */
constexpr uint32_t kBalancerNet = 0x0a000000;
/** Base IPv4 address of callers; each data centre has its own /16 network. */
constexpr uint32_t kCallerNet = 0x64400000;
/** Bit position of the data centre's number in the id of a balancer's VM. */
constexpr int kCentreShift = 16;
/** Port of balancers for datagrams of other balancers. */
constexpr uint16_t kPeerPort = 1;
/** Port of balancers for packets of opaque flows. */
constexpr uint16_t kPacketPort = 2;
/** The ids of backend servers' VMs are greater than this number. */
constexpr uint64_t kFirstBackendNumber = 1000;

}  // namespace

World::World(const Experiment& experiment, const Variant& variant)
    : experiment(experiment), variant(variant), random(experiment.seed) {
  this->BuildFleet();
}

void World::BuildFleet() {
  for (const RequestPlan& plan : this->experiment.request_plans) {
    this->kinds.push_back(plan.kind);
    this->routes.push_back({{this->config_version, this->now, plan.service}});
  }
  for (size_t centre = 0; centre < this->experiment.data_centres.size();
       ++centre) {
    for (int index = 0; index < this->experiment.balancers; ++index) {
      BalancerNode node;
      node.vm =
          VmId{(centre + 1) << kCentreShift | static_cast<uint64_t>(index + 1)};
      node.centre = centre;
      this->nodes.push_back(std::move(node));
    }
    for (const ServicePlan& service : this->experiment.services) {
      for (int index = 0; index < service.backends; ++index) {
        BackendServer server;
        server.centre = centre;
        server.options = {
            VmId{kFirstBackendNumber + this->next_backend_number++},
            service.name,
            this->experiment.data_centres[centre],
            service.slots,
            service.queue_limit,
            Milliseconds(0),
            BackendOptions{}.warm_up_factor,
            service.speeds[static_cast<size_t>(index) % service.speeds.size()]};
        server.model =
            std::make_unique<BackendModel>(server.options, this->now);
        const VmId vm = server.options.vm;
        this->servers.emplace(vm, std::move(server));
      }
    }
    this->callers.emplace_back(
        kCallerNet + (static_cast<uint32_t>(centre) << 16) + 1, this->kinds,
        this->now + kLeadTime);
  }
  this->RecordSnapshot();
  for (BalancerNode& node : this->nodes)
    this->StartBalancer(node);
}

WorldResult World::Run() {
  this->load_started_at = this->now + kLeadTime;
  this->result.load_started_at = this->load_started_at;
  this->faults_end_at = this->load_started_at;
  for (const FaultPlan& fault : this->experiment.faults)
    this->ScheduleFault(fault);
  if (this->experiment.measured_from > Milliseconds(0))
    this->ScheduleAt(this->load_started_at + this->experiment.measured_from,
                     [this] { this->BeginMeasurement(); });
  const TimePoint ends_at =
      this->load_started_at + this->experiment.load_duration;
  while (this->now < ends_at)
    this->Step();
  // Bytes sent after the load aren't counted.
  const uint64_t peer_bytes = this->result.peer_bytes;
  this->load_factor = 0;
  while (this->now < ends_at + kCompletionTime)
    this->Step();
  this->result.peer_bytes = peer_bytes;
  for (const CallerModel& caller : this->callers)
    this->result.requests.insert(this->result.requests.end(),
                                 caller.Records().begin(),
                                 caller.Records().end());
  for (auto& [vm, server] : this->servers) {
    this->CollectRecords(server);
    this->result.busy_time[vm] = server.busy_time - this->earlier_busy_time[vm];
    this->result.service_by_backend[vm] = server.options.service;
  }
  this->result.sheds -= this->earlier_sheds;
  this->CheckRequests(this->result);
  this->CheckDrains(this->result);
  this->CheckRecovery(this->result);
  return std::move(this->result);
}

void World::BeginMeasurement() {
  this->earlier_sheds = this->result.sheds;
  for (const auto& [vm, server] : this->servers) {
    this->earlier_busy_time[vm] = server.busy_time;
    if (server.model == nullptr)
      continue;
    this->earlier_busy_time[vm] += server.model->BusyTime();
    this->earlier_sheds += server.model->Sheds();
  }
}

void World::StartBalancer(BalancerNode& node) {
  node.settings = std::make_unique<Settings>();
  Settings& settings = *node.settings;
  settings.id = node.vm;
  settings.incarnation = Incarnation{++node.start_count};
  settings.data_centre = this->experiment.data_centres[node.centre];
  settings.peer = {kBalancerNet + static_cast<uint32_t>(node.vm.value),
                   kPeerPort};
  settings.packets = {settings.peer.ip, kPacketPort};
  settings.flows = this->variant.flows;
  for (const BalancerNode& other : this->nodes) {
    if (other.vm != node.vm)
      settings.seed_peers.push_back(
          {kBalancerNet + static_cast<uint32_t>(other.vm.value), kPeerPort});
  }
  node.balancer = std::make_unique<EmulatedBalancer>(settings);
  node.stopping = false;
  node.paused = false;
  node.observed_version = 0;
  this->OfferDocuments(node);
}

void World::ScheduleAt(TimePoint when, Event event) {
  this->events.emplace(when, std::move(event));
}

void World::Send(Microseconds delay, Delivery delivery) {
  std::uniform_real_distribution<double> uniform;
  if (uniform(this->random) < this->experiment.loss_share)
    return;
  this->deliveries.emplace(this->now + delay, std::move(delivery));
}

void World::Step() {
  this->now += kStep;
  while (!this->events.empty() && this->events.begin()->first <= this->now) {
    const Event event = std::move(this->events.begin()->second);
    this->events.erase(this->events.begin());
    event();
  }
  while (!this->deliveries.empty() &&
         this->deliveries.begin()->first <= this->now) {
    const Delivery delivery = std::move(this->deliveries.begin()->second);
    this->deliveries.erase(this->deliveries.begin());
    this->Deliver(delivery);
  }
  std::vector<ModelPacket> packets;
  for (auto& [vm, server] : this->servers) {
    if (server.model == nullptr)
      continue;
    server.model->Tick(this->now, packets);
    this->SendFromBackend(server, packets);
  }
  const double load = this->now < this->load_started_at ? 0 : this->load_factor;
  for (size_t centre = 0; centre < this->callers.size(); ++centre) {
    this->callers[centre].Tick(this->now, load, this->random, packets);
    this->SendFromCallers(centre, packets);
  }
  const Microseconds since_epoch = this->now.time_since_epoch();
  if (since_epoch % kBalancerTick == Microseconds(0)) {
    for (BalancerNode& node : this->nodes) {
      if (node.balancer == nullptr || node.paused)
        continue;
      PacketOutput out;
      node.balancer->Tick(this->now, this->random, out);
      this->SendOutput(node, out);
    }
  }
  if (since_epoch % kReadinessPoll == Microseconds(0))
    this->PollReadiness();
}

void World::Deliver(const Delivery& delivery) {
  switch (delivery.kind) {
    case Delivery::Kind::kToBalancer:
      this->DeliverToBalancer(delivery);
      break;
    case Delivery::Kind::kToBackend:
      this->DeliverToBackend(delivery);
      break;
    case Delivery::Kind::kToCaller: {
      this->VerifyChecksum(delivery.packet, "mixed");
      std::vector<ModelPacket> out;
      this->callers[delivery.node].OnPacket(this->now, delivery.packet, out);
      this->SendFromCallers(delivery.node, out);
      break;
    }
    case Delivery::Kind::kPeer: {
      BalancerNode& node = this->nodes[delivery.node];
      if (node.balancer == nullptr || node.paused)
        return;
      PacketOutput out;
      node.balancer->OnPeer(this->now, delivery.from, delivery.bytes,
                            this->random, out);
      this->SendOutput(node, out);
      break;
    }
  }
}

void World::DeliverToBalancer(const Delivery& delivery) {
  BalancerNode& node = this->nodes[delivery.node];
  if (node.balancer == nullptr || node.paused)
    return;
  ModelPacket model = delivery.packet;
  OpaquePacket packet;
  packet.key = model.key;
  packet.sequence = model.sequence;
  packet.acknowledged_or_retransmission = model.acknowledged;
  packet.tag = model.tag;
  packet.length = static_cast<uint16_t>(model.payload.size());
  packet.opens = model.opens;
  packet.closes = model.closes;
  packet.resets = model.resets;
  PacketOutput out;
  PacketAction action = node.balancer->GetPacketPlane().OnPacket(
      this->now, packet, this->random, out);
  if (this->decision_mutator)
    this->decision_mutator(model, action, this->random);
  if (action.type == PacketActionType::kReset) {
    if (packet.opens)
      this->CheckOpening(node, packet.key, "");
    this->SendReset(node, {packet.key, packet.acknowledged_or_retransmission});
  }
  if (action.type == PacketActionType::kForward) {
    const auto server = this->servers.find(action.backend);
    if (server != this->servers.end()) {
      Delivery onward;
      onward.kind = Delivery::Kind::kToBackend;
      onward.node = delivery.node;
      onward.target = action.backend;
      onward.packet = std::move(model);
      onward.packet.tag = action.tag;
      this->Send(this->OneWayDelay(node.centre, server->second.centre),
                 std::move(onward));
    }
  }
  this->SendOutput(node, out);
}

void World::DeliverToBackend(const Delivery& delivery) {
  BackendServer& server = this->servers.at(delivery.target);
  if (server.unresponsive ||
      this->IsPartitioned(this->nodes[delivery.node].centre, server.centre))
    return;
  this->VerifyChecksum(delivery.packet, "unasked");
  if (delivery.packet.opens)
    this->CheckOpening(this->nodes[delivery.node], delivery.packet.key,
                       server.options.service);
  std::vector<ModelPacket> out;
  if (server.model == nullptr) {
    // The VM resets flows of a process that has ended.
    ModelPacket reset;
    reset.key = delivery.packet.key;
    reset.from_caller = false;
    reset.resets = true;
    out.push_back(std::move(reset));
  } else {
    server.model->OnPacket(this->now, delivery.packet, this->random, out);
  }
  this->SendFromBackend(server, out);
}

void World::SendFromBackend(BackendServer& server,
                            std::vector<ModelPacket>& packets) {
  for (ModelPacket& packet : packets) {
    if (server.unresponsive)
      continue;
    Delivery delivery;
    delivery.kind = Delivery::Kind::kToCaller;
    delivery.node = (packet.key.caller.ip - kCallerNet) >> 16;
    delivery.packet = std::move(packet);
    delivery.packet.checksum = ChecksumOf(delivery.packet);
    this->Send(this->experiment.caller_delay, std::move(delivery));
  }
  packets.clear();
}

void World::SendFromCallers(size_t centre, std::vector<ModelPacket>& packets) {
  for (ModelPacket& packet : packets) {
    BalancerNode* const node = this->ChooseBalancer(centre, packet.key);
    if (node == nullptr)
      continue;
    Delivery delivery;
    delivery.kind = Delivery::Kind::kToBalancer;
    delivery.node = static_cast<size_t>(node - this->nodes.data());
    delivery.packet = std::move(packet);
    delivery.packet.checksum = ChecksumOf(delivery.packet);
    this->Send(this->experiment.caller_delay, std::move(delivery));
  }
  packets.clear();
}

World::BalancerNode* World::ChooseBalancer(size_t centre, const FlowKey& key) {
  std::vector<BalancerNode*> local;
  std::vector<BalancerNode*> local_ready;
  std::vector<BalancerNode*> remote_ready;
  for (BalancerNode& node : this->nodes) {
    if (node.centre == centre)
      local.push_back(&node);
    if (!node.in_rotation)
      continue;
    (node.centre == centre ? local_ready : remote_ready).push_back(&node);
  }
  // The routers of a data centre send packets to its ready balancers if at
  // least half of its balancers are ready. If none is ready, they use the ready
  // balancers of the other data centres. Otherwise (some, but less than half)
  // they use all balancers of their data centre, ready or not.
  std::vector<BalancerNode*>& chosen = local_ready.size() * 2 >= local.size()
                                           ? local_ready
                                       : local_ready.empty() ? remote_ready
                                                             : local;
  if (chosen.empty())
    return nullptr;
  return chosen[FlowIdOf(key).value % chosen.size()];
}

void World::PollReadiness() {
  for (BalancerNode& node : this->nodes) {
    const bool ready =
        node.balancer != nullptr && !node.paused && node.balancer->IsReady();
    node.failed_readiness_polls = ready ? 0 : node.failed_readiness_polls + 1;
    if (node.balancer != nullptr && !node.paused)
      this->ConfirmDocuments(node);
    if (ready)
      node.in_rotation = true;
    else if (node.failed_readiness_polls >= kReadinessFailureThreshold)
      node.in_rotation = false;
  }
}

bool World::IsPartitioned(size_t one, size_t other) const {
  return one != other && (this->isolated_centres.contains(one) ||
                          this->isolated_centres.contains(other));
}

Microseconds World::OneWayDelay(size_t one, size_t other) const {
  return one == other ? this->experiment.local_delay
                      : this->experiment.remote_delay;
}

void World::SendOutput(BalancerNode& node, PacketOutput& out) {
  for (Datagram& datagram : out.common.datagrams) {
    this->CountPeerBytes(datagram.bytes.size());
    const auto target =
        std::ranges::find_if(this->nodes, [&](const BalancerNode& other) {
          return other.settings != nullptr &&
                 other.settings->peer == datagram.to;
        });
    if (target == this->nodes.end() ||
        this->IsPartitioned(node.centre, target->centre))
      continue;
    Delivery delivery;
    delivery.kind = Delivery::Kind::kPeer;
    delivery.node = static_cast<size_t>(target - this->nodes.begin());
    delivery.from = node.settings->peer;
    delivery.bytes = std::move(datagram.bytes);
    this->Send(this->OneWayDelay(node.centre, target->centre),
               std::move(delivery));
  }
  for (const PeerFetch& fetch : out.common.fetches)
    this->RunFetch(node, fetch);
  for (const FlowReset& reset : out.resets)
    this->SendReset(node, reset);
  for (const HealthCheck& check : out.checks)
    this->RunHealthCheck(node, check);
  out.Clear();
}

void World::RunHealthCheck(BalancerNode& node, const HealthCheck& check) {
  ++this->result.checks;
  const BackendServer& server = this->servers.at(check.backend);
  const bool is_unreachable =
      server.unresponsive || this->IsPartitioned(node.centre, server.centre);
  const HealthCheckResult check_result =
      is_unreachable ? HealthCheckResult::kTimedOut
      : server.model == nullptr || !server.model->IsListening()
          ? HealthCheckResult::kRefused
          : HealthCheckResult::kAnswered;
  const TimePoint done_at =
      is_unreachable
          ? check.due
          : this->now + this->OneWayDelay(node.centre, server.centre) * 2;
  const uint64_t start = node.start_count;
  this->ScheduleAt(done_at, [this, &node, start, check_result,
                             vm = check.backend] {
    if (node.balancer == nullptr || node.paused || node.start_count != start)
      return;
    PacketOutput out;
    node.balancer->OnHealthCheckResult(this->now, vm, check_result,
                                       this->random, out);
    this->SendOutput(node, out);
  });
}

}  // namespace cuminvane::emulate
