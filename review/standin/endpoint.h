/** @file endpoint.h Stand-in for an endpoint: PROTOCOL.md, "Endpoints" and
 * "Flows". It answers each request at once. */

#ifndef REVIEW_STANDIN_ENDPOINT_H_
#define REVIEW_STANDIN_ENDPOINT_H_

#include <atomic>
#include <map>
#include <set>

#include "packet.h"
#include "store.h"

namespace review {

/** A flow that an endpoint took, or a request that it ran. */
struct Taken {
  int64_t at;
  Address client;
  Address route;
  std::string request_id;  ///< Empty for an opening packet.
};

class Endpoint {
 public:
  /** @param id Eight bytes, written as 16 hexadecimal digits in the store.
   * @param datagram_port Port of clients for packets. */
  Endpoint(uint64_t id,
           std::string service,
           std::string zone,
           const Address& address,
           uint16_t datagram_port,
           Store& store)
      : id(id),
        service(std::move(service)),
        zone(std::move(zone)),
        address(address),
        datagram_port(datagram_port),
        store(store),
        born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()) {}

  /** Starts to serve, and to write to the store each `heartbeat_ms`. */
  void Start(int64_t heartbeat_ms) {
    this->tcp = Bind(this->address, SOCK_STREAM);
    this->udp = Bind(this->address, SOCK_DGRAM);
    this->is_up = true;
    std::thread([this] { this->ServeHealth(); }).detach();
    std::thread([this] { this->ServePackets(); }).detach();
    this->WriteEntry();
    std::thread([this, heartbeat_ms] {
      while (this->is_up) {
        SleepMs(heartbeat_ms);
        if (this->is_up)
          this->WriteEntry();
      }
    }).detach();
  }

  /** Reports `draining`. @return When the store acknowledged it. */
  int64_t Drain() {
    this->draining = true;
    const int64_t at = this->WriteEntry();
    Record::Line("endpoint " + this->Key() +
                 " reports draining; the store has acknowledged it");
    return at;
  }

  std::string Key() const {
    char text[40];
    std::snprintf(text, sizeof(text), "servers/i-%016llx",
                  static_cast<unsigned long long>(this->id));
    return text;
  }

  /** @return Opening packets and requests taken so far. */
  std::vector<Taken> TakenSoFar() {
    const std::lock_guard lock(this->mutex);
    return this->taken;
  }

  const uint64_t id;
  const std::string service;
  const std::string zone;
  const Address address;

 private:
  struct Flow {
    uint32_t seq = 0;         ///< Sequence number of its own first byte.
    uint32_t next = 0;        ///< Next byte expected from the client.
    uint32_t client_seq = 0;  ///< Sequence number of the opening packet.
    bool open = false;
    bool ended = false;
    uint32_t sent = 0;       ///< Sequence number after its last byte.
    std::string answer;      ///< To the last request.
    uint32_t answer_at = 0;  ///< Sequence number of the answer.
    bool closes = false;     ///< It closes the flow after the answer.
  };

  int64_t WriteEntry() {
    const std::lock_guard lock(this->entry_mutex);
    return this->store.Put(
        this->Key(), "{\"service\":\"" + this->service + "\",\"address\":\"" +
                         Text(this->address) + "\",\"zone\":\"" + this->zone +
                         "\",\"version\":\"v1\",\"slots\":2,\"state\":\"" +
                         (this->draining ? "draining" : "ready") +
                         "\",\"cold_remaining_ms\":0,\"seq\":" +
                         std::to_string(++this->entry_seq) +
                         ",\"born\":" + std::to_string(this->born) + "}");
  }

  void ServeHealth() {
    for (;;) {
      const int fd = accept4(this->tcp, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      std::thread([this, fd] {
        std::string buffer;
        while (ReadHead(fd, buffer)) {
          if (!SendAll(fd, std::string("HTTP/1.1 ") +
                               (this->draining ? "503 No" : "200 OK") +
                               "\r\nContent-Length: 0\r\n\r\n"))
            break;
        }
        close(fd);
      }).detach();
    }
  }

  void Send(const Packet& to,
            uint8_t flags,
            uint32_t seq,
            uint32_t ack,
            const std::string& data) {
    Packet packet;
    packet.from = to.to;
    packet.to = to.from;
    packet.flags = flags;
    packet.echo = to.echo;
    packet.seq = seq;
    packet.ack = ack;
    packet.data = data;
    const std::string bytes = Encode(packet);
    const sockaddr_in client =
        Address{to.from.ip, this->datagram_port}.Sockaddr();
    sendto(this->udp, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&client), sizeof(client));
  }

  void ServePackets() {
    for (;;) {
      char buffer[2048];
      const ssize_t count = recv(this->udp, buffer, sizeof(buffer), 0);
      if (count < 8)
        continue;
      uint64_t target = 0;
      for (int index = 0; index < 8; ++index)
        target = target << 8 | static_cast<uint8_t>(buffer[index]);
      if (target != 0 && target != this->id)
        continue;
      const std::optional<Packet> packet =
          Decode(std::string(buffer + 8, static_cast<size_t>(count) - 8));
      if (!packet || packet->sum != SumOf(*packet)) {
        Record::Line("endpoint " + this->Key() +
                     " got a packet that nobody wrote so");
        continue;
      }
      this->OnPacket(*packet);
    }
  }

  void OnPacket(const Packet& packet) {
    const std::lock_guard lock(this->mutex);
    const std::pair key{packet.from, packet.to};
    if ((packet.flags & kSyn) != 0) {
      const auto [position, is_new] = this->flows.try_emplace(key);
      Flow& flow = position->second;
      if (is_new || flow.client_seq != packet.seq) {
        flow = {};
        flow.seq = static_cast<uint32_t>(this->id * 2654435761U +
                                         ++this->flow_count * 100003);
        flow.client_seq = packet.seq;
        flow.next = packet.seq + 1;
        flow.sent = flow.seq + 1;
        this->taken.push_back({NowMs(), packet.from, packet.to, ""});
      }
      this->Send(packet, kSyn | kAck, flow.seq, flow.next, "");
      return;
    }
    const auto found = this->flows.find(key);
    if (found == this->flows.end()) {
      this->Send(packet, kRst, packet.ack, 0, "");
      return;
    }
    Flow& flow = found->second;
    if ((packet.flags & kRst) != 0) {
      this->flows.erase(found);
      return;
    }
    if (flow.ended) {
      if ((packet.flags & kFin) != 0)
        this->Send(packet, kAck, flow.sent, flow.next, "");
      else if (!packet.data.empty())
        this->Send(packet, kRst, packet.ack, 0, "");
      return;
    }
    if (!flow.open && packet.ack != flow.seq + 1)
      return;
    flow.open = true;
    if (!packet.data.empty() && packet.seq == flow.next) {
      flow.next += static_cast<uint32_t>(packet.data.size());
      const size_t at = packet.data.find("X-Request-Id: ");
      const std::string request_id =
          at == std::string::npos
              ? "?"
              : packet.data.substr(at + 14,
                                   packet.data.find('\r', at) - at - 14);
      this->taken.push_back({NowMs(), packet.from, packet.to, request_id});
      const std::string body = "done " + request_id;
      flow.answer = "HTTP/1.1 200 OK\r\nX-Server-Seal: " + this->Key() +
                    "\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body;
      flow.closes = packet.data.find("Connection: close") != std::string::npos;
      flow.answer_at = flow.sent;
      flow.sent +=
          static_cast<uint32_t>(flow.answer.size()) + (flow.closes ? 1 : 0);
    }
    // Also answers a copy of the last request.
    if (!flow.answer.empty() && !packet.data.empty())
      this->Send(packet, kAck | (flow.closes ? kFin : 0), flow.answer_at,
                 flow.next, flow.answer);
    if ((packet.flags & kFin) != 0) {
      flow.ended = true;
      ++flow.next;
      if (!flow.closes)
        ++flow.sent;
      this->Send(packet, kAck | kFin, flow.sent - 1, flow.next, "");
    }
  }

  const uint16_t datagram_port;
  Store& store;
  const int64_t born;
  std::atomic<bool> draining{false};
  std::atomic<bool> is_up{false};
  int tcp = -1;
  int udp = -1;
  std::mutex entry_mutex;
  int entry_seq = 0;
  std::mutex mutex;
  std::map<std::pair<Address, Address>, Flow> flows;
  uint32_t flow_count = 0;
  std::vector<Taken> taken;
};

}  // namespace review

#endif  // REVIEW_STANDIN_ENDPOINT_H_
