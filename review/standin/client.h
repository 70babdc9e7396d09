/** @file client.h Stand-in for clients with a flow for each request, and for
 * the platform's routers, which pass each flow to one balancer: PROTOCOL.md,
 * "Ingress" and "Flows". */

#ifndef REVIEW_STANDIN_CLIENT_H_
#define REVIEW_STANDIN_CLIENT_H_

#include <deque>
#include <map>
#include <vector>

#include "packet.h"

namespace review {

/** One request, in a flow of its own. */
struct Request {
  std::string id;
  Address route;
  Address balancer;     ///< Where the router sends its packets.
  int64_t sent_at = 0;  ///< When the opening packet was sent.
  std::string how;      ///< "answered", "reset", "not opened", "no answer".
  int64_t ended_at = 0;
};

class Client {
 public:
  /** @param address Its address, with the port of `datagram_addr`. */
  explicit Client(const Address& address) : address(address) {
    this->udp = Bind(address, SOCK_DGRAM);
    std::thread([this] { this->Receive(); }).detach();
    std::thread([this] { this->Tick(); }).detach();
  }

  /** Starts a request. @return Its id. */
  std::string Send(const Address& route, const Address& balancer) {
    const std::lock_guard lock(this->mutex);
    const uint16_t port = this->next_port++;
    Flow& flow = this->flows[port];
    flow.request.id = "r-" + std::to_string(this->address.ip & 255) + "-" +
                      std::to_string(port);
    flow.request.route = route;
    flow.request.balancer = balancer;
    flow.request.sent_at = NowMs();
    flow.seq = 0x1000000U + static_cast<uint32_t>(port) * 977;
    this->SendOpening(port, flow);
    return flow.request.id;
  }

  /** @return All requests that have ended. */
  std::vector<Request> Ended() {
    const std::lock_guard lock(this->mutex);
    return this->ended;
  }

  static constexpr int64_t kDeadlineMs = 2500;

 private:
  struct Flow {
    Request request;
    uint32_t seq = 0;
    uint32_t ack = 0;
    uint32_t echo = 0;
    uint32_t copies = 0;  ///< Copies of the opening packet.
    bool open = false;
    int64_t next_send_at = 0;
    int64_t wait_ms = 200;
  };

  std::string RequestText(const Flow& flow) const {
    return "GET /item HTTP/1.1\r\nHost: " + IpText(flow.request.route.ip) +
           "\r\nX-Request-Id: " + flow.request.id +
           "\r\nConnection: close\r\n\r\n";
  }

  void SendPacket(uint16_t port,
                  const Flow& flow,
                  uint8_t flags,
                  uint32_t seq,
                  uint32_t ack,
                  const std::string& data) {
    Packet packet;
    packet.from = {this->address.ip, port};
    packet.to = flow.request.route;
    packet.flags = flags;
    packet.echo = flow.echo;
    packet.seq = seq;
    packet.ack = ack;
    packet.data = data;
    const std::string bytes = Encode(packet);
    const sockaddr_in to = flow.request.balancer.Sockaddr();
    sendto(this->udp, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }

  void SendOpening(uint16_t port, Flow& flow) {
    this->SendPacket(port, flow, kSyn, flow.seq, flow.copies, "");
    static constexpr int64_t kCopyAt[] = {200, 600, 1400};
    flow.next_send_at =
        flow.request.sent_at + kCopyAt[std::min<uint32_t>(flow.copies, 2)];
    ++flow.copies;
  }

  void End(std::map<uint16_t, Flow>::iterator flow, const std::string& how) {
    flow->second.request.how = how;
    flow->second.request.ended_at = NowMs();
    this->ended.push_back(flow->second.request);
    this->flows.erase(flow);
  }

  void Receive() {
    for (;;) {
      char buffer[2048];
      const ssize_t count = recv(this->udp, buffer, sizeof(buffer), 0);
      if (count <= 0)
        continue;
      const std::optional<Packet> packet =
          Decode(std::string(buffer, static_cast<size_t>(count)));
      if (!packet)
        continue;
      const std::lock_guard lock(this->mutex);
      const auto found = this->flows.find(packet->to.port);
      if (found == this->flows.end() ||
          found->second.request.route != packet->from)
        continue;
      Flow& flow = found->second;
      if ((packet->flags & kRst) != 0) {
        this->End(found, "reset");
        continue;
      }
      if (packet->echo != 0)
        flow.echo = packet->echo;
      if ((packet->flags & kSyn) != 0 && !flow.open) {
        flow.open = true;
        flow.ack = packet->seq + 1;
        this->SendPacket(found->first, flow, kAck, flow.seq + 1, flow.ack,
                         this->RequestText(flow));
        flow.next_send_at = NowMs() + flow.wait_ms;
      } else if (!packet->data.empty() && flow.open) {
        this->SendPacket(
            found->first, flow, kAck | kFin,
            flow.seq + 1 + static_cast<uint32_t>(RequestText(flow).size()),
            packet->seq + static_cast<uint32_t>(packet->data.size()) + 1, "");
        const bool own =
            packet->data.find("done " + flow.request.id) != std::string::npos;
        this->End(found, own ? "answered" : "answered wrongly");
      }
    }
  }

  void Tick() {
    for (;;) {
      SleepMs(5);
      const std::lock_guard lock(this->mutex);
      const int64_t now = NowMs();
      for (auto flow = this->flows.begin(); flow != this->flows.end();) {
        const auto current = flow++;
        Flow& state = current->second;
        if (now < state.next_send_at)
          continue;
        if (!state.open && state.copies >= 3) {
          this->End(current, "not opened");
        } else if (!state.open) {
          this->SendOpening(current->first, state);
        } else if (now >= state.request.sent_at + kDeadlineMs) {
          this->End(current, "no answer");
        } else {
          this->SendPacket(current->first, state, kAck, state.seq + 1,
                           state.ack, this->RequestText(state));
          state.wait_ms = std::min<int64_t>(state.wait_ms * 2, 1600);
          state.next_send_at = now + state.wait_ms;
        }
      }
    }
  }

  const Address address;
  int udp = -1;
  std::mutex mutex;
  uint16_t next_port = 20000;
  std::map<uint16_t, Flow> flows;
  std::vector<Request> ended;
};

}  // namespace review

#endif  // REVIEW_STANDIN_CLIENT_H_
