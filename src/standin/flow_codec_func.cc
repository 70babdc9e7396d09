/** @file flow_codec_func.cc The stand-ins' own reading and writing of packets.
 */

#include "standin/flow_codec_func.h"

#include <xxhash.h>

namespace cuminvane {
namespace {

constexpr size_t kHead = 32;
constexpr size_t kSequence = 0;
constexpr size_t kAcknowledged = 4;
constexpr size_t kTag = 8;
constexpr size_t kSum = 12;
constexpr size_t kLength = 16;
constexpr size_t kFlags = 18;
constexpr size_t kSource = 20;
constexpr size_t kSourcePort = 24;
constexpr size_t kDestinationPort = 26;
constexpr size_t kDestination = 28;
constexpr uint8_t kOpens = 8;
constexpr uint8_t kAnswers = 1;
constexpr uint8_t kCloses = 4;
constexpr uint8_t kResets = 2;
/** The ends' common key; nothing between them knows it. */
constexpr uint32_t kSumKey = 0x5eedf00d;

void Put(std::string& bytes, size_t offset, size_t width, uint32_t value) {
  for (size_t index = 0; index < width; ++index)
    bytes[offset + index] =
        static_cast<char>(value >> 8 * (width - 1 - index) & 0xff);
}

uint32_t Get(std::string_view bytes, size_t offset, size_t width) {
  uint32_t value = 0;
  for (size_t index = 0; index < width; ++index)
    value = value << 8 | static_cast<unsigned char>(bytes[offset + index]);
  return value;
}

/** Sum over everything but the tag and itself. */
uint32_t SumOf(std::string bytes) {
  Put(bytes, kTag, 4, 0);
  Put(bytes, kSum, 4, 0);
  const uint32_t sum = XXH32(bytes.data(), bytes.size(), kSumKey);
  return sum == 0 ? 1 : sum;
}

}  // namespace

std::string EncodeFlowPacket(const emulate::ModelPacket& packet) {
  std::string bytes(kHead, '\0');
  const Endpoint& from =
      packet.from_caller ? packet.key.caller : packet.key.service;
  const Endpoint& to =
      packet.from_caller ? packet.key.service : packet.key.caller;
  Put(bytes, kSequence, 4, packet.sequence);
  Put(bytes, kAcknowledged, 4, packet.acknowledged);
  Put(bytes, kTag, 4, packet.tag.value);
  Put(bytes, kLength, 2, static_cast<uint32_t>(packet.payload.size()));
  const bool answers =
      packet.from_caller ? !packet.opens && !packet.resets : packet.answers;
  Put(bytes, kFlags, 1,
      (packet.opens ? kOpens : 0U) | (answers ? kAnswers : 0U) |
          (packet.closes ? kCloses : 0U) | (packet.resets ? kResets : 0U));
  Put(bytes, kSource, 4, from.ip);
  Put(bytes, kSourcePort, 2, from.port);
  Put(bytes, kDestinationPort, 2, to.port);
  Put(bytes, kDestination, 4, to.ip);
  bytes += packet.payload;
  Put(bytes, kSum, 4, SumOf(bytes));
  return bytes;
}

std::optional<FlowPacket> DecodeFlowPacket(std::string_view bytes) {
  if (bytes.size() < kHead || Get(bytes, kLength, 2) != bytes.size() - kHead)
    return std::nullopt;
  FlowPacket packet;
  emulate::ModelPacket& model = packet.model;
  const uint32_t flags = Get(bytes, kFlags, 1);
  model.opens = (flags & kOpens) != 0;
  model.answers = (flags & kAnswers) != 0;
  model.closes = (flags & kCloses) != 0;
  model.resets = (flags & kResets) != 0;
  model.sequence = Get(bytes, kSequence, 4);
  model.acknowledged = Get(bytes, kAcknowledged, 4);
  model.tag = FlowTag{Get(bytes, kTag, 4)};
  model.payload = bytes.substr(kHead);
  const Endpoint from{Get(bytes, kSource, 4),
                      static_cast<uint16_t>(Get(bytes, kSourcePort, 2))};
  const Endpoint to{Get(bytes, kDestination, 4),
                    static_cast<uint16_t>(Get(bytes, kDestinationPort, 2))};
  // Callers' addresses lie in their own net.
  model.from_caller = from.ip >> 16 == 0x7f40;
  model.key = model.from_caller ? FlowKey{from, to} : FlowKey{to, from};
  const uint32_t sum = Get(bytes, kSum, 4);
  packet.of_balancer = sum == 0 && model.resets;
  packet.genuine = sum == SumOf(std::string(bytes));
  return packet;
}

}  // namespace cuminvane
