// A host of clients behind one address: opens flows, sends requests in them and
// closes them, with the copies and retransmissions of PROTOCOL.md.
#ifndef REVIEW_STANDIN_2_CLIENT_H_
#define REVIEW_STANDIN_2_CLIENT_H_

#include <functional>
#include <map>
#include <random>
#include <vector>

#include "fleet.h"
#include "packet.h"

namespace review {

/** What a client saw of one flow. */
struct FlowResult {
  uint16_t port = 0;
  Address route;
  int64_t syn_at_ms = 0;
  int64_t open_at_ms = -1;  ///< When the handshake ended; -1: never.
  int64_t end_at_ms = 0;
  Address owner;  ///< Endpoint that has the flow, by the address it sends from.
  int requests = 0;
  int answered = 0;
  bool closed = false;  ///< Both ends have sent a FIN.
  std::string end;      ///< closed, reset, no_answer, no_handshake.
  int64_t reset_at_ms = -1;
  Address reset_by;              ///< Sender of the reset.
  bool reset_by_system = false;  ///< It is a reset of the system's own.
  size_t last_daemon = 0;        ///< That took the flow's last packet.
};

class ClientHost {
 public:
  using Observer = std::function<void(const FlowResult&)>;

  ClientHost(uint32_t ip, const std::string& zone, Fleet& fleet, Observer done)
      : ip(ip),
        zone(zone),
        fleet(fleet),
        done(std::move(done)),
        udp(BindOrThrow(SOCK_DGRAM, {ip, fleet.PacketPort()})) {
    std::thread([this] { this->Run(); }).detach();
  }

  /** Opens a flow. @return False if the port has a flow to the route. */
  bool Open(uint16_t port, const Address& route, int requests, int pause_ms) {
    const std::lock_guard lock(this->mutex);
    const Key key{port, route};
    if (this->flows.contains(key))
      return false;
    Flow& flow = this->flows[key];
    flow.result.port = port;
    flow.result.route = route;
    flow.result.requests = requests;
    flow.result.syn_at_ms = NowMs();
    flow.pause_ms = pause_ms;
    flow.first_seq = flow.seq = this->random();
    this->SendSyn(key, flow, 0);
    flow.syn_copies = 0;
    return true;
  }

  size_t OpenFlows() {
    const std::lock_guard lock(this->mutex);
    return this->flows.size();
  }

 private:
  struct Key {
    uint16_t port = 0;
    Address route;
    auto operator<=>(const Key&) const = default;
  };
  struct Flow {
    FlowResult result;
    int pause_ms = 0;
    uint32_t first_seq = 0;
    uint32_t seq = 0;  ///< Next byte to send.
    uint32_t ack = 0;  ///< Next byte expected.
    uint32_t echo = 0;
    int syn_copies = 0;
    int sent_requests = 0;
    int64_t next_request_at = 0;
    int64_t deadline = 0;  ///< Of the request that is waited for.
    std::string unacked;   ///< Data that may have to be sent again.
    uint32_t unacked_seq = 0;
    int64_t resend_at = 0;
    int64_t resend_after = 0;
    bool fin_sent = false;
    std::string received;
  };

  static constexpr int64_t kDeadlineMs = 3000;
  static constexpr int64_t kFirstResendMs = 200;
  static constexpr int64_t kMaxResendMs = 1600;

  void SendSyn(const Key& key, Flow& flow, uint32_t copy) {
    this->Send(key, flow, flow.first_seq, copy, kSyn, "");
  }

  void Send(const Key& key,
            Flow& flow,
            uint32_t seq,
            uint32_t ack,
            uint8_t flags,
            const std::string& data) {
    const Address from{this->ip, key.port};
    const std::string bytes =
        Encode({seq, ack, (flags & kSyn) != 0 ? 0 : flow.echo, 0, flags, from,
                key.route, data});
    const size_t daemon = this->fleet.Select(this->zone, from, key.route);
    flow.result.last_daemon = daemon;
    const sockaddr_in to = ToSockaddr(this->fleet.PacketAddress(daemon));
    sendto(this->udp, bytes.data(), bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }

  void Run() {
    std::string buffer(2048, '\0');
    for (;;) {
      pollfd ready{this->udp, POLLIN, 0};
      poll(&ready, 1, 5);
      const std::lock_guard lock(this->mutex);
      for (;;) {
        sockaddr_in from{};
        socklen_t length = sizeof(from);
        const ssize_t read =
            recvfrom(this->udp, buffer.data(), buffer.size(), MSG_DONTWAIT,
                     reinterpret_cast<sockaddr*>(&from), &length);
        if (read < 0)
          break;
        Packet packet;
        if (Decode(std::string_view(buffer).substr(0, size_t(read)), packet))
          this->OnPacket(packet, FromSockaddr(from));
      }
      const int64_t now = NowMs();
      std::vector<Key> keys;
      for (const auto& [key, flow] : this->flows)
        keys.push_back(key);
      for (const Key& key : keys)
        this->Tick(key, now);
    }
  }

  void End(const Key& key, const std::string& how) {
    Flow& flow = this->flows.at(key);
    flow.result.end = how;
    flow.result.end_at_ms = NowMs();
    const FlowResult result = flow.result;
    this->flows.erase(key);
    this->done(result);
  }

  void OnPacket(const Packet& packet, const Address& from) {
    const Key key{packet.dst.port, packet.src};
    const auto found = this->flows.find(key);
    if (found == this->flows.end())
      return;
    Flow& flow = found->second;
    FlowResult& result = flow.result;
    const bool is_open = result.open_at_ms >= 0;
    if ((packet.flags & kRst) != 0) {
      // The reset of a system promises nothing on an open flow unless its
      // number is near what the client has acknowledged last.
      if (is_open &&
          static_cast<uint32_t>(packet.seq - flow.ack + 76800) > 2 * 76800)
        return;
      result.reset_at_ms = NowMs();
      result.reset_by = from;
      result.reset_by_system = packet.sum == 0;
      this->End(key, "reset");
      return;
    }
    if (!is_open) {
      if ((packet.flags & (kSyn | kAck)) != (kSyn | kAck) ||
          packet.ack != flow.first_seq)
        return;
      result.open_at_ms = NowMs();
      result.owner = from;
      flow.ack = packet.seq;
      flow.echo = packet.echo;
      this->Send(key, flow, flow.seq, flow.ack, kAck, "");
      flow.next_request_at = NowMs();
      return;
    }
    if (from != result.owner)  // Another endpoint's answer to the SYN.
      return;
    flow.echo = packet.echo;
    if (!flow.unacked.empty() &&
        packet.ack - flow.unacked_seq >= flow.unacked.size() &&
        packet.ack - flow.unacked_seq < (1u << 31))
      flow.unacked.clear();
    if (!packet.data.empty()) {
      if (packet.seq == flow.ack) {
        flow.ack += static_cast<uint32_t>(packet.data.size());
        flow.received += packet.data;
        const size_t head = flow.received.find("\r\n\r\n");
        if (head != std::string::npos) {
          // One packet has one whole answer.
          flow.received.clear();
          ++result.answered;
          flow.deadline = 0;
          flow.next_request_at = NowMs() + flow.pause_ms;
        }
      }
      this->Send(key, flow, flow.seq, flow.ack, kAck, "");
    }
    if ((packet.flags & kFin) != 0 && flow.fin_sent) {
      result.closed = true;
      this->End(key, "closed");
    }
  }

  void Tick(const Key& key, int64_t now) {
    const auto found = this->flows.find(key);
    if (found == this->flows.end())
      return;
    Flow& flow = found->second;
    FlowResult& result = flow.result;
    if (result.open_at_ms < 0) {
      const int64_t age = now - result.syn_at_ms;
      if (age >= 1400) {
        this->End(key, "no_handshake");
      } else if (flow.syn_copies < 2 &&
                 age >= (flow.syn_copies == 0 ? 200 : 600)) {
        ++flow.syn_copies;
        this->SendSyn(key, flow, static_cast<uint32_t>(flow.syn_copies));
      }
      return;
    }
    if (flow.deadline != 0 && now >= flow.deadline) {
      this->End(key, "no_answer");
      return;
    }
    if (!flow.unacked.empty() && now >= flow.resend_at) {
      this->Send(key, flow, flow.unacked_seq, flow.ack, kAck, flow.unacked);
      flow.resend_after = std::min(kMaxResendMs, flow.resend_after * 2);
      flow.resend_at = now + flow.resend_after;
    }
    if (flow.fin_sent) {
      if (now >= flow.resend_at) {
        this->Send(key, flow, flow.seq, flow.ack, kFin | kAck, "");
        flow.resend_after = std::min(kMaxResendMs, flow.resend_after * 2);
        flow.resend_at = now + flow.resend_after;
      }
      return;
    }
    if (flow.deadline != 0 || now < flow.next_request_at)
      return;
    if (flow.sent_requests < result.requests) {
      ++flow.sent_requests;
      const std::string request =
          "GET /r HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + ToString(this->ip) +
          "-" + std::to_string(++this->last_request) + "\r\n\r\n";
      flow.unacked = request;
      flow.unacked_seq = flow.seq;
      flow.seq += static_cast<uint32_t>(request.size());
      flow.resend_after = kFirstResendMs;
      flow.resend_at = now + kFirstResendMs;
      flow.deadline = now + kDeadlineMs;
      this->Send(key, flow, flow.unacked_seq, flow.ack, kAck, request);
      return;
    }
    flow.fin_sent = true;
    flow.deadline = now + kDeadlineMs;
    flow.resend_after = kFirstResendMs;
    flow.resend_at = now + kFirstResendMs;
    this->Send(key, flow, flow.seq, flow.ack, kFin | kAck, "");
  }

  uint32_t ip;
  std::string zone;
  Fleet& fleet;
  Observer done;
  int udp;
  std::mutex mutex;
  std::mt19937 random{std::random_device{}()};
  std::map<Key, Flow> flows;
  uint64_t last_request = 0;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_CLIENT_H_
