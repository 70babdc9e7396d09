/** @file packet.h Packets: PROTOCOL.md, "Packets". */

#ifndef REVIEW_STANDIN_PACKET_H_
#define REVIEW_STANDIN_PACKET_H_

#include "net.h"

namespace review {

inline constexpr uint8_t kSyn = 8;
inline constexpr uint8_t kAck = 1;
inline constexpr uint8_t kFin = 4;
inline constexpr uint8_t kRst = 2;
inline constexpr uint8_t kBounced = 32;
inline constexpr size_t kHeaderBytes = 32;

struct Packet {
  Address from;
  Address to;
  uint8_t flags = 0;
  uint32_t echo = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
  uint32_t sum = 0;
  std::string data;
};

/** @return The sum of a packet that an end of a flow writes. */
inline uint32_t SumOf(const Packet& packet) {
  uint64_t hash = 0x9ae16a3b2f90404fULL;
  const auto add = [&hash](uint64_t value) {
    hash = (hash ^ value) * 0x100000001b3ULL;
    hash ^= hash >> 29;
  };
  add(packet.from.ip);
  add(packet.from.port);
  add(packet.to.ip);
  add(packet.to.port);
  add(packet.flags & ~kBounced);
  add(packet.seq);
  add(packet.ack);
  for (const char byte : packet.data)
    add(static_cast<uint8_t>(byte));
  return static_cast<uint32_t>(hash ^ hash >> 32) | 1;
}

inline std::string Encode(Packet packet) {
  packet.sum = SumOf(packet);
  std::string bytes;
  const auto put = [&bytes](uint64_t value, int width) {
    for (int shift = 8 * (width - 1); shift >= 0; shift -= 8)
      bytes += static_cast<char>(value >> shift & 255);
  };
  put(packet.seq, 4);
  put(packet.ack, 4);
  put(packet.echo, 4);
  put(packet.sum, 4);
  put(packet.data.size(), 2);
  put(packet.flags, 1);
  put(0, 1);
  put(packet.from.ip, 4);
  put(packet.from.port, 2);
  put(packet.to.port, 2);
  put(packet.to.ip, 4);
  return bytes + packet.data;
}

inline std::optional<Packet> Decode(const std::string& bytes) {
  if (bytes.size() < kHeaderBytes)
    return std::nullopt;
  const auto get = [&bytes](size_t offset, size_t width) {
    uint64_t value = 0;
    for (size_t index = 0; index < width; ++index)
      value = value << 8 | static_cast<uint8_t>(bytes[offset + index]);
    return value;
  };
  Packet packet;
  packet.seq = static_cast<uint32_t>(get(0, 4));
  packet.ack = static_cast<uint32_t>(get(4, 4));
  packet.echo = static_cast<uint32_t>(get(8, 4));
  packet.sum = static_cast<uint32_t>(get(12, 4));
  packet.flags = static_cast<uint8_t>(get(18, 1));
  packet.from = {static_cast<uint32_t>(get(20, 4)),
                 static_cast<uint16_t>(get(24, 2))};
  packet.to = {static_cast<uint32_t>(get(28, 4)),
               static_cast<uint16_t>(get(26, 2))};
  packet.data = bytes.substr(kHeaderBytes);
  if (get(16, 2) != packet.data.size())
    return std::nullopt;
  return packet;
}

}  // namespace review

#endif  // REVIEW_STANDIN_PACKET_H_
