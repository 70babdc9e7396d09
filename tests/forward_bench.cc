/** @file forward_bench.cc Packets a second of the packet plane's decisions and
 * sending, against a plain forwarder that only sends on; loopback, one thread.
 */

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

constexpr Endpoint kAnyPort{0x7f000001, 0};
constexpr int kFlows = 20000;
constexpr int kPackets = 1000000;
constexpr size_t kBurst = 64;

double ProcessorSeconds() {
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(use.ru_utime) + seconds(use.ru_stime);
}

struct Bench {
  Bench()
      : sender(OpenUdp(context, kAnyPort).value()),
        receiver(OpenUdp(context, kAnyPort).value()),
        sink(OpenUdp(context, kAnyPort).value()),
        lane(platform::kTargetPrefixBytes, platform::kMaxPacketBytes) {
    this->settings.id = VmId{1};
    this->settings.incarnation = Incarnation{1};
    this->settings.data_centre = "a";
    this->settings.packets = *ParseEndpoint("127.0.0.1:1");
    this->settings.flows.opening_depth_limit = 0;
    this->settings.flows.retransmission_depth_limit = 0;
    this->balancer = std::make_unique<Balancer<std::mutex>>(this->settings);
    this->Offer(DocumentKind::kConfig,
                "[document]\nversion = 1\n[service s]\n[class c]\nservice = "
                "s\naddresses = 198.18.0.1:443\nidempotent = yes\nrank = "
                "1\nanswered_within_ms = 1000\n");
    std::string list = "[list]\nversion = 1\n";
    for (int vm = 1; vm <= 150; ++vm)
      list += "[vm " + std::to_string(vm) +
              "]\nincarnation = 1\nrole = backend\nservice = s\ndata_centre = "
              "a\naddress = " +
              ToString(FromAsio(this->sink.local_endpoint())) + "\n";
    this->Offer(DocumentKind::kVmList, list);
    for (int flow = 0; flow < kFlows; ++flow) {
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

  void Offer(DocumentKind kind, const std::string& text) {
    PacketOutput out;
    static_cast<void>(this->balancer->OfferDocument(ReadClock(), kind, text,
                                                    this->random, out));
  }

  /** @return Processor time of a packet, in microseconds. */
  double Run(bool decides) {
    const Endpoint to = FromAsio(this->receiver.local_endpoint());
    const Endpoint onward = FromAsio(this->sink.local_endpoint());
    double spent = 0;
    int handled = 0;
    PacketOutput out;
    for (size_t next = 0; handled < kPackets;) {
      for (size_t sent = 0; sent < kBurst; ++sent)
        SendTo(this->sender, to, this->packets[next++ % this->packets.size()]);
      const double before = ProcessorSeconds();
      while (const size_t count =
                 this->lane.ReadBatch(this->receiver.native_handle())) {
        const TimePoint now = ReadClock();
        for (size_t index = 0; index < count; ++index)
          this->Handle(index, decides, now, onward, out);
        this->lane.SendQueued(this->receiver.native_handle());
        out.Clear();
        handled += static_cast<int>(count);
      }
      spent += ProcessorSeconds() - before;
      Endpoint from;
      while (Receive(this->sink, this->buffer, from)) {
      }
    }
    return spent / handled * 1e6;
  }

  void Handle(size_t index,
              bool decides,
              TimePoint now,
              const Endpoint& onward,
              PacketOutput& out) {
    const std::span<std::byte> datagram = this->lane.Datagram(index);
    if (!decides) {
      this->lane.QueueDatagram(index, onward);
      return;
    }
    const Result<OpaquePacket> packet =
        platform::ParsePacket(datagram.subspan(platform::kTargetPrefixBytes));
    const PacketAction action = this->balancer->Packets().OnPacket(
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
  cuminvane::Bench bench;
  bench.Run(true);  // Learns the flows.
  const double plain = bench.Run(false);
  const double decided = bench.Run(true);
  std::cout << "figure=forward_plain value=" << plain << " unit=us/packet\n"
            << "figure=forward_decided value=" << decided << " unit=us/packet\n"
            << "figure=forward_rate value=" << plain / decided * 100
            << " unit=percent_of_plain bound=70 held="
            << (plain / decided >= 0.7 ? "yes" : "no") << "\n";
}
