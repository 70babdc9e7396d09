/** @file model_func.cc Formats and parses the emulated requests and answers,
 * and implements the reliable transport of opaque flows. */

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <sstream>

#include "emulate/model_type.h"
#include "packet/packet_func.h"

namespace cuminvane::emulate {
namespace {

/** Maximum number of segments that a sender has sent without acknowledgement.
 */
constexpr size_t kMaxSegmentsInFlight = 16;

constexpr const char* kRequestKeyword = "REQUEST";
constexpr const char* kAnswerKeyword = "ANSWER";

}  // namespace

uint64_t ChecksumOf(const ModelPacket& packet) {
  const std::array<uint64_t, 4> fields = {
      FlowIdOf(packet.key).value,
      static_cast<uint64_t>(packet.sequence) << 32 | packet.acknowledged,
      static_cast<uint64_t>(packet.from_caller) |
          static_cast<uint64_t>(packet.opens) << 1 |
          static_cast<uint64_t>(packet.acknowledges) << 2 |
          static_cast<uint64_t>(packet.closes) << 3 |
          static_cast<uint64_t>(packet.resets) << 4,
      XXH3_64bits(packet.payload.data(), packet.payload.size())};
  return XXH3_64bits(fields.data(), sizeof(fields));
}

std::string FormatRequest(const ModelRequest& request) {
  return std::string(kRequestKeyword) + " " + std::to_string(request.id) + " " +
         std::to_string(request.work.count()) + " " +
         std::to_string(request.answer_bytes) + "\n";
}

ModelRequest ParseRequest(const std::string& payload) {
  std::istringstream in(payload);
  std::string keyword;
  int64_t work = 0;
  ModelRequest request;
  if (!(in >> keyword >> request.id >> work >> request.answer_bytes) ||
      keyword != kRequestKeyword)
    return {};
  request.work = Microseconds(work);
  return request;
}

std::string FormatAnswer(const ModelRequest& request, AnswerKind kind) {
  const uint32_t body = kind == AnswerKind::kDone ? request.answer_bytes : 0;
  return std::string(kAnswerKeyword) + " " + std::to_string(request.id) + " " +
         std::to_string(static_cast<int>(kind)) + " " + std::to_string(body) +
         "\n" + std::string(body, static_cast<char>('a' + request.id % 26));
}

ModelAnswer ParseAnswer(const std::string& payload) {
  std::istringstream in(payload);
  std::string keyword;
  int kind = 0;
  size_t body = 0;
  ModelAnswer answer;
  if (!(in >> keyword >> answer.id >> kind >> body) ||
      keyword != kAnswerKeyword)
    return {};
  answer.kind = static_cast<AnswerKind>(kind);
  const size_t body_start = payload.find('\n') + 1;
  const char filler = static_cast<char>('a' + answer.id % 26);
  answer.is_intact =
      payload.size() == body_start + body &&
      payload.find_first_not_of(filler, body_start) == std::string::npos;
  return answer;
}

void Sender::Write(TimePoint now, const std::string& bytes) {
  for (size_t offset = 0; offset < bytes.size(); offset += kMaxSegmentBytes) {
    const std::string piece = bytes.substr(offset, kMaxSegmentBytes);
    this->segments.push_back({this->next_sequence, piece, false});
    this->next_sequence += static_cast<uint32_t>(piece.size());
  }
  if (this->retransmit_at == kNever)
    this->retransmit_at = now + this->retransmission_timeout;
}

void Sender::OnAcknowledged(TimePoint now, uint32_t acknowledged) {
  if (!IsAfter(acknowledged, this->first_unacknowledged))
    return;
  this->first_unacknowledged = acknowledged;
  std::erase_if(this->segments, [acknowledged](const Segment& segment) {
    return !IsAfter(
        segment.sequence + static_cast<uint32_t>(segment.bytes.size()),
        acknowledged);
  });
  this->retransmissions = 0;
  this->retransmission_timeout = kInitialRetransmissionTimeout;
  this->retransmit_at =
      this->segments.empty() ? kNever : now + this->retransmission_timeout;
}

void Sender::Tick(TimePoint now,
                  const ModelPacket& header,
                  std::vector<ModelPacket>& out) {
  const bool retransmits_now = this->retransmit_at <= now;
  for (size_t index = 0;
       index < std::min(kMaxSegmentsInFlight, this->segments.size()); ++index) {
    Segment& segment = this->segments[index];
    if (segment.sent && !(retransmits_now && index == 0))
      continue;
    segment.sent = true;
    ModelPacket packet = header;
    packet.sequence = segment.sequence;
    packet.payload = segment.bytes;
    out.push_back(std::move(packet));
  }
  if (!retransmits_now)
    return;
  ++this->retransmissions;
  this->retransmission_timeout =
      std::min(this->retransmission_timeout * 2, kMaxRetransmissionTimeout);
  this->retransmit_at = now + this->retransmission_timeout;
}

std::string Receiver::Reassemble(uint32_t sequence, const std::string& bytes) {
  if (!IsAfter(sequence + static_cast<uint32_t>(bytes.size()),
               this->next_sequence))
    return "";
  this->out_of_order.emplace_back(sequence, bytes);
  std::string ready;
  for (bool advanced = true; advanced;) {
    advanced = false;
    for (const auto& [start, piece] : this->out_of_order) {
      const uint32_t end = start + static_cast<uint32_t>(piece.size());
      if (IsAfter(start, this->next_sequence) ||
          !IsAfter(end, this->next_sequence))
        continue;
      ready += piece.substr(this->next_sequence - start);
      this->next_sequence = end;
      advanced = true;
    }
  }
  std::erase_if(this->out_of_order, [this](const auto& segment) {
    return !IsAfter(
        segment.first + static_cast<uint32_t>(segment.second.size()),
        this->next_sequence);
  });
  return ready;
}

}  // namespace cuminvane::emulate
