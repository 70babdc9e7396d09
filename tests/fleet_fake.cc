/** @file fleet_fake.cc The fake fleet. */

#include "tests/fleet_fake.h"

#include <utility>

namespace cuminvane {
namespace {

constexpr uint32_t kNodeNet = 0x0a000000;
constexpr uint32_t kBackendNet = 0x0a010000;
constexpr uint32_t kNetMask = 0xffff0000;
constexpr Endpoint kCaller{0x0a090001, 5000};
constexpr Endpoint kService{0x0a080001, 80};
constexpr Endpoint kNotesService{0x0a080003, 80};
constexpr Endpoint kFabric{0x0a070001, 1};
constexpr uint32_t kFirstBackendVm = 100;
constexpr Milliseconds kStep{1};
constexpr Milliseconds kNodeTick{5};

Endpoint NodeEndpoint(int balancer, Channel lane) {
  return {kNodeNet + static_cast<uint32_t>(balancer),
          static_cast<uint16_t>(1 + static_cast<int>(lane))};
}

Endpoint BackendEndpoint(int backend) {
  return {kBackendNet + static_cast<uint32_t>(backend), 1};
}

}  // namespace

FakeFleet::FakeFleet(const FleetOptions& options)
    : options(options), random(options.seed), caller(this->random) {
  for (int backend = 1; backend <= options.backends + options.notes_backends;
       ++backend) {
    this->backend_incarnations[backend] = 0;
    this->RestartBackend(backend);
  }
  this->PublishConfig(1);
  this->PublishVms(1);
  std::vector<int> all;
  for (int balancer = 1; balancer <= options.balancers; ++balancer) {
    this->Start(balancer);
    all.push_back(balancer);
  }
  this->SprayOver(all);
  this->RunFor(Seconds(2));
}

Settings FakeFleet::SettingsOf(int balancer) const {
  Settings settings;
  settings.id = VmId{static_cast<uint32_t>(balancer)};
  settings.incarnation = Incarnation{this->nodes.at(balancer).incarnation};
  settings.data_centre = "a";
  settings.shards = 2;
  settings.requests.witnessed = this->options.witnessed;
  settings.fabric = NodeEndpoint(balancer, Channel::kFabric);
  settings.backend = NodeEndpoint(balancer, Channel::kBackend);
  settings.peer = NodeEndpoint(balancer, Channel::kPeer);
  return settings;
}

void FakeFleet::Start(int balancer) {
  NodeState& state = this->nodes[balancer];
  state.settings = std::make_unique<Settings>(this->SettingsOf(balancer));
  state.node = std::make_unique<TestTokenPlane>(*state.settings);
  Output out;
  // A refusal shows in the decisions.
  static_cast<void>(state.node->OfferDocument(
      this->now, DocumentKind::kConfig, this->config_text, this->random, out));
  static_cast<void>(state.node->OfferDocument(
      this->now, DocumentKind::kVmList, this->vms_text, this->random, out));
  this->Carry(NodeEndpoint(balancer, Channel::kFabric), out);
}

std::string FakeFleet::ConfigText(uint64_t version,
                                  const std::string& extra) const {
  return "[document]\nversion = " + std::to_string(version) +
         "\n[service desk]\naddresses = " + ToString(kService) +
         "\ndata_centres = a\n" +
         "[service notes]\naddresses = " + ToString(kNotesService) +
         "\ndata_centres = a\n" +
         "[class edits]\nservice = desk\nidempotent = no\nrank = "
         "1\nanswered_within_ms = 1000\nanswered_percent = 99\n"
         "[class feed]\nservice = desk\nidempotent = yes\nrank = "
         "2\nanswered_within_ms = 1000\nanswered_percent = 99\n"
         "[class memos]\nservice = notes\nidempotent = no\nrank = "
         "1\nanswered_within_ms = 1000\nanswered_percent = 99\n"
         "[token-key 1]\nsecret = 000102030405060708090a0b0c0d0e0f\n" +
         extra;
}

void FakeFleet::PublishConfig(uint64_t version, const std::string& extra) {
  this->config_text = this->ConfigText(version, extra);
  for (const auto& [balancer, state] : this->nodes) {
    if (state.node != nullptr && !state.paused)
      static_cast<void>(this->OfferConfig(balancer, this->config_text));
  }
}

Result<void> FakeFleet::OfferConfig(int balancer, const std::string& text) {
  Output out;
  Result<void> taken = this->TokenPlaneOf(balancer).OfferDocument(
      this->now, DocumentKind::kConfig, text, this->random, out);
  this->Carry(NodeEndpoint(balancer, Channel::kFabric), out);
  return taken;
}

std::string FakeFleet::ServiceOf(int backend) const {
  return backend <= this->options.backends ? "desk" : "notes";
}

std::string FakeFleet::VmsText(uint64_t version,
                               const std::set<uint32_t>& leaving) const {
  std::string text = "[list]\nversion = " + std::to_string(version) + "\n";
  const auto add = [&](uint32_t vm, uint64_t incarnation,
                       const std::string& rest) {
    text += "[vm " + std::to_string(vm) +
            "]\nincarnation = " + std::to_string(incarnation) +
            "\ndata_centre = a\n" + rest +
            "state = " + (leaving.contains(vm) ? "leaving" : "live") + "\n";
  };
  for (int balancer = 1; balancer <= this->options.balancers; ++balancer) {
    add(static_cast<uint32_t>(balancer), 1,
        "role = balancer\naddress = " +
            ToString(NodeEndpoint(balancer, Channel::kFabric)) +
            "\npeer_address = " +
            ToString(NodeEndpoint(balancer, Channel::kPeer)) + "\n");
  }
  for (const auto& [backend, incarnation] : this->backend_incarnations) {
    add(kFirstBackendVm + static_cast<uint32_t>(backend), incarnation,
        "role = backend\nservice = " + this->ServiceOf(backend) +
            "\naddress = " + ToString(BackendEndpoint(backend)) + "\n");
  }
  return text;
}

void FakeFleet::PublishVms(uint64_t version,
                           const std::set<uint32_t>& leaving) {
  this->vms_text = this->VmsText(version, leaving);
  for (const auto& [balancer, state] : this->nodes) {
    if (state.node != nullptr && !state.paused)
      this->OfferVms(balancer, version, leaving);
  }
}

void FakeFleet::OfferVms(int balancer,
                         uint64_t version,
                         const std::set<uint32_t>& leaving) {
  Output out;
  // A refusal shows in the decisions.
  static_cast<void>(this->TokenPlaneOf(balancer).OfferDocument(
      this->now, DocumentKind::kVmList, this->VmsText(version, leaving),
      this->random, out));
  this->Carry(NodeEndpoint(balancer, Channel::kFabric), out);
}

void FakeFleet::KillBalancer(int balancer) {
  this->nodes.at(balancer).node = nullptr;
}

void FakeFleet::RestartBalancer(int balancer) {
  ++this->nodes.at(balancer).incarnation;
  this->Start(balancer);
}

void FakeFleet::BeginBalancerStop(int balancer) {
  Output out;
  this->TokenPlaneOf(balancer).BeginStop(this->now, out);
  this->Carry(NodeEndpoint(balancer, Channel::kFabric), out);
}

void FakeFleet::EndStop(int balancer) {
  Output out;
  this->TokenPlaneOf(balancer).EndStop(this->now, out);
  this->Carry(NodeEndpoint(balancer, Channel::kFabric), out);
  this->KillBalancer(balancer);
}

void FakeFleet::PauseBalancer(int balancer) {
  this->nodes.at(balancer).paused = true;
}

void FakeFleet::ResumeBalancer(int balancer) {
  NodeState& state = this->nodes.at(balancer);
  state.paused = false;
  const auto held = std::exchange(state.held, {});
  for (const auto& [from, rest] : held)
    this->DeliverToNode(balancer, {from, rest.first, rest.second});
}

void FakeFleet::RestartBackend(int backend) {
  BackendOptions backend_options;
  backend_options.vm = VmId{kFirstBackendVm + static_cast<uint32_t>(backend)};
  backend_options.incarnation =
      Incarnation{++this->backend_incarnations[backend]};
  backend_options.service = this->ServiceOf(backend);
  backend_options.slots = this->options.slots;
  this->backends[backend] = std::make_unique<Backend>(backend_options);
}

void FakeFleet::KillBackend(int backend) {
  this->backends.erase(backend);
}

void FakeFleet::CutLink(uint32_t first_vm, uint32_t second_vm) {
  this->cuts.insert({first_vm, second_vm});
  this->cuts.insert({second_vm, first_vm});
}

void FakeFleet::HealAllLinks() {
  this->cuts.clear();
}

void FakeFleet::SprayOver(const std::vector<int>& balancers) {
  this->spray = balancers;
}

void FakeFleet::SprayOverAllBut(int balancer) {
  std::vector<int> others;
  for (int other = 1; other <= this->options.balancers; ++other) {
    if (other != balancer)
      others.push_back(other);
  }
  this->SprayOver(others);
}

FlowHandle FakeFleet::StartFlow(const std::string& service) {
  const Endpoint address = service == "desk" ? kService : kNotesService;
  const FlowHandle flow = this->caller.OpenFlow(
      this->now, address, this->now + Seconds(30), this->caller_out);
  this->CarryCaller();
  return flow;
}

FlowHandle FakeFleet::OpenFlow(const std::string& service) {
  const FlowHandle flow = this->StartFlow(service);
  this->RunUntil([&] { return this->opened_flows.contains(flow); }, Seconds(5));
  return flow;
}

RequestKey FakeFleet::SendRequest(FlowHandle flow,
                                  const std::string& work_class,
                                  const WorkOrder& order,
                                  Milliseconds deadline) {
  const RequestKey key = this->caller.Send(
      this->now, flow, ClassIdOf(work_class), this->now + deadline,
      FormatOrder(order), this->caller_out);
  this->CarryCaller();
  return key;
}

CallerEvent FakeFleet::SendRequestAndWait(FlowHandle flow,
                                          const std::string& work_class,
                                          const WorkOrder& order,
                                          Milliseconds deadline) {
  const RequestKey key = this->SendRequest(flow, work_class, order, deadline);
  this->RunUntil([&] { return this->finished_requests.contains(key); },
                 deadline + Seconds(2));
  return this->finished_requests[key];
}

WorkOrder FakeFleet::MakeOrder(uint32_t parts, Microseconds busy) {
  return {"t" + std::to_string(++this->tags), "desk", parts, busy};
}

int FakeFleet::StartCount(const std::string& tag) const {
  const auto count = this->starts.find(tag);
  return count == this->starts.end() ? 0 : count->second;
}

TimePoint FakeFleet::LastAcceptedAt(int backend) const {
  const auto at = this->last_accepted.find(backend);
  return at == this->last_accepted.end() ? TimePoint{} : at->second;
}

int FakeFleet::OwnerOf(FlowHandle flow) {
  return static_cast<int>(this->TokenOf(flow).owner.vm.value);
}

int FakeFleet::WitnessOf(FlowHandle flow) {
  return static_cast<int>(this->TokenOf(flow).witness.vm.value);
}

FlowToken FakeFleet::TokenOf(FlowHandle flow) {
  const auto view = this->TokenPlaneOf(this->spray.front()).ReadBlackboard();
  return OpenToken(this->caller.TokenOf(flow), view->config.value->keys)
      .value();
}

void FakeFleet::RunFor(Microseconds time) {
  const TimePoint until = this->now + time;
  while (this->now < until)
    this->Step();
}

bool FakeFleet::RunUntil(const std::function<bool()>& condition,
                         Microseconds time) {
  const TimePoint until = this->now + time;
  while (this->now < until && !condition())
    this->Step();
  return condition();
}

void FakeFleet::Step() {
  this->now += kStep;
  while (!this->flights.empty() && this->flights.begin()->first <= this->now) {
    const Flight flight = std::move(this->flights.begin()->second);
    this->flights.erase(this->flights.begin());
    this->Deliver(flight);
  }
  for (auto& [number, backend] : this->backends) {
    Output out;
    backend->Tick(this->now, out);
    this->Carry(BackendEndpoint(number), out);
    for (const BackendEvent& event : backend->TakeEvents()) {
      if (event.kind == BackendEvent::Kind::kStarted)
        ++this->starts[event.tag];
      if (event.kind == BackendEvent::Kind::kAccepted)
        this->last_accepted[number] = event.at;
      this->backend_events.emplace_back(number, event);
    }
  }
  if (this->now.time_since_epoch() % kNodeTick == Microseconds(0)) {
    for (auto& [balancer, state] : this->nodes) {
      if (state.node == nullptr || state.paused)
        continue;
      Output out;
      state.node->Tick(this->now, this->random, out);
      this->Carry(NodeEndpoint(balancer, Channel::kFabric), out);
    }
  }
  this->caller.Tick(this->now, this->caller_out);
  this->CarryCaller();
}

void FakeFleet::Send(const Endpoint& from,
                     const Endpoint& to,
                     std::string bytes) {
  if (this->cuts.contains({VmOf(from), VmOf(to)}) ||
      (this->should_drop && this->should_drop(from, to, bytes)))
    return;
  std::uniform_real_distribution<double> share;
  if (share(this->random) < this->options.loss)
    return;
  const int copies = share(this->random) < this->options.duplicate ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const Microseconds jitter(static_cast<int64_t>(DrawIndex(
        this->random, static_cast<size_t>(this->options.jitter.count()) + 1)));
    this->flights.emplace(this->now + this->options.delay + jitter,
                          Flight{from, to, bytes});
  }
}

void FakeFleet::Deliver(const Flight& flight) {
  if (flight.to == kCaller) {
    this->caller.OnPacket(this->now, flight.bytes, this->caller_out);
    this->CarryCaller();
    return;
  }
  if ((flight.to.ip & kNetMask) == kBackendNet) {
    Output out;
    const int number = static_cast<int>(flight.to.ip - kBackendNet);
    const auto backend = this->backends.find(number);
    if (backend == this->backends.end())
      return;
    backend->second->OnPacket(this->now, flight.from, flight.bytes, out);
    this->Carry(flight.to, out);
    return;
  }
  this->DeliverToNode(static_cast<int>(flight.to.ip - kNodeNet), flight);
}

void FakeFleet::DeliverToNode(int balancer, const Flight& flight) {
  NodeState& state = this->nodes.at(balancer);
  if (state.node == nullptr)
    return;
  if (state.paused) {
    state.held.push_back({flight.from, {flight.to, flight.bytes}});
    return;
  }
  Output out;
  switch (static_cast<Channel>(flight.to.port - 1)) {
    case Channel::kFabric:
      state.node->OnFabric(this->now, kFabric, flight.bytes, this->random, out);
      break;
    case Channel::kBackend:
      state.node->OnBackend(this->now, flight.bytes, this->random, out);
      break;
    case Channel::kPeer:
      state.node->OnPeer(this->now, flight.from, flight.bytes, this->random,
                         out);
      break;
  }
  this->Carry(NodeEndpoint(balancer, Channel::kFabric), out);
}

void FakeFleet::Carry(const Endpoint& base, Output& out) {
  for (Datagram& datagram : out.datagrams) {
    if (datagram.channel == Channel::kFabric) {
      const Result<DatagramHeader> header = DecodeHeader(datagram.bytes);
      const Result<FabricPacket> packet =
          Decode<FabricPacket>(datagram.bytes, header.value());
      this->Send(base, packet.value().caller,
                 std::string(AsStringView(packet.value().packet)));
      continue;
    }
    Endpoint from = base;
    if ((base.ip & kNetMask) == kNodeNet)
      from.port = static_cast<uint16_t>(1 + static_cast<int>(datagram.channel));
    if (datagram.channel == Channel::kPeer) {
      this->peer_bytes += datagram.bytes.size();
      const Result<DatagramHeader> header = DecodeHeader(datagram.bytes);
      if (const Result<RelayedPacket> relay =
              Decode<RelayedPacket>(datagram.bytes, header.value())) {
        ++this->relayed_packets;
        this->relayed_payload_bytes += relay.value().packet.size;
      }
    }
    this->Send(from, datagram.to, std::move(datagram.bytes));
  }
  this->decisions.insert(this->decisions.end(), out.decisions.begin(),
                         out.decisions.end());
  out.Clear();
}

void FakeFleet::CarryCaller() {
  for (const CallerDatagram& datagram : this->caller_out.datagrams) {
    ++this->caller_packets;
    const int balancer =
        this->spray[DrawIndex(this->random, this->spray.size())];
    this->Send(kCaller, NodeEndpoint(balancer, Channel::kFabric),
               Encode(FabricPacket{kCaller, datagram.service,
                                   MakeBlob(datagram.bytes)}));
  }
  this->caller_out.datagrams.clear();
  for (const CallerEvent& event : std::exchange(this->caller_out.events, {})) {
    if (event.kind == CallerEvent::Kind::kFlowOpened)
      this->opened_flows[event.flow_handle] = event.flow;
    if (event.kind == CallerEvent::Kind::kFeedEvent)
      this->feed_events.push_back(event);
    if (event.kind == CallerEvent::Kind::kRequestFinished)
      this->finished_requests[event.request] = event;
  }
}

uint32_t FakeFleet::VmOf(const Endpoint& endpoint) {
  if ((endpoint.ip & kNetMask) == kNodeNet)
    return endpoint.ip - kNodeNet;
  if ((endpoint.ip & kNetMask) == kBackendNet)
    return kFirstBackendVm + endpoint.ip - kBackendNet;
  return 0;
}

}  // namespace cuminvane
