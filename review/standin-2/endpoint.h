// An endpoint as PROTOCOL.md has it (topology `echo`): takes datagrams of 8
// bytes and a packet, answers the client directly, answers health checks over
// TCP and registers itself in the store.
#ifndef REVIEW_STANDIN_2_ENDPOINT_H_
#define REVIEW_STANDIN_2_ENDPOINT_H_

#include <functional>
#include <map>
#include <random>
#include <vector>

#include "packet.h"
#include "store.h"

namespace review {

/** What one endpoint saw. */
struct EndpointEvent {
  int64_t at_ms = 0;
  std::string endpoint;
  std::string
      kind;  ///< packet, syn, open, run, foreign (a flow that it doesn't
             ///< hold), misdirected (for another endpoint), forged.
  Address client;
  Address route;
  std::string request;  ///< Id of the request that ran.
};

class Endpoint {
 public:
  using Observer = std::function<void(const EndpointEvent&)>;

  Endpoint(const std::string& id,
           const Address& address,
           const std::string& service,
           const std::string& zone,
           int work_ms,
           int heartbeat_ms,
           Store& store,
           Observer observer)
      : id(id),
        number(strtoull(id.substr(2).c_str(), nullptr, 16)),
        address(address),
        service(service),
        zone(zone),
        work_ms(work_ms),
        heartbeat_ms(heartbeat_ms),
        store(store),
        observer(std::move(observer)),
        born_ms(UnixMs()),
        udp(BindOrThrow(SOCK_DGRAM, address)),
        tcp(BindOrThrow(SOCK_STREAM, address)) {
    this->Register();
    std::thread([this] { this->RunPackets(); }).detach();
    std::thread([this] { this->RunHealth(); }).detach();
    std::thread([this] {
      for (;;) {
        SleepMs(this->heartbeat_ms);
        this->Register();
      }
    }).detach();
  }

  const std::string& Id() const { return this->id; }
  const Address& At() const { return this->address; }

  /** Reports `draining`. @return When the store accepted it. */
  int64_t Drain() {
    this->draining = true;
    this->Register();
    return NowMs();
  }

 private:
  struct Key {
    Address client;
    Address route;
    auto operator<=>(const Key&) const = default;
  };
  struct Flow {
    uint32_t client_seq = 0;  ///< Of the opening packet.
    uint32_t next = 0;        ///< Next byte expected from the client.
    uint32_t seq = 0;         ///< Of the SYN+ACK.
    uint32_t sent = 0;        ///< Next byte to send.
    uint32_t echo = 0;
    bool open = false;
    bool ended = false;
    std::string received;
  };
  struct Reply {
    int64_t at_ms;
    Key key;
    uint32_t client_seq;
    std::string bytes;
  };

  void Register() {
    this->store.Put("servers/" + this->id,
                    "{\"service\":\"" + this->service + "\",\"address\":\"" +
                        ToString(this->address) + "\",\"zone\":\"" +
                        this->zone +
                        "\",\"version\":\"v1\",\"slots\":2,\"state\":\"" +
                        (this->draining ? "draining" : "ready") +
                        "\",\"cold_remaining_ms\":0,\"born\":" +
                        std::to_string(this->born_ms) +
                        ",\"seq\":" + std::to_string(++this->beats) + "}");
  }

  void RunHealth() {
    for (;;) {
      const int fd = accept4(this->tcp, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      std::thread([this, fd] {
        std::string buffer;
        std::string head;
        while (ReadHead(fd, buffer, head)) {
          const std::string status =
              this->draining ? "503 Service Unavailable" : "200 OK";
          if (!WriteAll(fd, "HTTP/1.1 " + status + "\r\nX-Instance-Id: " +
                                this->id + "\r\nContent-Length: 0\r\n\r\n"))
            break;
        }
        close(fd);
      }).detach();
    }
  }

  void RunPackets() {
    std::string buffer(2048, '\0');
    for (;;) {
      int64_t wait = 1000;
      const int64_t now = NowMs();
      for (size_t index = 0; index < this->replies.size();) {
        if (this->replies[index].at_ms <= now) {
          const Reply reply = this->replies[index];
          this->replies.erase(this->replies.begin() + long(index));
          this->SendReply(reply);
        } else {
          wait = std::min(wait, this->replies[index++].at_ms - now);
        }
      }
      pollfd ready{this->udp, POLLIN, 0};
      if (poll(&ready, 1, static_cast<int>(wait)) != 1)
        continue;
      const ssize_t read =
          recv(this->udp, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (read >= 40)
        this->OnDatagram(std::string_view(buffer).substr(0, size_t(read)));
    }
  }

  void Report(const char* kind,
              const Key& key,
              const std::string& request = "") {
    this->observer({NowMs(), this->id, kind, key.client, key.route, request});
  }

  void OnDatagram(std::string_view bytes) {
    const uint64_t target = Get(bytes, 0, 8);
    Packet packet;
    const Key none;
    if (!Decode(bytes.substr(8), packet) || packet.sum != SumOf(packet)) {
      this->Report("forged", none);
      return;
    }
    const Key key{packet.src, packet.dst};
    if (target != 0 && target != this->number) {
      this->Report("misdirected", key);
      return;
    }
    this->Report("packet", key);
    if ((packet.flags & kSyn) != 0)
      this->OnSyn(key, packet);
    else
      this->OnLater(key, packet);
  }

  void OnSyn(const Key& key, const Packet& packet) {
    Flow& flow = this->flows[key];
    if (flow.seq == 0 || flow.client_seq != packet.seq) {
      flow = Flow{};
      flow.client_seq = flow.next = packet.seq;
      flow.seq = flow.sent = this->random() | 1;
      this->Report("syn", key);
    }
    flow.echo = packet.echo;
    if (!flow.open)
      this->Send(key, flow, flow.seq, kSyn | kAck, "");
  }

  void OnLater(const Key& key, const Packet& packet) {
    const auto found = this->flows.find(key);
    const bool held = found != this->flows.end() &&
                      (found->second.open || packet.ack == found->second.seq);
    if (!held) {
      this->Report("foreign", key);
      if ((packet.flags & kRst) == 0)
        this->SendReset(key, packet);
      return;
    }
    Flow& flow = found->second;
    flow.echo = packet.echo;
    if ((packet.flags & kRst) != 0) {
      flow.ended = true;
      return;
    }
    if (flow.ended) {
      if (!packet.data.empty()) {
        this->Report("foreign", key);
        this->SendReset(key, packet);
      } else if ((packet.flags & kFin) != 0) {
        this->Send(key, flow, flow.sent, kAck, "");
      }
      return;
    }
    if (!flow.open) {
      flow.open = true;
      this->Report("open", key);
    }
    if (!packet.data.empty()) {
      if (packet.seq == flow.next) {
        flow.next += static_cast<uint32_t>(packet.data.size());
        flow.received += packet.data;
        this->ReadRequests(key, flow);
      }
      this->Send(key, flow, flow.sent, kAck, "");
    }
    if ((packet.flags & kFin) != 0 && packet.seq == flow.next) {
      flow.ended = true;
      this->Send(key, flow, flow.sent, kFin | kAck, "");
    }
  }

  void ReadRequests(const Key& key, Flow& flow) {
    for (size_t end;
         (end = flow.received.find("\r\n\r\n")) != std::string::npos;) {
      const std::string head = flow.received.substr(0, end);
      flow.received.erase(0, end + 4);
      const size_t at = head.find("X-Request-Id: ");
      const std::string request =
          at == std::string::npos
              ? "?"
              : head.substr(at + 14, head.find("\r\n", at) - at - 14);
      this->Report("run", key, request);
      const std::string body = "answer to " + request + " by " + this->id;
      this->replies.push_back(
          {NowMs() + this->work_ms, key, flow.client_seq,
           "HTTP/1.1 200 OK\r\nX-Server-Seal: " + this->id +
               "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body});
    }
  }

  void SendReply(const Reply& reply) {
    const auto found = this->flows.find(reply.key);
    if (found == this->flows.end() || found->second.ended ||
        found->second.client_seq != reply.client_seq)
      return;
    Flow& flow = found->second;
    this->Send(reply.key, flow, flow.sent, kAck, reply.bytes);
    flow.sent += static_cast<uint32_t>(reply.bytes.size());
  }

  void Send(const Key& key,
            const Flow& flow,
            uint32_t seq,
            uint8_t flags,
            const std::string& data) {
    this->SendPacket(key, {seq, flow.next, flow.echo, 0, flags, key.route,
                           key.client, data});
  }

  void SendReset(const Key& key, const Packet& cause) {
    this->SendPacket(key, {cause.ack, cause.seq, cause.echo, 0, kRst, key.route,
                           key.client, ""});
  }

  void SendPacket(const Key& key, const Packet& packet) {
    const std::string bytes = Encode(packet);
    const sockaddr_in to = ToSockaddr({key.client.ip, this->packet_port});
    sendto(this->udp, bytes.data(), bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }

 public:
  uint16_t packet_port = 0;  ///< Port of the clients' hosts; set at the start.

 private:
  std::string id;
  uint64_t number;
  Address address;
  std::string service;
  std::string zone;
  int work_ms;
  int heartbeat_ms;
  Store& store;
  Observer observer;
  int64_t born_ms;
  std::atomic<int> beats = 0;
  std::atomic<bool> draining = false;
  int udp;
  int tcp;
  std::minstd_rand random{std::random_device{}()};
  std::map<Key, Flow> flows;
  std::vector<Reply> replies;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_ENDPOINT_H_
