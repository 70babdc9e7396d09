/** @file fleet_fake.cc Simulates a fleet in one process and in virtual time. */

#include "tests/fleet_fake.h"

#include <utility>

namespace cuminvane {
namespace {

constexpr uint32_t kBalancerSubnet = 0x0a000000;
constexpr uint32_t kBackendSubnet = 0x0a010000;
constexpr uint32_t kSubnetMask = 0xffff0000;
constexpr Endpoint kCallerEndpoint{0x0a090001, 5000};
constexpr Endpoint kDeskServiceEndpoint{0x0a080001, 80};
constexpr Endpoint kNotesServiceEndpoint{0x0a080003, 80};
constexpr Endpoint kFabricEndpoint{0x0a070001, 1};
/** VM number of backend server 0; backend servers are numbered from 1. */
constexpr uint32_t kFirstBackendVm = 100;
/** Virtual time that one call of Step takes. */
constexpr Milliseconds kTimeStep{1};
constexpr Milliseconds kBalancerTickInterval{5};
/** Time after which a fetch from an unreachable balancer fails. */
constexpr Milliseconds kFetchTimeout{1500};

Endpoint BalancerEndpoint(int balancer, Channel lane) {
  return {kBalancerSubnet + static_cast<uint32_t>(balancer),
          static_cast<uint16_t>(1 + static_cast<int>(lane))};
}

Endpoint BackendEndpoint(int backend) {
  return {kBackendSubnet + static_cast<uint32_t>(backend), 1};
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
    this->StartBalancer(balancer);
    all.push_back(balancer);
  }
  this->SprayOver(all);
  this->RunFor(Seconds(2));
}

Settings FakeFleet::SettingsOf(int balancer) const {
  Settings settings;
  settings.id = VmId{static_cast<uint32_t>(balancer)};
  settings.incarnation =
      Incarnation{this->balancer_states.at(balancer).incarnation};
  settings.data_centre = "a";
  settings.shards = 2;
  settings.requests.witnessed = this->options.witnessed;
  settings.fabric = BalancerEndpoint(balancer, Channel::kFabric);
  settings.backend = BalancerEndpoint(balancer, Channel::kBackend);
  settings.peer = BalancerEndpoint(balancer, Channel::kPeer);
  return settings;
}

void FakeFleet::StartBalancer(int balancer) {
  BalancerState& state = this->balancer_states[balancer];
  state.settings = std::make_unique<Settings>(this->SettingsOf(balancer));
  state.node = std::make_unique<TestTokenPlane>(*state.settings);
  Output out;
  // The result is not needed: a refusal is logged as a decision.
  static_cast<void>(state.node->OfferDocument(
      this->now, DocumentKind::kConfig, this->config_text, this->random, out));
  static_cast<void>(state.node->OfferDocument(
      this->now, DocumentKind::kVmList, this->vms_text, this->random, out));
  this->SendOutput(BalancerEndpoint(balancer, Channel::kFabric), out);
}

std::string FakeFleet::ConfigText(uint64_t version,
                                  const std::string& extra) const {
  return "[document]\nversion = " + std::to_string(version) +
         "\n[service desk]\naddresses = " + ToString(kDeskServiceEndpoint) +
         "\ndata_centres = a\n" +
         "[service notes]\naddresses = " + ToString(kNotesServiceEndpoint) +
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
  for (const auto& [balancer, state] : this->balancer_states) {
    if (state.node != nullptr && !state.paused)
      static_cast<void>(this->OfferConfig(balancer, this->config_text));
  }
}

Result<void> FakeFleet::OfferConfig(int balancer, const std::string& text) {
  Output out;
  Result<void> accepted = this->TokenPlaneOf(balancer).OfferDocument(
      this->now, DocumentKind::kConfig, text, this->random, out);
  this->SendOutput(BalancerEndpoint(balancer, Channel::kFabric), out);
  return accepted;
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
            ToString(BalancerEndpoint(balancer, Channel::kFabric)) +
            "\npeer_address = " +
            ToString(BalancerEndpoint(balancer, Channel::kPeer)) + "\n");
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
  for (const auto& [balancer, state] : this->balancer_states) {
    if (state.node != nullptr && !state.paused)
      this->OfferVms(balancer, version, leaving);
  }
}

void FakeFleet::OfferVms(int balancer,
                         uint64_t version,
                         const std::set<uint32_t>& leaving) {
  Output out;
  // The result is not needed: a refusal is logged as a decision.
  static_cast<void>(this->TokenPlaneOf(balancer).OfferDocument(
      this->now, DocumentKind::kVmList, this->VmsText(version, leaving),
      this->random, out));
  this->SendOutput(BalancerEndpoint(balancer, Channel::kFabric), out);
}

void FakeFleet::KillBalancer(int balancer) {
  this->balancer_states.at(balancer).node = nullptr;
}

void FakeFleet::RestartBalancer(int balancer) {
  ++this->balancer_states.at(balancer).incarnation;
  this->StartBalancer(balancer);
}

void FakeFleet::BeginBalancerStop(int balancer) {
  Output out;
  this->TokenPlaneOf(balancer).BeginStop(this->now, out);
  this->SendOutput(BalancerEndpoint(balancer, Channel::kFabric), out);
}

void FakeFleet::EndBalancerStop(int balancer) {
  Output out;
  this->TokenPlaneOf(balancer).EndStop(this->now, out);
  this->SendOutput(BalancerEndpoint(balancer, Channel::kFabric), out);
  this->KillBalancer(balancer);
}

void FakeFleet::PauseBalancer(int balancer) {
  this->balancer_states.at(balancer).paused = true;
}

void FakeFleet::ResumeBalancer(int balancer) {
  BalancerState& state = this->balancer_states.at(balancer);
  state.paused = false;
  const auto queued_datagrams = std::exchange(state.queued_datagrams, {});
  for (const auto& [from, rest] : queued_datagrams)
    this->DeliverToBalancer(balancer, {from, rest.first, rest.second});
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
  this->cut_links.insert({first_vm, second_vm});
  this->cut_links.insert({second_vm, first_vm});
}

void FakeFleet::HealAllLinks() {
  this->cut_links.clear();
}

void FakeFleet::SprayOver(const std::vector<int>& balancers) {
  this->spray_targets = balancers;
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
  const Endpoint address =
      service == "desk" ? kDeskServiceEndpoint : kNotesServiceEndpoint;
  const FlowHandle flow = this->caller.OpenFlow(
      this->now, address, this->now + Seconds(30), this->caller_out);
  this->SendCallerOutput();
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
  this->SendCallerOutput();
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
  return {"t" + std::to_string(++this->last_tag), "desk", parts, busy};
}

int FakeFleet::StartCount(const std::string& tag) const {
  const auto count = this->run_starts.find(tag);
  return count == this->run_starts.end() ? 0 : count->second;
}

TimePoint FakeFleet::LastAcceptedAt(int backend) const {
  const auto accepted = this->last_accepted_at.find(backend);
  return accepted == this->last_accepted_at.end() ? TimePoint{}
                                                  : accepted->second;
}

int FakeFleet::OwnerOf(FlowHandle flow) {
  return static_cast<int>(this->TokenOf(flow).owner.vm.value);
}

int FakeFleet::WitnessOf(FlowHandle flow) {
  return static_cast<int>(this->TokenOf(flow).witness.vm.value);
}

FlowToken FakeFleet::TokenOf(FlowHandle flow) {
  const auto view =
      this->TokenPlaneOf(this->spray_targets.front()).ReadBlackboard();
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
  this->now += kTimeStep;
  while (!this->in_flight.empty() &&
         this->in_flight.begin()->first <= this->now) {
    const InFlightDatagram datagram =
        std::move(this->in_flight.begin()->second);
    this->in_flight.erase(this->in_flight.begin());
    this->Deliver(datagram);
  }
  while (!this->fetch_ends.empty() &&
         this->fetch_ends.begin()->first <= this->now) {
    const FetchEnd end = std::move(this->fetch_ends.begin()->second);
    this->fetch_ends.erase(this->fetch_ends.begin());
    this->EndFetch(end);
  }
  for (auto& [number, backend] : this->backends) {
    Output out;
    backend->Tick(this->now, out);
    this->SendOutput(BackendEndpoint(number), out);
    for (const BackendEvent& event : backend->TakeEvents()) {
      if (event.kind == BackendEvent::Kind::kStarted)
        ++this->run_starts[event.tag];
      if (event.kind == BackendEvent::Kind::kAccepted)
        this->last_accepted_at[number] = event.at;
      this->backend_events.emplace_back(number, event);
    }
  }
  if (this->now.time_since_epoch() % kBalancerTickInterval == Microseconds(0)) {
    for (auto& [balancer, state] : this->balancer_states) {
      if (state.node == nullptr || state.paused)
        continue;
      Output out;
      state.node->Tick(this->now, this->random, out);
      this->SendOutput(BalancerEndpoint(balancer, Channel::kFabric), out);
    }
  }
  this->caller.Tick(this->now, this->caller_out);
  this->SendCallerOutput();
}

void FakeFleet::SendDatagram(const Endpoint& from,
                             const Endpoint& to,
                             std::string bytes) {
  if (this->cut_links.contains({VmOf(from), VmOf(to)}) ||
      (this->should_drop && this->should_drop(from, to, bytes)))
    return;
  std::uniform_real_distribution<double> share;
  if (share(this->random) < this->options.loss)
    return;
  const int copies = share(this->random) < this->options.duplicate ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const Microseconds jitter(static_cast<int64_t>(DrawIndex(
        this->random, static_cast<size_t>(this->options.jitter.count()) + 1)));
    this->in_flight.emplace(this->now + this->options.delay + jitter,
                            InFlightDatagram{from, to, bytes});
  }
}

void FakeFleet::Deliver(const InFlightDatagram& datagram) {
  if (datagram.to == kCallerEndpoint) {
    this->caller.OnPacket(this->now, datagram.bytes, this->caller_out);
    this->SendCallerOutput();
    return;
  }
  if ((datagram.to.ip & kSubnetMask) == kBackendSubnet) {
    Output out;
    const int number = static_cast<int>(datagram.to.ip - kBackendSubnet);
    const auto backend = this->backends.find(number);
    if (backend == this->backends.end())
      return;
    backend->second->OnPacket(this->now, datagram.from, datagram.bytes, out);
    this->SendOutput(datagram.to, out);
    return;
  }
  this->DeliverToBalancer(static_cast<int>(datagram.to.ip - kBalancerSubnet),
                          datagram);
}

void FakeFleet::DeliverToBalancer(int balancer,
                                  const InFlightDatagram& datagram) {
  BalancerState& state = this->balancer_states.at(balancer);
  if (state.node == nullptr)
    return;
  if (state.paused) {
    state.queued_datagrams.push_back(
        {datagram.from, {datagram.to, datagram.bytes}});
    return;
  }
  Output out;
  switch (static_cast<Channel>(datagram.to.port - 1)) {
    case Channel::kFabric:
      state.node->OnFabric(this->now, kFabricEndpoint, datagram.bytes,
                           this->random, out);
      break;
    case Channel::kBackend:
      state.node->OnBackend(this->now, datagram.bytes, this->random, out);
      break;
    case Channel::kPeer:
      state.node->OnPeer(this->now, datagram.from, datagram.bytes, this->random,
                         out);
      break;
  }
  this->SendOutput(BalancerEndpoint(balancer, Channel::kFabric), out);
}

void FakeFleet::SendOutput(const Endpoint& base, Output& out) {
  for (Datagram& datagram : out.datagrams) {
    if (datagram.channel == Channel::kFabric) {
      const Result<DatagramHeader> header = DecodeHeader(datagram.bytes);
      const Result<FabricPacket> packet =
          Decode<FabricPacket>(datagram.bytes, header.value());
      this->SendDatagram(base, packet.value().caller,
                         std::string(AsStringView(packet.value().packet)));
      continue;
    }
    Endpoint from = base;
    if ((base.ip & kSubnetMask) == kBalancerSubnet)
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
    this->SendDatagram(from, datagram.to, std::move(datagram.bytes));
  }
  this->decisions.insert(this->decisions.end(), out.decisions.begin(),
                         out.decisions.end());
  for (const PeerFetch& fetch : out.fetches)
    this->RunFetch(base, fetch);
  out.Clear();
}

void FakeFleet::RunFetch(const Endpoint& base, const PeerFetch& fetch) {
  const int balancer = static_cast<int>(base.ip - kBalancerSubnet);
  const uint64_t incarnation = this->balancer_states.at(balancer).incarnation;
  const auto asked = this->balancer_states.find(
      static_cast<int>(fetch.peer.ip - kBalancerSubnet));
  const bool reachable =
      asked != this->balancer_states.end() && asked->second.node != nullptr &&
      !asked->second.paused &&
      !this->cut_links.contains({VmOf(base), VmOf(fetch.peer)});
  FetchEnd end{balancer, incarnation, fetch.kind, "", ""};
  if (reachable) {
    if (const auto answer =
            asked->second.node->Control().AnswerFetch(fetch.request)) {
      end.header = answer->header;
      end.content = *answer->content;
    }
    this->peer_bytes +=
        fetch.request.size() + end.header.size() + end.content.size();
  }
  const Microseconds round_trip =
      2 * (this->options.delay + this->options.jitter);
  this->fetch_ends.emplace(
      this->now + (reachable ? round_trip : Microseconds(kFetchTimeout)),
      std::move(end));
}

void FakeFleet::EndFetch(const FetchEnd& end) {
  BalancerState& state = this->balancer_states.at(end.balancer);
  if (state.node == nullptr || state.incarnation != end.incarnation)
    return;
  if (state.paused) {
    this->fetch_ends.emplace(this->now + kTimeStep, end);
    return;
  }
  Output out;
  state.node->Control().OnFetchEnded(this->now, end.kind, end.header,
                                     end.content, this->random, out);
  this->SendOutput(BalancerEndpoint(end.balancer, Channel::kFabric), out);
}

void FakeFleet::SendCallerOutput() {
  for (const CallerDatagram& datagram : this->caller_out.datagrams) {
    ++this->sent_caller_packets;
    const int balancer = this->spray_targets[DrawIndex(
        this->random, this->spray_targets.size())];
    this->SendDatagram(kCallerEndpoint,
                       BalancerEndpoint(balancer, Channel::kFabric),
                       Encode(FabricPacket{kCallerEndpoint, datagram.service,
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
  if ((endpoint.ip & kSubnetMask) == kBalancerSubnet)
    return endpoint.ip - kBalancerSubnet;
  if ((endpoint.ip & kSubnetMask) == kBackendSubnet)
    return kFirstBackendVm + endpoint.ip - kBackendSubnet;
  return 0;
}

}  // namespace cuminvane
