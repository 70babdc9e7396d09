/** @file forward_bench.cc Measures the processor time per packet of the packet
 * plane and of a plain forwarder that sends every packet to one address; over
 * loopback, in one thread. */

#include <sys/resource.h>

#include <iostream>
#include <vector>

#include "balancer/balancer_base.h"
#include "platform/packet_func.h"
#include "shell/clock_func.h"
#include "shell/packet_lane_base.h"
#include "shell/socket_base.h"
#include "standin/flow_codec_func.h"

namespace cuminvane {
namespace {

constexpr Endpoint kLoopbackAnyPort{0x7f000001, 0};
constexpr int kFlowCount = 20000;
constexpr int kPacketCount = 1000000;
constexpr size_t kPacketsPerBurst = 64;

/** @return User and system time that the process has used. */
double ProcessorSeconds() {
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(use.ru_utime) + seconds(use.ru_stime);
}

/** A balancer with 150 backend servers, and packets of its flows. All sockets
 * are in this process; one sink stands for all backend servers. */
struct ForwardBench {
  ForwardBench()
      : sender(OpenUdp(context, kLoopbackAnyPort).value()),
        receiver(OpenUdp(context, kLoopbackAnyPort).value()),
        sink(OpenUdp(context, kLoopbackAnyPort).value()),
        lane(platform::kTargetPrefixBytes, platform::kMaxPacketBytes) {
    this->settings.id = VmId{1};
    this->settings.incarnation = Incarnation{1};
    this->settings.data_centre = "a";
    this->settings.packets = *ParseEndpoint("127.0.0.1:1");
    this->settings.flows.opening_depth_limit = 0;
    this->settings.flows.retransmission_depth_limit = 0;
    this->balancer = std::make_unique<Balancer<std::mutex>>(this->settings);
    this->OfferDocument(
        DocumentKind::kConfig,
        "[document]\nversion = 1\n[service s]\n[class c]\nservice = "
        "s\naddresses = 198.18.0.1:443\nidempotent = yes\nrank = "
        "1\nanswered_within_ms = 1000\n");
    std::string list = "[list]\nversion = 1\n";
    for (int vm = 1; vm <= 150; ++vm)
      list += "[vm " + std::to_string(vm) +
              "]\nincarnation = 1\nrole = backend\nservice = s\ndata_centre = "
              "a\naddress = " +
              ToString(FromAsio(this->sink.local_endpoint())) + "\n";
    this->OfferDocument(DocumentKind::kVmList, list);
    for (int flow = 0; flow < kFlowCount; ++flow) {
      emulate::ModelPacket packet;
      packet.key = {{0x7f400000 + static_cast<uint32_t>(flow / 50000),
                     static_cast<uint16_t>(1024 + flow)},
                    *ParseEndpoint("198.18.0.1:443")};
      packet.tag = TagOf(VmId{1 + static_cast<uint64_t>(flow) % 150});
      packet.sequence = 1;
      packet.payload = std::string(200, 'x');
      this->packets.push_back(EncodeFlowPacket(packet));
    }
  }

  /** Offers a configuration or a list of VMs to the balancer. */
  void OfferDocument(DocumentKind kind, const std::string& text) {
    PacketOutput out;
    static_cast<void>(this->balancer->OfferDocument(ReadClock(), kind, text,
                                                    this->random, out));
  }

  /**
   * Forwards kPacketCount packets.
   * @param use_balancer Whether the balancer chooses the target; otherwise
   * all packets go to the sink without a decision.
   * @return Processor time per packet, in microseconds.
   */
  double MeasureMicrosPerPacket(bool use_balancer) {
    const Endpoint to = FromAsio(this->receiver.local_endpoint());
    const Endpoint plain_target = FromAsio(this->sink.local_endpoint());
    double processor_s = 0;
    int handled = 0;
    PacketOutput out;
    for (size_t next = 0; handled < kPacketCount;) {
      for (size_t sent = 0; sent < kPacketsPerBurst; ++sent)
        SendTo(this->sender, to, this->packets[next++ % this->packets.size()]);
      const double before = ProcessorSeconds();
      while (const size_t count =
                 this->lane.ReadBatch(this->receiver.native_handle())) {
        const TimePoint now = ReadClock();
        for (size_t index = 0; index < count; ++index)
          this->ForwardPacket(index, use_balancer, now, plain_target, out);
        this->lane.SendQueued(this->receiver.native_handle());
        out.Clear();
        handled += static_cast<int>(count);
      }
      processor_s += ProcessorSeconds() - before;
      Endpoint from;
      while (Receive(this->sink, this->buffer, from)) {
      }
    }
    return processor_s / handled * 1e6;
  }

  /** Queues one packet of the batch that was read. */
  void ForwardPacket(size_t index,
                     bool use_balancer,
                     TimePoint now,
                     const Endpoint& plain_target,
                     PacketOutput& out) {
    const std::span<std::byte> datagram = this->lane.Datagram(index);
    if (!use_balancer) {
      this->lane.QueueDatagram(index, plain_target);
      return;
    }
    const Result<OpaquePacket> packet =
        platform::ParsePacket(datagram.subspan(platform::kTargetPrefixBytes));
    const PacketAction action = this->balancer->GetPacketPlane().OnPacket(
        now, packet.value(), this->random, out);
    if (action.type != PacketActionType::kForward)
      return;
    platform::WritePacketTarget(datagram, action);
    this->lane.QueueDatagram(index, action.to);
  }

  asio::io_context context;
  UdpSocket sender;
  UdpSocket receiver;
  UdpSocket sink;
  PacketLane lane;
  Settings settings;
  std::unique_ptr<Balancer<std::mutex>> balancer;
  RandomEngine random{1};
  std::vector<std::string> packets;
  ReceiveBuffer buffer{};
};

}  // namespace
}  // namespace cuminvane

int main() {
  cuminvane::ForwardBench bench;
  bench.MeasureMicrosPerPacket(true);  // Places the flows, so that only packets
                                       // of known flows are timed.
  const double plain_us = bench.MeasureMicrosPerPacket(false);
  const double balancer_us = bench.MeasureMicrosPerPacket(true);
  std::cout << "figure=forward_plain value=" << plain_us << " unit=us/packet\n"
            << "figure=forward_decided value=" << balancer_us
            << " unit=us/packet\n"
            << "figure=forward_rate value=" << plain_us / balancer_us * 100
            << " unit=percent_of_plain bound=70 held="
            << (plain_us / balancer_us >= 0.7 ? "yes" : "no") << "\n";
}
