// The packets of PROTOCOL.md: a header of 32 bytes and up to 1,200 of data.
#ifndef REVIEW_STANDIN_2_PACKET_H_
#define REVIEW_STANDIN_2_PACKET_H_

#include "net.h"

namespace review {

inline constexpr uint8_t kSyn = 8;
inline constexpr uint8_t kAck = 1;
inline constexpr uint8_t kFin = 4;
inline constexpr uint8_t kRst = 2;

struct Packet {
  uint32_t seq = 0;
  uint32_t ack = 0;
  uint32_t echo = 0;
  uint32_t sum = 0;
  uint8_t flags = 0;
  Address src;
  Address dst;
  std::string data;
};

inline void Put(std::string& out, uint64_t value, int bytes) {
  for (int index = bytes - 1; index >= 0; --index)
    out += static_cast<char>(value >> 8 * index);
}

inline uint64_t Get(std::string_view in, size_t at, int bytes) {
  uint64_t value = 0;
  for (int index = 0; index < bytes; ++index)
    value = value << 8 | static_cast<unsigned char>(in[at + size_t(index)]);
  return value;
}

/** The keyed sum of all fields but echo and pad; never 0. */
inline uint32_t SumOf(const Packet& packet) {
  uint64_t hash = 0x5bd1e9955bd1e995ULL;
  const auto mix = [&hash](uint64_t value) {
    hash = (hash ^ value) * 0x9E3779B97F4A7C15ULL;
    hash ^= hash >> 32;
  };
  mix(packet.seq);
  mix(packet.ack);
  mix(packet.flags);
  mix(uint64_t{packet.src.ip} << 16 | packet.src.port);
  mix(uint64_t{packet.dst.ip} << 16 | packet.dst.port);
  for (const char c : packet.data)
    mix(static_cast<unsigned char>(c));
  return static_cast<uint32_t>(hash) | 1;
}

inline std::string Encode(Packet packet) {
  packet.sum = SumOf(packet);
  std::string out;
  Put(out, packet.seq, 4);
  Put(out, packet.ack, 4);
  Put(out, packet.echo, 4);
  Put(out, packet.sum, 4);
  Put(out, packet.data.size(), 2);
  Put(out, packet.flags, 1);
  Put(out, 0, 1);
  Put(out, packet.src.ip, 4);
  Put(out, packet.src.port, 2);
  Put(out, packet.dst.port, 2);
  Put(out, packet.dst.ip, 4);
  return out + packet.data;
}

inline bool Decode(std::string_view in, Packet& packet) {
  if (in.size() < 32 || in.size() != 32 + Get(in, 16, 2))
    return false;
  packet.seq = static_cast<uint32_t>(Get(in, 0, 4));
  packet.ack = static_cast<uint32_t>(Get(in, 4, 4));
  packet.echo = static_cast<uint32_t>(Get(in, 8, 4));
  packet.sum = static_cast<uint32_t>(Get(in, 12, 4));
  packet.flags = static_cast<uint8_t>(Get(in, 18, 1));
  packet.src = {static_cast<uint32_t>(Get(in, 20, 4)),
                static_cast<uint16_t>(Get(in, 24, 2))};
  packet.dst = {static_cast<uint32_t>(Get(in, 28, 4)),
                static_cast<uint16_t>(Get(in, 26, 2))};
  packet.data = std::string(in.substr(32));
  return true;
}

}  // namespace review

#endif  // REVIEW_STANDIN_2_PACKET_H_
