/** @file worker_base.cc Implementation of a worker thread. */

#include "shell/worker_base.h"

#include "decision/decision_func.h"
#include "platform/packet_func.h"
#include "shell/checker_base.h"
#include "shell/clock_func.h"
#include "shell/fetch_client_base.h"
#include "shell/guard_func.h"
#include "shell/log_func.h"

namespace cuminvane {
namespace {

/** Maximum datagrams read from a socket before other sockets are served. */
constexpr int kMaxDatagramsPerTurn = 64;
/** Maximum batches of packets read before other sockets are served. */
constexpr int kMaxBatchesPerTurn = 4;

/** @return The listen address of each lane, in the order of the lanes. */
std::array<Endpoint, kChannelCount> ListenAddresses(const Settings& settings) {
  return {settings.fabric, settings.backend, settings.peer};
}

}  // namespace

Worker::Worker(DaemonBalancer& balancer, uint64_t seed)
    : balancer(balancer),
      context(1),
      sockets{UdpSocket(context), UdpSocket(context), UdpSocket(context)},
      packet_socket(context),
      packet_lane(platform::kTargetPrefixBytes, platform::kMaxPacketBytes),
      last_packet_at(TimePoint{}),
      random(seed) {}

Result<void> Worker::OpenSockets(const Settings& settings,
                                 Worker* socket_owner) {
  const auto open = [&](const Endpoint& address, UdpSocket& socket,
                        UdpSocket* shared) -> Result<void> {
    if (address == Endpoint{})
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    BOOST_OUTCOME_TRY(opened, shared == nullptr
                                  ? OpenUdp(this->context, address)
                                  : ShareUdp(this->context, *shared));
    socket = std::move(opened);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  };
  const std::array<Endpoint, kChannelCount> addresses =
      ListenAddresses(settings);
  for (size_t channel = 0; channel < kChannelCount; ++channel) {
    BOOST_OUTCOME_TRY(open(
        addresses[channel], this->sockets[channel],
        socket_owner == nullptr ? nullptr : &socket_owner->sockets[channel]));
  }
  this->packet_address = settings.packets;
  return open(settings.packets, this->packet_socket,
              socket_owner == nullptr ? nullptr : &socket_owner->packet_socket);
}

void Worker::StartReading() {
  for (const Channel channel :
       {Channel::kFabric, Channel::kBackend, Channel::kPeer}) {
    if (this->SocketOf(channel).is_open())
      this->WaitForDatagrams(channel);
  }
}

void Worker::StartPackets() {
  if (this->reads_packets || !this->packet_socket.is_open())
    return;
  this->reads_packets = true;
  this->WaitForPackets();
}

void Worker::ApplyOutput(TimePoint now, PacketOutput& output) {
  // Packets are sent first, so that logging doesn't delay them.
  for (const FlowReset& reset : output.resets)
    this->SendReset(reset);
  this->metrics.CountUnsentPackets(
      this->packet_lane.SendQueued(this->packet_socket.native_handle()));
  for (const Datagram& datagram : output.common.datagrams) {
    if (!SendTo(this->SocketOf(datagram.channel), datagram.to, datagram.bytes))
      this->metrics.CountUnsent(datagram.channel);
  }
  for (const Decision& decision : output.common.decisions)
    LogDecision(now, decision);
  this->metrics.CountOutput(output.common);
  for (const HealthCheck& check : output.checks) {
    StartHealthCheck(
        this->context, check, now,
        [self = this->shared_from_this()](VmId vm, HealthCheckResult result) {
          RunGuarded("health_check", [&] {
            const TimePoint checked_at = ReadClock();
            PacketOutput output;
            self->balancer.OnHealthCheckResult(checked_at, vm, result,
                                               self->random, output);
            self->ApplyOutput(checked_at, output);
          });
        });
  }
  for (const PeerFetch& fetch : output.common.fetches) {
    StartFetch(this->context, fetch,
               [self = this->shared_from_this(), kind = fetch.kind](
                   const std::string& header, const std::string& content) {
                 RunGuarded("fetch", [&] {
                   const TimePoint fetched_at = ReadClock();
                   PacketOutput output;
                   self->balancer.OnFetchEnded(fetched_at, kind, header,
                                               content, self->random, output);
                   self->ApplyOutput(fetched_at, output);
                 });
               });
  }
  output.Clear();
}

void Worker::Run() {
  // An exception ends only the handler that threw it; run() then goes on with
  // the next one.
  while (!RunGuarded("event_loop", [&] { this->context.run(); })) {
  }
}

void Worker::CloseSockets() {
  asio::post(this->context, [self = this->shared_from_this()] {
    asio::error_code ignored;
    for (UdpSocket& socket : self->sockets)
      socket.close(ignored);
    self->packet_socket.close(ignored);
  });
}

void Worker::WaitForDatagrams(Channel channel) {
  this->SocketOf(channel).async_wait(
      UdpSocket::wait_read, [self = this->shared_from_this(),
                             channel](const asio::error_code& failure) {
        if (failure)
          return;
        RunGuarded("datagrams", [&] { self->ReadDatagrams(channel); });
        self->WaitForDatagrams(channel);
      });
}

void Worker::ReadDatagrams(Channel channel) {
  Endpoint from;
  // An earlier call may have ended with an exception.
  this->out.Clear();
  for (int read = 0; read < kMaxDatagramsPerTurn; ++read) {
    const std::optional<std::string_view> bytes =
        Receive(this->SocketOf(channel), this->buffer, from);
    if (!bytes)
      return;
    this->metrics.CountReceived(channel, bytes->size());
    const TimePoint now = ReadClock();
    switch (channel) {
      case Channel::kFabric:
        this->balancer.GetTokenPlane().OnFabric(now, from, *bytes, this->random,
                                                this->out.common);
        break;
      case Channel::kBackend:
        this->balancer.GetTokenPlane().OnBackend(now, *bytes, this->random,
                                                 this->out.common);
        break;
      case Channel::kPeer:
        this->balancer.OnPeer(now, from, *bytes, this->random, this->out);
        break;
    }
    this->ApplyOutput(now, this->out);
  }
}

void Worker::WaitForPackets() {
  this->packet_socket.async_wait(
      UdpSocket::wait_read,
      [self = this->shared_from_this()](const asio::error_code& failure) {
        if (failure)
          return;
        RunGuarded("packets", [&] { self->ReadPackets(); });
        self->WaitForPackets();
      });
}

void Worker::ReadPackets() {
  this->out.Clear();
  const int socket = this->packet_socket.native_handle();
  for (int batch = 0; batch < kMaxBatchesPerTurn; ++batch) {
    const size_t count = this->packet_lane.ReadBatch(socket);
    if (count == 0)
      return;
    const TimePoint now = ReadClock();
    this->last_packet_at = now;
    for (size_t index = 0; index < count; ++index)
      this->HandlePacket(index, now);
    this->ApplyOutput(now, this->out);
    if (count < kMaxBatchDatagrams)
      return;
  }
}

void Worker::HandlePacket(size_t index, TimePoint now) {
  const std::span<std::byte> datagram = this->packet_lane.Datagram(index);
  const Result<OpaquePacket> packet =
      platform::ParsePacket(datagram.subspan(platform::kTargetPrefixBytes));
  if (!packet) {
    ReportDrop(packet.error().code, "packets", this->out.common);
    return;
  }
  const PacketAction action = this->balancer.GetPacketPlane().OnPacket(
      now, packet.value(), this->random, this->out);
  if (action.type == PacketActionType::kReset)
    this->SendReset({packet.value().key,
                     packet.value().opens
                         ? 0
                         : packet.value().acknowledged_or_retransmission});
  if (action.type != PacketActionType::kForward)
    return;
  platform::WritePacketTarget(datagram, action);
  this->packet_lane.QueueDatagram(index, action.to);
}

void Worker::SendReset(const FlowReset& reset) {
  this->packet_lane.QueueCopy(
      platform::WriteReset(reset),
      platform::CallerAddress(reset.key, this->packet_address));
}

}  // namespace cuminvane
