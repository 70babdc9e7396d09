/** @file flow_codec_func.cc Encoding and decoding of packets of opaque flows
 * for the stand-ins, independent of the codec of the balancer. */

#include "standin/flow_codec_func.h"

#include <xxhash.h>

namespace cuminvane {
namespace {

constexpr size_t kHeaderBytes = 32;
// Offsets of the header fields in bytes; fields are big endian.
constexpr size_t kSequenceOffset = 0;
constexpr size_t kAcknowledgedOffset = 4;
constexpr size_t kTagOffset = 8;
constexpr size_t kChecksumOffset = 12;
constexpr size_t kLengthOffset = 16;
constexpr size_t kFlagsOffset = 18;
constexpr size_t kSourceIpOffset = 20;
constexpr size_t kSourcePortOffset = 24;
constexpr size_t kDestinationPortOffset = 26;
constexpr size_t kDestinationIpOffset = 28;
// Bits of the flags field.
constexpr uint8_t kOpenFlag = 8;
constexpr uint8_t kAnswerFlag = 1;
constexpr uint8_t kCloseFlag = 4;
constexpr uint8_t kResetFlag = 2;
/** Seed of the checksum. Only the two ends of a flow know it, so that nothing
 * between them can write a valid checksum. */
constexpr uint32_t kChecksumSeed = 0x5eedf00d;

void WriteBigEndian(std::string& bytes,
                    size_t offset,
                    size_t width,
                    uint32_t value) {
  for (size_t index = 0; index < width; ++index)
    bytes[offset + index] =
        static_cast<char>(value >> 8 * (width - 1 - index) & 0xff);
}

uint32_t ReadBigEndian(std::string_view bytes, size_t offset, size_t width) {
  uint32_t value = 0;
  for (size_t index = 0; index < width; ++index)
    value = value << 8 | static_cast<unsigned char>(bytes[offset + index]);
  return value;
}

/** @return The checksum over the packet without its tag, which balancers write,
 * and without the checksum field. It is never 0, because a reset with checksum
 * 0 counts as sent by a balancer. */
uint32_t ChecksumOf(std::string bytes) {
  WriteBigEndian(bytes, kTagOffset, 4, 0);
  WriteBigEndian(bytes, kChecksumOffset, 4, 0);
  const uint32_t checksum = XXH32(bytes.data(), bytes.size(), kChecksumSeed);
  return checksum == 0 ? 1 : checksum;
}

}  // namespace

std::string EncodeFlowPacket(const emulate::ModelPacket& packet) {
  std::string bytes(kHeaderBytes, '\0');
  const Endpoint& from =
      packet.from_caller ? packet.key.caller : packet.key.service;
  const Endpoint& to =
      packet.from_caller ? packet.key.service : packet.key.caller;
  WriteBigEndian(bytes, kSequenceOffset, 4, packet.sequence);
  WriteBigEndian(bytes, kAcknowledgedOffset, 4, packet.acknowledged);
  WriteBigEndian(bytes, kTagOffset, 4, packet.tag.value);
  WriteBigEndian(bytes, kLengthOffset, 2,
                 static_cast<uint32_t>(packet.payload.size()));
  const bool answers = packet.from_caller ? !packet.opens && !packet.resets
                                          : packet.acknowledges;
  WriteBigEndian(bytes, kFlagsOffset, 1,
                 (packet.opens ? kOpenFlag : 0U) |
                     (answers ? kAnswerFlag : 0U) |
                     (packet.closes ? kCloseFlag : 0U) |
                     (packet.resets ? kResetFlag : 0U));
  WriteBigEndian(bytes, kSourceIpOffset, 4, from.ip);
  WriteBigEndian(bytes, kSourcePortOffset, 2, from.port);
  WriteBigEndian(bytes, kDestinationPortOffset, 2, to.port);
  WriteBigEndian(bytes, kDestinationIpOffset, 4, to.ip);
  bytes += packet.payload;
  WriteBigEndian(bytes, kChecksumOffset, 4, ChecksumOf(bytes));
  return bytes;
}

std::optional<FlowPacket> DecodeFlowPacket(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes ||
      ReadBigEndian(bytes, kLengthOffset, 2) != bytes.size() - kHeaderBytes)
    return std::nullopt;
  FlowPacket packet;
  emulate::ModelPacket& model = packet.model;
  const uint32_t flags = ReadBigEndian(bytes, kFlagsOffset, 1);
  model.opens = (flags & kOpenFlag) != 0;
  model.acknowledges = (flags & kAnswerFlag) != 0;
  model.closes = (flags & kCloseFlag) != 0;
  model.resets = (flags & kResetFlag) != 0;
  model.sequence = ReadBigEndian(bytes, kSequenceOffset, 4);
  model.acknowledged = ReadBigEndian(bytes, kAcknowledgedOffset, 4);
  model.tag = FlowTag{ReadBigEndian(bytes, kTagOffset, 4)};
  model.payload = bytes.substr(kHeaderBytes);
  const Endpoint from{
      ReadBigEndian(bytes, kSourceIpOffset, 4),
      static_cast<uint16_t>(ReadBigEndian(bytes, kSourcePortOffset, 2))};
  const Endpoint to{
      ReadBigEndian(bytes, kDestinationIpOffset, 4),
      static_cast<uint16_t>(ReadBigEndian(bytes, kDestinationPortOffset, 2))};
  // The addresses of all callers lie in 127.64.0.0/16.
  model.from_caller = from.ip >> 16 == 0x7f40;
  model.key = model.from_caller ? FlowKey{from, to} : FlowKey{to, from};
  const uint32_t checksum = ReadBigEndian(bytes, kChecksumOffset, 4);
  packet.sent_by_balancer = checksum == 0 && model.resets;
  packet.unaltered = checksum == ChecksumOf(std::string(bytes));
  return packet;
}

}  // namespace cuminvane
