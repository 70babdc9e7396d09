/** @file model_type.h What the emulated ends of opaque flows exchange. */

#ifndef CUMINVANE_EMULATE_MODEL_TYPE_H_
#define CUMINVANE_EMULATE_MODEL_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "packet/packet_type.h"

namespace cuminvane::emulate {

/** Most bytes of payload in one packet. */
inline constexpr size_t kMaxSegmentBytes = 1200;
/** First wait before something is sent again; doubles up to the last. */
inline constexpr Milliseconds kInitialRetransmissionTimeout{200};
inline constexpr Milliseconds kMaxRetransmissionTimeout{1600};

/** A packet between the two ends of a flow; `key` is the same both ways. */
struct ModelPacket {
  FlowKey key;
  bool from_caller = true;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  FlowTag tag;
  bool opens = false;  ///< With `answers`: the backend server's side of it.
  bool acknowledges = false;
  bool closes = false;
  bool resets = false;
  std::string payload;
  uint64_t checksum = 0;  ///< Of what its sender wrote.

  bool operator==(const ModelPacket&) const = default;
};

/** @return The seal of the packet as it is; the tag is not part of it, since
 * balancers write it. */
uint64_t ChecksumOf(const ModelPacket& packet);

/** What a request asks for; the text form is the packet's payload. */
struct ModelRequest {
  uint64_t id = 0;
  Microseconds work{0};
  uint32_t answer_bytes = 0;

  bool operator==(const ModelRequest&) const = default;
};

/** @return The request as payload. */
std::string FormatRequest(const ModelRequest& request);
/** @return The request; id 0 where the payload is none. */
ModelRequest ParseRequest(const std::string& payload);

/** How a request ended, in the answer's first line. */
enum class AnswerKind : uint8_t { kDone, kShed, kFailed };

/** @return The answer's payload, of the size that was asked for. */
std::string FormatAnswer(const ModelRequest& request, AnswerKind kind);

/** An answer as its caller reads it. */
struct ModelAnswer {
  uint64_t id = 0;
  AnswerKind kind = AnswerKind::kFailed;
  bool is_intact = false;  ///< Of the size it names, and nothing mixed in.

  bool operator==(const ModelAnswer&) const = default;
};

/** @return The answer, with id 0 where the payload is none. */
ModelAnswer ParseAnswer(const std::string& payload);

/** Sends data in order and again until it is acknowledged. */
class Sender {
 public:
  explicit Sender(uint32_t sequence)
      : next(sequence), first_unacknowledged(sequence) {}

  /** Queues bytes. */
  void Write(TimePoint now, const std::string& bytes);
  /** Takes note of an acknowledgement. */
  void OnAcknowledged(TimePoint now, uint32_t acknowledged);
  /** Adds packets that are due, copies of `head` with data. */
  void Tick(TimePoint now,
            const ModelPacket& head,
            std::vector<ModelPacket>& out);

  /** @return Whether everything has been acknowledged. */
  bool IsIdle() const { return this->segments.empty(); }
  /** @return Times in a row that the oldest data was sent again. */
  int Retransmissions() const { return this->retransmissions; }
  /** @return Sequence after everything written. */
  uint32_t EndSequence() const { return this->next; }

 private:
  struct Segment {
    uint32_t sequence = 0;
    std::string bytes;
    bool sent = false;
  };

  uint32_t next;
  uint32_t first_unacknowledged;
  std::vector<Segment> segments;
  TimePoint retransmit_at = kNever;
  Milliseconds retransmission_timeout = kInitialRetransmissionTimeout;
  int retransmissions = 0;
};

/** Puts data in order. */
class Receiver {
 public:
  explicit Receiver(uint32_t sequence) : next(sequence) {}

  /** Takes a packet's data. @return Bytes that are in order now. */
  std::string Reassemble(uint32_t sequence, const std::string& bytes);
  /** @return Sequence that is expected next. */
  uint32_t NextSequence() const { return this->next; }

 private:
  uint32_t next;
  std::vector<std::pair<uint32_t, std::string>> out_of_order;
};

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_MODEL_TYPE_H_
