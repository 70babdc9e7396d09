/** @file room.h Stand-in for a room of clients behind one address, which has a
 * block of ports, and for the routers of its zone. */

#ifndef REVIEW_STANDIN_ROOM_H_
#define REVIEW_STANDIN_ROOM_H_

#include <map>
#include <set>

#include "fleet.h"

namespace review {

/** The platform's routers: PROTOCOL.md, "Ingress", with `hash` = `mod`. */
class Router {
 public:
  explicit Router(Fleet& fleet) : fleet(fleet) {
    for (size_t index = 0; index < fleet.machines.size(); ++index)
      this->misses.push_back(0);
    std::thread([this] {
      for (int64_t next = NowMs(); !this->stop; next += 500) {
        SleepUntil(next);
        this->Probe();
      }
    }).detach();
  }
  void Stop() { this->stop = true; }

  /** @return Where a packet of the flow goes now. */
  Address Choose(const Address& client, const Address& route) {
    uint64_t hash = 1469598103934665603ULL;
    for (const uint64_t part : {uint64_t{client.ip}, uint64_t{client.port},
                                uint64_t{route.ip}, uint64_t{route.port}}) {
      hash = (hash ^ part) * 1099511628211ULL;
      hash ^= hash >> 31;
    }
    const std::lock_guard lock(this->mutex);
    std::vector<Address> in_rotation;
    std::vector<Address> all;
    for (size_t index = 0; index < this->misses.size(); ++index) {
      const Address address = this->fleet.Datagram(fleet.machines[index]);
      all.push_back(address);
      if (this->misses[index] < 2)
        in_rotation.push_back(address);
    }
    // "If fewer than half of a zone's daemons are in rotation, the platform
    // uses all of that zone's daemons."
    const std::vector<Address>& used =
        in_rotation.size() * 2 < all.size() ? all : in_rotation;
    return used[hash % used.size()];
  }

 private:
  void Probe() {
    std::vector<std::thread> probes;
    for (size_t index = 0; index < this->misses.size(); ++index)
      probes.emplace_back([this, index] {
        const bool is_ready = this->fleet.IsReady(this->fleet.machines[index]);
        const std::lock_guard lock(this->mutex);
        const bool was_in = this->misses[index] < 2;
        this->misses[index] = is_ready ? 0 : this->misses[index] + 1;
        if (was_in != (this->misses[index] < 2))
          Record::Line("balancer " + IpText(this->fleet.machines[index].ip) +
                       (was_in ? " is out of rotation" : " is in rotation"));
      });
    for (std::thread& probe : probes)
      probe.join();
  }

  Fleet& fleet;
  std::mutex mutex;
  std::vector<int> misses;
  std::atomic<bool> stop{false};
};

/** Clients behind one address. A port is used again when its flow has closed
 * in both directions and all other ports of the block have had their turn. */
class Room {
 public:
  /** What became of flows. */
  struct Counts {
    int opened = 0;
    int closed = 0;  ///< By both ends.
    int not_opened = 0;
    int given_up = 0;  ///< No answer before the deadline.
    int reset_by_balancer = 0;
    int reset_by_own_endpoint = 0;
    int reset_by_other = 0;  ///< Open flows reset by another endpoint.
    int answers = 0;
    int wrong_answers = 0;
    int64_t shortest_reuse_ms = -1;  ///< From the end of a flow to the next
                                     ///< opening packet with its port.
  };

  Room(Fleet& fleet, Router& router, const Address& route, int ports)
      : fleet(fleet),
        router(router),
        route(route),
        address(fleet.ClientAddress()) {
    this->udp = Bind(this->address, SOCK_DGRAM);
    for (int index = 0; index < ports; ++index)
      this->free_ports.push_back(static_cast<uint16_t>(40000 + index));
    std::thread([this] { this->Receive(); }).detach();
    std::thread([this] { this->Tick(); }).detach();
  }

  /** Opens a flow that is used for a number of requests, with a pause before
   * each further one, and then closed. */
  void Open(int requests, int64_t pause_ms) {
    const std::lock_guard lock(this->mutex);
    if (this->free_ports.empty())
      return;
    const uint16_t port = this->free_ports.front();
    this->free_ports.pop_front();
    if (const auto ended = this->ended_at.find(port);
        ended != this->ended_at.end()) {
      const int64_t age = NowMs() - ended->second;
      if (this->counts.shortest_reuse_ms < 0 ||
          age < this->counts.shortest_reuse_ms)
        this->counts.shortest_reuse_ms = age;
    }
    Flow& flow = this->flows[port];
    flow.requests_left = requests;
    flow.pause_ms = pause_ms;
    flow.started_at = NowMs();
    flow.seq = 0x2000000U + ++this->flow_count * 7919;
    this->SendOpening(port, flow);
  }

  /** Ends the opening of flows and waits until all have ended. */
  Counts Finish() {
    for (int step = 0; step < 1500; ++step) {
      SleepMs(10);
      const std::lock_guard lock(this->mutex);
      if (this->flows.empty())
        break;
    }
    const std::lock_guard lock(this->mutex);
    return this->counts;
  }

 private:
  enum class State { kOpening, kWaiting, kPausing, kClosing };
  struct Flow {
    State state = State::kOpening;
    int requests_left = 0;
    int64_t pause_ms = 0;
    int64_t started_at = 0;
    uint32_t seq = 0;  ///< Next own byte, before the current request.
    uint32_t ack = 0;  ///< Next byte expected.
    uint32_t echo = 0;
    uint32_t copies = 0;
    std::string request;  ///< That waits for its answer.
    std::string request_id;
    int64_t asked_at = 0;
    int64_t next_at = 0;  ///< Next retransmission, or end of the pause.
    int64_t wait_ms = 200;
    Address endpoint;  ///< That opened the flow.
  };

  void SendPacket(uint16_t port,
                  const Flow& flow,
                  uint8_t flags,
                  uint32_t seq,
                  uint32_t ack,
                  const std::string& data) {
    Packet packet;
    packet.from = {this->address.ip, port};
    packet.to = this->route;
    packet.flags = flags;
    packet.echo = flow.echo;
    packet.seq = seq;
    packet.ack = ack;
    packet.data = data;
    const std::string bytes = Encode(packet);
    const sockaddr_in to =
        this->router.Choose(packet.from, this->route).Sockaddr();
    sendto(this->udp, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }

  void SendOpening(uint16_t port, Flow& flow) {
    this->SendPacket(port, flow, kSyn, flow.seq, flow.copies, "");
    static constexpr int64_t kCopyAt[] = {200, 600, 1400};
    flow.next_at =
        flow.started_at + kCopyAt[std::min<uint32_t>(flow.copies, 2)];
    ++flow.copies;
  }

  void Ask(uint16_t port, Flow& flow) {
    --flow.requests_left;
    flow.request_id = "q-" + std::to_string(++this->request_count);
    flow.request = "GET /item HTTP/1.1\r\nHost: " + IpText(this->route.ip) +
                   "\r\nX-Request-Id: " + flow.request_id + "\r\n\r\n";
    flow.state = State::kWaiting;
    flow.asked_at = NowMs();
    flow.wait_ms = 200;
    flow.next_at = flow.asked_at + flow.wait_ms;
    this->SendPacket(port, flow, kAck, flow.seq, flow.ack, flow.request);
  }

  void End(std::map<uint16_t, Flow>::iterator flow) {
    this->ended_at[flow->first] = NowMs();
    this->free_ports.push_back(flow->first);
    this->flows.erase(flow);
  }

  void Receive() {
    for (;;) {
      char buffer[2048];
      sockaddr_in from{};
      socklen_t from_bytes = sizeof(from);
      const ssize_t count =
          recvfrom(this->udp, buffer, sizeof(buffer), 0,
                   reinterpret_cast<sockaddr*>(&from), &from_bytes);
      if (count <= 0)
        continue;
      const std::optional<Packet> packet =
          Decode(std::string(buffer, static_cast<size_t>(count)));
      if (!packet || packet->from != this->route)
        continue;
      const Address sender{ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)};
      const std::lock_guard lock(this->mutex);
      const auto found = this->flows.find(packet->to.port);
      if (found != this->flows.end())
        this->OnPacket(found, *packet, sender);
    }
  }

  void OnPacket(std::map<uint16_t, Flow>::iterator found,
                const Packet& packet,
                const Address& sender) {
    const uint16_t port = found->first;
    Flow& flow = found->second;
    if ((packet.flags & kRst) != 0) {
      this->OnReset(found, packet, sender);
      return;
    }
    if ((packet.flags & kSyn) != 0) {
      if (flow.state != State::kOpening)
        return;
      flow.endpoint = sender;
      flow.echo = packet.echo;
      flow.seq += 1;
      flow.ack = packet.seq + 1;
      ++this->counts.opened;
      this->Ask(port, flow);
      return;
    }
    if (packet.seq != flow.ack)
      return;
    flow.echo = packet.echo;
    if (!packet.data.empty() && flow.state == State::kWaiting) {
      ++this->counts.answers;
      if (packet.data.find("done " + flow.request_id) == std::string::npos)
        ++this->counts.wrong_answers;
      flow.seq += static_cast<uint32_t>(flow.request.size());
      flow.ack += static_cast<uint32_t>(packet.data.size());
      flow.next_at = NowMs() + flow.pause_ms;
      flow.state = State::kPausing;
      this->SendPacket(port, flow, kAck, flow.seq, flow.ack, "");
      if (flow.requests_left == 0)
        this->Close(port, flow);
    } else if ((packet.flags & kFin) != 0 && flow.state == State::kClosing) {
      this->SendPacket(port, flow, kAck, flow.seq + 1, flow.ack + 1, "");
      ++this->counts.closed;
      this->End(found);
    }
  }

  void OnReset(std::map<uint16_t, Flow>::iterator found,
               const Packet& packet,
               const Address& sender) {
    const Flow& flow = found->second;
    const bool is_open = flow.state != State::kOpening;
    const bool by_balancer = packet.sum == 0;
    const bool by_own = !by_balancer && sender == flow.endpoint;
    if (is_open && !by_balancer && !by_own) {
      ++this->counts.reset_by_other;
      Record::Line("open flow from port " + std::to_string(found->first) +
                   " at endpoint " + Text(flow.endpoint) + ", opened " +
                   std::to_string(NowMs() - flow.started_at) +
                   " ms ago, is reset by endpoint " + Text(sender));
    } else if (is_open && by_balancer) {
      ++this->counts.reset_by_balancer;
      Record::Line("open flow from port " + std::to_string(found->first) +
                   " is reset by balancer " + Text(sender));
    } else if (is_open) {
      ++this->counts.reset_by_own_endpoint;
    } else {
      ++this->counts.not_opened;
    }
    this->End(found);
  }

  void Close(uint16_t port, Flow& flow) {
    flow.state = State::kClosing;
    flow.asked_at = NowMs();
    flow.wait_ms = 200;
    flow.next_at = flow.asked_at + flow.wait_ms;
    this->SendPacket(port, flow, kAck | kFin, flow.seq, flow.ack, "");
  }

  void Tick() {
    for (;;) {
      SleepMs(5);
      const std::lock_guard lock(this->mutex);
      const int64_t now = NowMs();
      for (auto next = this->flows.begin(); next != this->flows.end();) {
        const auto current = next++;
        Flow& flow = current->second;
        if (now < flow.next_at)
          continue;
        if (flow.state == State::kOpening && flow.copies < 3) {
          this->SendOpening(current->first, flow);
        } else if (flow.state == State::kOpening) {
          ++this->counts.not_opened;
          this->End(current);
        } else if (flow.state == State::kPausing) {
          this->Ask(current->first, flow);
        } else if (now >= flow.asked_at + kDeadlineMs) {
          ++this->counts.given_up;
          this->End(current);
        } else {
          this->SendPacket(current->first, flow,
                           flow.state == State::kClosing ? kAck | kFin : kAck,
                           flow.seq, flow.ack,
                           flow.state == State::kClosing ? "" : flow.request);
          flow.wait_ms = std::min<int64_t>(flow.wait_ms * 2, 1600);
          flow.next_at = now + flow.wait_ms;
        }
      }
    }
  }

  static constexpr int64_t kDeadlineMs = 2500;

  Fleet& fleet;
  Router& router;
  const Address route;
  const Address address;
  int udp = -1;
  std::mutex mutex;
  std::deque<uint16_t> free_ports;
  std::map<uint16_t, int64_t> ended_at;
  std::map<uint16_t, Flow> flows;
  uint32_t flow_count = 0;
  int request_count = 0;
  Counts counts;
};

}  // namespace review

#endif  // REVIEW_STANDIN_ROOM_H_
