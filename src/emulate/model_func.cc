/** @file model_func.cc Requests, answers and ordered data of the emulated ends.
 */

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <sstream>

#include "emulate/model_type.h"
#include "packet/packet_func.h"

namespace cuminvane::emulate {
namespace {

/** Packets in flight at most. */
constexpr size_t kWindow = 16;

constexpr const char* kRequestWord = "REQUEST";
constexpr const char* kAnswerWord = "ANSWER";

}  // namespace

uint64_t SealOf(const ModelPacket& packet) {
  const std::array<uint64_t, 4> head = {
      FlowIdOf(packet.key).value,
      static_cast<uint64_t>(packet.sequence) << 32 | packet.acknowledged,
      static_cast<uint64_t>(packet.from_caller) |
          static_cast<uint64_t>(packet.opens) << 1 |
          static_cast<uint64_t>(packet.answers) << 2 |
          static_cast<uint64_t>(packet.closes) << 3 |
          static_cast<uint64_t>(packet.resets) << 4,
      XXH3_64bits(packet.payload.data(), packet.payload.size())};
  return XXH3_64bits(head.data(), sizeof(head));
}

std::string FormatRequest(const ModelRequest& request) {
  return std::string(kRequestWord) + " " + std::to_string(request.id) + " " +
         std::to_string(request.work.count()) + " " +
         std::to_string(request.answer_bytes) + "\n";
}

ModelRequest ParseRequest(const std::string& payload) {
  std::istringstream in(payload);
  std::string word;
  int64_t work = 0;
  ModelRequest request;
  if (!(in >> word >> request.id >> work >> request.answer_bytes) ||
      word != kRequestWord)
    return {};
  request.work = Microseconds(work);
  return request;
}

std::string FormatAnswer(const ModelRequest& request, AnswerKind kind) {
  const uint32_t body = kind == AnswerKind::kDone ? request.answer_bytes : 0;
  return std::string(kAnswerWord) + " " + std::to_string(request.id) + " " +
         std::to_string(static_cast<int>(kind)) + " " + std::to_string(body) +
         "\n" + std::string(body, static_cast<char>('a' + request.id % 26));
}

ModelAnswer ParseAnswer(const std::string& payload) {
  std::istringstream in(payload);
  std::string word;
  int kind = 0;
  size_t body = 0;
  ModelAnswer answer;
  if (!(in >> word >> answer.id >> kind >> body) || word != kAnswerWord)
    return {};
  answer.kind = static_cast<AnswerKind>(kind);
  const size_t head = payload.find('\n') + 1;
  const char filler = static_cast<char>('a' + answer.id % 26);
  answer.whole = payload.size() == head + body &&
                 payload.find_first_not_of(filler, head) == std::string::npos;
  return answer;
}

void Sender::Write(TimePoint now, const std::string& bytes) {
  for (size_t at = 0; at < bytes.size(); at += kSegmentBytes) {
    const std::string piece = bytes.substr(at, kSegmentBytes);
    this->segments.push_back({this->next, piece, false});
    this->next += static_cast<uint32_t>(piece.size());
  }
  if (this->repeat_at == kNever)
    this->repeat_at = now + this->wait;
}

void Sender::OnAcknowledged(TimePoint now, uint32_t acknowledged) {
  if (!IsAfter(acknowledged, this->unacked))
    return;
  this->unacked = acknowledged;
  std::erase_if(this->segments, [acknowledged](const Segment& segment) {
    return !IsAfter(
        segment.sequence + static_cast<uint32_t>(segment.bytes.size()),
        acknowledged);
  });
  this->repeats = 0;
  this->wait = kFirstRepeat;
  this->repeat_at = this->segments.empty() ? kNever : now + this->wait;
}

void Sender::Tick(TimePoint now,
                  const ModelPacket& head,
                  std::vector<ModelPacket>& out) {
  const bool repeats_now = this->repeat_at <= now;
  for (size_t index = 0; index < std::min(kWindow, this->segments.size());
       ++index) {
    Segment& segment = this->segments[index];
    if (segment.sent && !(repeats_now && index == 0))
      continue;
    segment.sent = true;
    ModelPacket packet = head;
    packet.sequence = segment.sequence;
    packet.payload = segment.bytes;
    out.push_back(std::move(packet));
  }
  if (!repeats_now)
    return;
  ++this->repeats;
  this->wait = std::min(this->wait * 2, kLastRepeat);
  this->repeat_at = now + this->wait;
}

std::string Receiver::Take(uint32_t sequence, const std::string& bytes) {
  if (!IsAfter(sequence + static_cast<uint32_t>(bytes.size()), this->next))
    return "";
  this->early.emplace_back(sequence, bytes);
  std::string ready;
  for (bool moved = true; moved;) {
    moved = false;
    for (const auto& [start, piece] : this->early) {
      const uint32_t end = start + static_cast<uint32_t>(piece.size());
      if (IsAfter(start, this->next) || !IsAfter(end, this->next))
        continue;
      ready += piece.substr(this->next - start);
      this->next = end;
      moved = true;
    }
  }
  std::erase_if(this->early, [this](const auto& one) {
    return !IsAfter(one.first + static_cast<uint32_t>(one.second.size()),
                    this->next);
  });
  return ready;
}

}  // namespace cuminvane::emulate
