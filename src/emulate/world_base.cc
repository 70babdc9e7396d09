/** @file world_base.cc The emulated fleet: time, packets, documents. */

#include "emulate/world_base.h"

#include <algorithm>

#include "document/vmlist_func.h"
#include "packet/packet_func.h"

namespace cuminvane::emulate {
namespace {

constexpr Milliseconds kStep{1};
constexpr Milliseconds kNodeTick{20};
constexpr Milliseconds kReadinessPoll{500};
constexpr int kMissesToLeave = 2;
/** Balancers begin before the load, so that they know each other. */
constexpr Milliseconds kLead{3000};
/** After the load, for what is still in progress. */
constexpr Milliseconds kTail{5000};
constexpr uint32_t kNodeNet = 0x0a000000;
constexpr uint32_t kServerNet = 0x0a800000;
constexpr uint32_t kCallerNet = 0x64400000;
constexpr int kCentreShift = 16;
constexpr uint16_t kPeerPort = 1;
constexpr uint16_t kPacketPort = 2;
constexpr uint16_t kServerPort = 80;
constexpr uint64_t kFirstServer = 1000;

Endpoint ServerAddress(VmId vm) {
  return {kServerNet + static_cast<uint32_t>(vm.value), kServerPort};
}

}  // namespace

World::World(const Experiment& experiment, const Variant& variant)
    : experiment(experiment), variant(variant), random(experiment.seed) {
  this->Build();
}

void World::Build() {
  for (const WorkPlan& work : this->experiment.work) {
    this->kinds.push_back(work.kind);
    this->routes.push_back({{this->config_version, this->now, work.service}});
  }
  for (size_t centre = 0; centre < this->experiment.data_centres.size();
       ++centre) {
    for (int index = 0; index < this->experiment.balancers; ++index) {
      Node node;
      node.vm =
          VmId{(centre + 1) << kCentreShift | static_cast<uint64_t>(index + 1)};
      node.centre = centre;
      this->nodes.push_back(std::move(node));
    }
    for (const ServicePlan& service : this->experiment.services) {
      for (int index = 0; index < service.backends; ++index) {
        Server server;
        server.centre = centre;
        server.options = {VmId{kFirstServer + this->next_server++},
                          service.name,
                          this->experiment.data_centres[centre],
                          service.slots,
                          service.queue,
                          Milliseconds(0),
                          BackendOptions{}.cold_factor};
        server.model =
            std::make_unique<BackendModel>(server.options, this->now);
        const VmId vm = server.options.vm;
        this->servers.emplace(vm, std::move(server));
      }
    }
    this->callers.emplace_back(
        kCallerNet + (static_cast<uint32_t>(centre) << 16) + 1, this->kinds,
        this->now + kLead);
  }
  for (Node& node : this->nodes)
    this->Start(node);
}

WorldResult World::Run() {
  this->begun_at = this->now + kLead;
  this->result.begun_at = this->begun_at;
  this->faults_over = this->begun_at;
  for (const FaultPlan& fault : this->experiment.faults)
    this->Schedule(fault);
  const TimePoint ends_at = this->begun_at + this->experiment.length;
  while (this->now < ends_at)
    this->Step();
  const uint64_t peer_bytes = this->result.peer_bytes;
  this->load = 0;
  while (this->now < ends_at + kTail)
    this->Step();
  this->result.peer_bytes = peer_bytes;
  for (const CallerModel& caller : this->callers)
    this->result.requests.insert(this->result.requests.end(),
                                 caller.Records().begin(),
                                 caller.Records().end());
  for (auto& [vm, server] : this->servers) {
    this->Retire(server);
    this->result.busy[vm] = server.busy;
    this->result.services[vm] = server.options.service;
  }
  this->CheckRequests(this->result);
  this->CheckOpens(this->result);
  this->CheckRecovery(this->result);
  return std::move(this->result);
}

void World::Start(Node& node) {
  node.settings = std::make_unique<Settings>();
  Settings& settings = *node.settings;
  settings.id = node.vm;
  settings.incarnation = Incarnation{++node.starts};
  settings.data_centre = this->experiment.data_centres[node.centre];
  settings.peer = {kNodeNet + static_cast<uint32_t>(node.vm.value), kPeerPort};
  settings.packets = {settings.peer.ip, kPacketPort};
  settings.flows = this->variant.flows;
  for (const Node& other : this->nodes) {
    if (other.vm != node.vm)
      settings.seed_peers.push_back(
          {kNodeNet + static_cast<uint32_t>(other.vm.value), kPeerPort});
  }
  node.core = std::make_unique<Core>(settings);
  node.stopping = false;
  node.paused = false;
  node.shown_version = 0;
  this->OfferDocuments(node);
}

void World::OfferDocuments(Node& node) {
  if (node.core == nullptr || node.paused)
    return;
  PacketOutput out;
  // A document that is in force already is refused, and nothing is lost by it.
  static_cast<void>(node.core->OfferDocument(
      this->now, DocumentKind::kConfig, this->ConfigText(), this->random, out));
  static_cast<void>(node.core->OfferDocument(
      this->now, DocumentKind::kVmList, this->ListText(), this->random, out));
  this->Carry(node, out);
}

void World::PublishList() {
  ++this->list_version;
  this->TellAll();
}

void World::PublishRoute(size_t kind, const std::string& service) {
  ++this->config_version;
  this->routes[kind].push_back({this->config_version, this->now, service});
  this->TellAll();
}

void World::TellAll() {
  for (Node& node : this->nodes) {
    const Milliseconds delay(DrawIndex(
        this->random, static_cast<size_t>(this->experiment.news.count()) + 1));
    this->At(this->now + delay, [this, &node] { this->OfferDocuments(node); });
  }
}

std::string World::ConfigText() const {
  std::string text =
      "[document]\nversion = " + std::to_string(this->config_version) +
      "\n[flows]\nidle_ms = 12000\n";
  for (const ServicePlan& service : this->experiment.services)
    text += "[service " + service.name + "]\n";
  for (size_t kind = 0; kind < this->kinds.size(); ++kind) {
    const WorkPlan& work = this->experiment.work[kind];
    const std::string& service = this->routes[kind].back().service;
    if (service.empty())
      continue;
    text += "[class " + work.kind.name + "]\nservice = " + service +
            "\naddresses = " + ToString(work.kind.address) +
            "\nidempotent = " + (work.kind.idempotent ? "yes" : "no") +
            "\nrank = 1\nanswered_within_ms = " +
            std::to_string(work.kind.target.count()) + "\n";
  }
  return text;
}

std::string World::ListText() const {
  std::string text =
      "[list]\nversion = " + std::to_string(this->list_version) + "\n";
  for (const auto& [vm, server] : this->servers) {
    if (!server.listed)
      continue;
    text +=
        "[vm " + ToString(vm) +
        "]\nincarnation = " + std::to_string(server.incarnation) +
        "\nrole = backend\nservice = " + server.options.service +
        "\ndata_centre = " + server.options.data_centre +
        "\naddress = " + ToString(ServerAddress(vm)) +
        "\nslots = " + std::to_string(server.options.slots) +
        "\ncold_ms = " + std::to_string(server.options.cold.count()) +
        "\nstate = " + (server.draining_since == kNever ? "live" : "leaving") +
        "\n";
  }
  return text;
}

void World::At(TimePoint when, Deed deed) {
  this->deeds.emplace(when, std::move(deed));
}

void World::Send(Microseconds delay, Flight flight) {
  std::uniform_real_distribution<double> share;
  if (share(this->random) < this->experiment.loss)
    return;
  this->flights.emplace(this->now + delay, std::move(flight));
}

void World::Step() {
  this->now += kStep;
  while (!this->deeds.empty() && this->deeds.begin()->first <= this->now) {
    const Deed deed = std::move(this->deeds.begin()->second);
    this->deeds.erase(this->deeds.begin());
    deed();
  }
  while (!this->flights.empty() && this->flights.begin()->first <= this->now) {
    const Flight flight = std::move(this->flights.begin()->second);
    this->flights.erase(this->flights.begin());
    this->Deliver(flight);
  }
  std::vector<ModelPacket> packets;
  for (auto& [vm, server] : this->servers) {
    if (server.model == nullptr)
      continue;
    server.model->Tick(this->now, packets);
    this->FromBackend(server, packets);
  }
  const double asked = this->now < this->begun_at ? 0 : this->load;
  for (size_t centre = 0; centre < this->callers.size(); ++centre) {
    this->callers[centre].Tick(this->now, asked, this->random, packets);
    this->FromCallers(centre, packets);
  }
  const Microseconds since_epoch = this->now.time_since_epoch();
  if (since_epoch % kNodeTick == Microseconds(0)) {
    for (Node& node : this->nodes) {
      if (node.core == nullptr || node.paused)
        continue;
      PacketOutput out;
      node.core->Tick(this->now, this->random, out);
      this->Carry(node, out);
    }
  }
  if (since_epoch % kReadinessPoll == Microseconds(0))
    this->PollReadiness();
}

void World::Deliver(const Flight& flight) {
  switch (flight.kind) {
    case Flight::Kind::kToBalancer:
      this->ToBalancer(flight);
      break;
    case Flight::Kind::kToBackend:
      this->ToBackend(flight);
      break;
    case Flight::Kind::kToCaller: {
      this->CheckSeal(flight.packet, "mixed");
      std::vector<ModelPacket> out;
      this->callers[flight.node].OnPacket(this->now, flight.packet, out);
      this->FromCallers(flight.node, out);
      break;
    }
    case Flight::Kind::kPeer: {
      Node& node = this->nodes[flight.node];
      if (node.core == nullptr || node.paused)
        return;
      PacketOutput out;
      node.core->OnPeer(this->now, flight.from, flight.bytes, this->random,
                        out);
      this->Carry(node, out);
      break;
    }
  }
}

void World::ToBalancer(const Flight& flight) {
  Node& node = this->nodes[flight.node];
  if (node.core == nullptr || node.paused)
    return;
  ModelPacket model = flight.packet;
  OpaquePacket packet;
  packet.key = model.key;
  packet.sequence = model.sequence;
  packet.acknowledged = model.acknowledged;
  packet.tag = model.tag;
  packet.length = static_cast<uint16_t>(model.payload.size());
  packet.opens = model.opens;
  packet.closes = model.closes;
  packet.resets = model.resets;
  PacketOutput out;
  PacketAction action =
      node.core->Packets().OnPacket(this->now, packet, this->random, out);
  if (this->sabotage)
    this->sabotage(model, action, this->random);
  if (action.type == PacketActionType::kReset) {
    if (packet.opens)
      this->CheckOpening(node, packet.key, "");
    this->SendReset(node, {packet.key, packet.acknowledged});
  }
  if (action.type == PacketActionType::kForward) {
    const auto server = this->servers.find(action.backend);
    if (server != this->servers.end()) {
      Flight onward;
      onward.kind = Flight::Kind::kToBackend;
      onward.node = flight.node;
      onward.target = action.backend;
      onward.packet = std::move(model);
      onward.packet.tag = action.tag;
      this->Send(this->Delay(node.centre, server->second.centre),
                 std::move(onward));
    }
  }
  this->Carry(node, out);
}

void World::ToBackend(const Flight& flight) {
  Server& server = this->servers.at(flight.target);
  if (server.dark ||
      this->IsCut(this->nodes[flight.node].centre, server.centre))
    return;
  this->CheckSeal(flight.packet, "unasked");
  if (flight.packet.opens)
    this->CheckOpening(this->nodes[flight.node], flight.packet.key,
                       server.options.service);
  std::vector<ModelPacket> out;
  if (server.model == nullptr) {
    // The VM answers for the process that is gone.
    ModelPacket reset;
    reset.key = flight.packet.key;
    reset.from_caller = false;
    reset.resets = true;
    out.push_back(std::move(reset));
  } else {
    server.model->OnPacket(this->now, flight.packet, this->random, out);
  }
  this->FromBackend(server, out);
}

void World::FromBackend(Server& server, std::vector<ModelPacket>& packets) {
  for (ModelPacket& packet : packets) {
    if (server.dark)
      continue;
    Flight flight;
    flight.kind = Flight::Kind::kToCaller;
    flight.node = (packet.key.caller.ip - kCallerNet) >> 16;
    flight.packet = std::move(packet);
    flight.packet.seal = SealOf(flight.packet);
    this->Send(this->experiment.caller_delay, std::move(flight));
  }
  packets.clear();
}

void World::FromCallers(size_t centre, std::vector<ModelPacket>& packets) {
  for (ModelPacket& packet : packets) {
    Node* const node = this->RouterChoice(centre, packet.key);
    if (node == nullptr)
      continue;
    Flight flight;
    flight.kind = Flight::Kind::kToBalancer;
    flight.node = static_cast<size_t>(node - this->nodes.data());
    flight.packet = std::move(packet);
    flight.packet.seal = SealOf(flight.packet);
    this->Send(this->experiment.caller_delay, std::move(flight));
  }
  packets.clear();
}

World::Node* World::RouterChoice(size_t centre, const FlowKey& key) {
  std::vector<Node*> own;
  std::vector<Node*> ready;
  std::vector<Node*> far;
  for (Node& node : this->nodes) {
    if (node.centre == centre)
      own.push_back(&node);
    if (!node.in_rotation)
      continue;
    (node.centre == centre ? ready : far).push_back(&node);
  }
  // As the platform's routers: all of a data centre's where fewer than half
  // are ready, the others' where none is.
  std::vector<Node*>& chosen = ready.size() * 2 >= own.size() ? ready
                               : ready.empty()                ? far
                                                              : own;
  if (chosen.empty())
    return nullptr;
  return chosen[FlowIdOf(key).value % chosen.size()];
}

void World::PollReadiness() {
  for (Node& node : this->nodes) {
    const bool ready =
        node.core != nullptr && !node.paused && node.core->IsReady();
    node.misses = ready ? 0 : node.misses + 1;
    if (ready)
      node.in_rotation = true;
    else if (node.misses >= kMissesToLeave)
      node.in_rotation = false;
  }
}

bool World::IsCut(size_t one, size_t other) const {
  return one != other &&
         (this->cut_centres.contains(one) || this->cut_centres.contains(other));
}

Microseconds World::Delay(size_t one, size_t other) const {
  return one == other ? this->experiment.near_delay
                      : this->experiment.far_delay;
}

void World::Carry(Node& node, PacketOutput& out) {
  for (Datagram& datagram : out.common.datagrams) {
    (this->now < this->begun_at ? this->result.start_bytes
                                : this->result.peer_bytes) +=
        datagram.bytes.size();
    const auto target =
        std::ranges::find_if(this->nodes, [&](const Node& other) {
          return other.settings != nullptr &&
                 other.settings->peer == datagram.to;
        });
    if (target == this->nodes.end() || this->IsCut(node.centre, target->centre))
      continue;
    Flight flight;
    flight.kind = Flight::Kind::kPeer;
    flight.node = static_cast<size_t>(target - this->nodes.begin());
    flight.from = node.settings->peer;
    flight.bytes = std::move(datagram.bytes);
    this->Send(this->Delay(node.centre, target->centre), std::move(flight));
  }
  for (const FlowReset& reset : out.resets)
    this->SendReset(node, reset);
  for (const HealthCheck& check : out.checks)
    this->StartCheck(node, check);
  out.Clear();
}

void World::StartCheck(Node& node, const HealthCheck& check) {
  ++this->result.checks;
  const Server& server = this->servers.at(check.backend);
  const bool silent = server.dark || this->IsCut(node.centre, server.centre);
  const HealthCheckResult found = silent ? HealthCheckResult::kTimedOut
                                  : server.model == nullptr
                                      ? HealthCheckResult::kRefused
                                      : HealthCheckResult::kAnswered;
  const TimePoint done =
      silent ? check.due
             : this->now + this->Delay(node.centre, server.centre) * 2;
  const uint64_t start = node.starts;
  this->At(done, [this, &node, start, found, vm = check.backend] {
    if (node.core == nullptr || node.paused || node.starts != start)
      return;
    PacketOutput out;
    node.core->OnHealthCheckResult(this->now, vm, found, this->random, out);
    this->Carry(node, out);
  });
}

}  // namespace cuminvane::emulate
